package org.radishspur.node.group;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.radishspur.node.control.ControlLoop;
import org.radishspur.node.control.ReplicaRunner;
import org.radishspur.node.fleet.ControlHost;
import org.radishspur.node.fleet.FleetLinks;
import org.radishspur.node.fleet.FleetMessage;
import org.radishspur.node.log.EventCode;
import org.radishspur.node.log.EventLog;

/**
 * Discovers the other control hosts, and at the leader replaces lost replicas by blank ones.
 *
 * <p>A replica that has lost its disk starts again under a new identity at its old address. Its old identity can never
 * be used again and is replaced immediately. A host that merely doesn't respond is replaced only when a blank replica
 * is available, and not before the blank replica holds everything that is committed.
 */
final class MembershipManager {
    /** The interval at which replicas announce themselves to each other, in milliseconds. */
    private static final long ANNOUNCE_INTERVAL_MILLIS = 400;

    /** The time without a message after which a blank replica is no longer a candidate, in milliseconds. */
    private static final long CANDIDATE_TIMEOUT_MILLIS = 1_500;

    /**
     * The time without a message after which a voter may be replaced, in milliseconds; long enough for several
     * elections.
     */
    private static final long VOTER_TIMEOUT_MILLIS = 2_500;

    private final ControlLoop loop;
    private final ReplicaRunner replica;
    private final FleetLinks links;
    private final EventLog events;
    private final ControlHost self;
    private final int wantedVoters;
    private final Set<String> seeds = new TreeSet<>();
    private final Map<String, Long> replicasLastSeenAt = new HashMap<>();
    private final Set<String> announcedAddresses = new TreeSet<>();
    private final Map<String, String> failureDomains = new HashMap<>();
    private long leadingSince;

    MembershipManager(
            ControlLoop loop,
            ReplicaRunner replica,
            FleetLinks links,
            EventLog events,
            ControlHost self,
            int wantedVoters) {
        this.wantedVoters = wantedVoters;
        this.loop = loop;
        this.replica = replica;
        this.links = links;
        this.events = events;
        this.self = self;
        failureDomains.put(self.address(), self.failureDomain());
        loop.repeat(this::announce, ANNOUNCE_INTERVAL_MILLIS);
    }

    void setSeeds(Set<String> addresses) {
        seeds.clear();
        seeds.addAll(addresses);
        announce();
    }

    void onAnnouncement(FleetMessage.ReplicaAnnouncement announcement) {
        replicasLastSeenAt.put(announcement.replica(), loop.nowMillis());
        announcedAddresses.addAll(announcement.memberAddresses());
        if (announcement.failureDomain() != null) {
            failureDomains.put(ReplicaRunner.nodeOf(announcement.replica()), announcement.failureDomain());
        }
    }

    void onRaftMessage(String from) {
        replicasLastSeenAt.put(from, loop.nowMillis());
    }

    /** Returns the control hosts of all members, voters and learners. */
    List<ControlHost> controlHosts() {
        return memberAddresses().stream()
                .map(address -> new ControlHost(address, failureDomains.getOrDefault(address, "")))
                .toList();
    }

    private List<String> memberAddresses() {
        Set<String> addresses = new TreeSet<>();
        replica.voters().forEach(voter -> addresses.add(ReplicaRunner.nodeOf(voter)));
        replica.learners().forEach(learner -> addresses.add(ReplicaRunner.nodeOf(learner)));
        return new ArrayList<>(addresses);
    }

    private void announce() {
        long now = loop.nowMillis();
        Set<String> wanted = new TreeSet<>(seeds);
        wanted.addAll(memberAddresses());
        if (replica.voters().isEmpty()) {
            wanted.addAll(announcedAddresses);
        }
        replicasLastSeenAt.forEach((replicaId, lastSeenAt) -> {
            if (now - lastSeenAt < CANDIDATE_TIMEOUT_MILLIS) {
                wanted.add(ReplicaRunner.nodeOf(replicaId));
            }
        });
        wanted.remove(self.address());
        links.setAddresses(wanted);
        FleetMessage.ReplicaAnnouncement announcement =
                new FleetMessage.ReplicaAnnouncement(replica.identity(), memberAddresses(), self.failureDomain());
        wanted.forEach(address -> links.send(address, announcement));
        replaceLost(now);
    }

    private void replaceLost(long now) {
        if (!replica.isLeader()) {
            leadingSince = 0;
            return;
        }
        if (leadingSince == 0) {
            leadingSince = now;
        }
        for (Map.Entry<String, Long> lastSeen : replicasLastSeenAt.entrySet()) {
            String candidate = lastSeen.getKey();
            if (now - lastSeen.getValue() > CANDIDATE_TIMEOUT_MILLIS || replica.isMember(candidate)) {
                continue;
            }
            Optional<String> replaced = replaceableVoterFor(candidate, now);
            if (replaced.isPresent()) {
                boolean started = replica.replace(candidate, replaced.get());
                events.emit(EventCode.MEMBER, candidate, replaced.get(), started);
                return;
            }
        }
    }

    /**
     * Returns the voter that a candidate may replace, an empty text if a voter may be added, or nothing if neither is
     * allowed.
     */
    private Optional<String> replaceableVoterFor(String candidate, long now) {
        String node = ReplicaRunner.nodeOf(candidate);
        for (String voter : replica.voters()) {
            if (ReplicaRunner.nodeOf(voter).equals(node)) {
                return Optional.of(voter);
            }
        }
        if (replica.voters().size() < wantedVoters) {
            return Optional.of("");
        }
        for (String voter : replica.voters()) {
            long receivedAt = Math.max(leadingSince, replicasLastSeenAt.getOrDefault(voter, 0L));
            if (!voter.equals(replica.identity()) && now - receivedAt > VOTER_TIMEOUT_MILLIS) {
                return Optional.of(voter);
            }
        }
        return Optional.empty();
    }
}
