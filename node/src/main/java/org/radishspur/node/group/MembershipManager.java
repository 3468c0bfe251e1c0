package org.radishspur.node.group;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.radishspur.node.control.ControlLoop;
import org.radishspur.node.control.ReplicaHost;
import org.radishspur.node.fleet.ControlHost;
import org.radishspur.node.fleet.FleetLinks;
import org.radishspur.node.fleet.FleetMessage;
import org.radishspur.node.log.EventCode;
import org.radishspur.node.log.EventLog;

/**
 * Finds the other control hosts, and lets the leader put a blank replica in the place of one that is lost.
 *
 * <p>A replica whose disk was lost comes back under a new identity at its old address; its old identity can never come
 * back and is replaced at once. A host that has only fallen silent is replaced when a blank replica is there to take its
 * place, and not before that one holds everything that is committed.
 */
final class MembershipManager {
    /** How often replicas show themselves to each other, in milliseconds. */
    private static final long ANNOUNCE_INTERVAL_MILLIS = 400;

    /** A candidate that has not shown itself for so long is not taken, in milliseconds. */
    private static final long CANDIDATE_TIMEOUT_MILLIS = 1_500;

    /** A voter that was silent for so long may be replaced, in milliseconds; several elections fit into it. */
    private static final long VOTER_TIMEOUT_MILLIS = 2_500;

    private final ControlLoop loop;
    private final ReplicaHost replica;
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
            ReplicaHost replica,
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

    void seeds(Set<String> addresses) {
        seeds.clear();
        seeds.addAll(addresses);
        announce();
    }

    void onAnnouncement(FleetMessage.ReplicaAnnouncement candidate) {
        replicasLastSeenAt.put(candidate.replica(), loop.nowMillis());
        announcedAddresses.addAll(candidate.controls());
        if (candidate.failureDomain() != null) {
            failureDomains.put(ReplicaHost.nodeOf(candidate.replica()), candidate.failureDomain());
        }
    }

    void onRaftMessage(String from) {
        replicasLastSeenAt.put(from, loop.nowMillis());
    }

    /** Returns all control hosts that are worth asking. */
    List<ControlHost> controlHosts() {
        return memberAddresses().stream()
                .map(address -> new ControlHost(address, failureDomains.getOrDefault(address, "")))
                .toList();
    }

    private List<String> memberAddresses() {
        Set<String> addresses = new TreeSet<>();
        replica.voters().forEach(voter -> addresses.add(ReplicaHost.nodeOf(voter)));
        replica.learners().forEach(learner -> addresses.add(ReplicaHost.nodeOf(learner)));
        return new ArrayList<>(addresses);
    }

    private void announce() {
        long now = loop.nowMillis();
        Set<String> wanted = new TreeSet<>(seeds);
        wanted.addAll(memberAddresses());
        if (replica.voters().isEmpty()) {
            wanted.addAll(announcedAddresses);
        }
        replicasLastSeenAt.forEach((seen, at) -> {
            if (now - at < CANDIDATE_TIMEOUT_MILLIS) {
                wanted.add(ReplicaHost.nodeOf(seen));
            }
        });
        wanted.remove(self.address());
        links.setAddresses(wanted);
        FleetMessage.ReplicaAnnouncement candidate =
                new FleetMessage.ReplicaAnnouncement(replica.identity(), memberAddresses(), self.failureDomain());
        wanted.forEach(address -> links.send(address, candidate));
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
        for (Map.Entry<String, Long> seen : replicasLastSeenAt.entrySet()) {
            String candidate = seen.getKey();
            if (now - seen.getValue() > CANDIDATE_TIMEOUT_MILLIS || replica.knows(candidate)) {
                continue;
            }
            Optional<String> place = replaceableVoterFor(candidate, now);
            if (place.isPresent()) {
                boolean started = replica.replace(candidate, place.get());
                events.emit(EventCode.MEMBER, candidate, place.get(), started);
                return;
            }
        }
    }

    /** Returns the voter whose place a candidate may take, an empty text for a place of its own, or nothing. */
    private Optional<String> replaceableVoterFor(String candidate, long now) {
        String node = ReplicaHost.nodeOf(candidate);
        for (String voter : replica.voters()) {
            if (ReplicaHost.nodeOf(voter).equals(node)) {
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
