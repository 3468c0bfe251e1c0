package org.radishspur.node.schedule;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.radishspur.model.catalogue.Catalogue;
import org.radishspur.model.catalogue.Upstream;
import org.radishspur.node.control.ControlLoop;
import org.radishspur.node.dialect.OperatorDialect;
import org.radishspur.node.fleet.ControlHost;
import org.radishspur.node.fleet.FleetLinks;
import org.radishspur.node.fleet.FleetMessage;
import org.radishspur.node.fleet.HostList;
import org.radishspur.node.fleet.Moment;
import org.radishspur.node.log.EventCode;
import org.radishspur.node.log.EventLog;

/**
 * Follows the control leader for an entry or a scheduler, on the control thread: asks what is in force, several times a second, and finds
 * the leader again when it is lost.
 */
public final class ControlFollower {
    /** How often the leader is asked, in milliseconds; an eighth of the time in which an edit must be in force. */
    private static final long POLL_INTERVAL_MILLIS = 300;

    /** How often control hosts are asked while no leader is known, in milliseconds. */
    private static final long SEARCH_INTERVAL_MILLIS = 80;

    /** After so long without a confirmation the other control hosts are asked as well, in milliseconds. */
    private static final long LEADER_TIMEOUT_MILLIS = 500;

    /** Questions that were not answered for so long are forgotten, in milliseconds. */
    private static final long REQUEST_TIMEOUT_MILLIS = 3_000;

    private final ControlLoop loop;
    private final FleetLinks links;
    private final OperatorDialect dialect;
    private final EventLog events;
    private final String entry;
    private final long incarnation;
    private final CountSource versionCounts;
    private final ViewListener listener;
    private final Set<String> seeds = new TreeSet<>();
    private final Map<String, ControlHost> controls = new TreeMap<>();
    private final Map<Long, Moment> requestsSentAt = new HashMap<>();
    private final LeaderSearchOrder searchOrder = new LeaderSearchOrder();
    private ConfirmedView view = ConfirmedView.NOTHING;
    private String leader = "";
    private boolean leaderLost = true;
    private long nextNonce;

    /**
     * Begins to follow.
     *
     * @param loop the control thread.
     * @param links reach the control hosts.
     * @param dialect reads catalogues.
     * @param events takes structured events.
     * @param entry the address of the entry that follows, empty for a scheduler.
     * @param tallies what the entry has seen of versions.
     * @param listener takes changed views.
     */
    public ControlFollower(
            ControlLoop loop,
            FleetLinks links,
            OperatorDialect dialect,
            EventLog events,
            String entry,
            CountSource tallies,
            ViewListener listener) {
        this.loop = loop;
        this.links = links;
        this.dialect = dialect;
        this.events = events;
        this.entry = entry;
        this.incarnation = System.currentTimeMillis();
        this.versionCounts = tallies;
        this.listener = listener;
        loop.schedule(this::poll, SEARCH_INTERVAL_MILLIS);
    }

    /**
     * Sets the control hosts that are asked first.
     *
     * @param addresses their addresses, perhaps stale.
     */
    public void seeds(Set<String> addresses) {
        seeds.clear();
        seeds.addAll(addresses);
        updateLinks();
        sendRequests();
    }

    /**
     * Takes an answer.
     *
     * @param answer the answer.
     */
    public void onFollowed(FleetMessage.Followed answer) {
        if (!answer.controls().isEmpty() && answer.confirmed()) {
            controls.clear();
        }
        answer.controls().forEach(host -> controls.put(host.address(), host));
        if (!answer.confirmed()) {
            onLeaderHint(answer.leader());
            updateLinks();
            return;
        }
        Moment askedAt = requestsSentAt.remove(answer.nonce());
        if (askedAt == null) {
            return;
        }
        if (leaderLost) {
            leaderLost = false;
            events.emit(
                    EventCode.CONTROL, "followed", answer.leader(), Moment.now().since(view.confirmedAt()));
        }
        leader = answer.leader();
        updateView(answer, askedAt);
        updateLinks();
    }

    /**
     * Takes over a newer catalogue. It counts once an answer has confirmed it.
     *
     * @param document the catalogue.
     */
    public void onDocument(FleetMessage.Document document) {
        if (document.revision() <= view.revision()) {
            return;
        }
        Catalogue catalogue = dialect.catalogue(document.text().text());
        view = view.withCatalogue(catalogue);
        events.emit(
                EventCode.CATALOGUE,
                catalogue.revision(),
                catalogue.routes().size(),
                catalogue.organisations().size());
        listener.onView(view);
    }

    private void onLeaderHint(String hinted) {
        if (!hinted.isEmpty() && !hinted.equals(leader)) {
            leader = hinted;
            controls.putIfAbsent(hinted, new ControlHost(hinted, ""));
            updateLinks();
            sendRequests();
        }
    }

    private void updateView(FleetMessage.Followed answer, Moment askedAt) {
        ConfirmedView next = view;
        if (answer.list().isPresent() && answer.list().get().isLaterThan(next.hosts())) {
            HostList hosts = answer.list().get();
            next = next.withHosts(hosts);
            long leaving = hosts.upstreams().stream().filter(Upstream::leaving).count();
            events.emit(
                    EventCode.HOST_LIST,
                    hosts.term(),
                    hosts.reading(),
                    hosts.upstreams().size(),
                    leaving);
        }
        // The answer confirms this entry's catalogue only if the entry now holds the one that the leader told of. An
        // answer that was overtaken by a later one confirms nothing newer than that one did.
        boolean current = next.revision() >= answer.revision();
        boolean newer = askedAt.monotonicMillis() >= next.confirmedAt().monotonicMillis();
        if (current && newer) {
            next = next.withAnswer(answer, askedAt);
        }
        view = next;
        listener.onView(next);
    }

    /** Asks, and asks again soon where the last answer is overdue; each round of an idle host is a wake-up that it pays for. */
    private void poll() {
        sendRequests();
        boolean overdue = Moment.now().since(view.confirmedAt()) > POLL_INTERVAL_MILLIS + SEARCH_INTERVAL_MILLIS;
        loop.schedule(this::poll, leaderLost || overdue ? SEARCH_INTERVAL_MILLIS : POLL_INTERVAL_MILLIS);
    }

    private void sendRequests() {
        Moment now = Moment.now();
        requestsSentAt.values().removeIf(asked -> now.since(asked) > REQUEST_TIMEOUT_MILLIS);
        long age = now.since(view.confirmedAt());
        boolean missing = age > LEADER_TIMEOUT_MILLIS;
        if (missing && !leaderLost) {
            leaderLost = true;
            events.emit(EventCode.CONTROL, "lost", leader, age);
        }
        Set<String> asked = new TreeSet<>();
        if (!leader.isEmpty()) {
            asked.add(leader);
        }
        if (missing || leader.isEmpty()) {
            asked.addAll(searchOrder.next(wantedAddresses()));
        }
        List<FleetMessage.VersionCounts> seen = versionCounts.tallies();
        for (String address : asked) {
            long nonce = ++nextNonce;
            requestsSentAt.put(nonce, now);
            links.send(
                    address,
                    new FleetMessage.ViewRequest(
                            nonce,
                            entry,
                            incarnation,
                            view.revision(),
                            view.hosts().term(),
                            view.hosts().reading(),
                            seen));
        }
    }

    /** Returns the control hosts to stay connected with: the seeds only as long as nothing better is known. */
    private Set<String> wantedAddresses() {
        Set<String> wanted = new TreeSet<>(controls.keySet());
        if (controls.isEmpty() || leaderLost) {
            wanted.addAll(seeds);
        }
        if (!leader.isEmpty()) {
            wanted.add(leader);
        }
        return wanted;
    }

    private void updateLinks() {
        links.setAddresses(wantedAddresses());
    }

    /**
     * Takes a changed view, on the control thread.
     */
    public interface ViewListener {
        /**
         * Takes the view.
         *
         * @param view the view.
         */
        void onView(ConfirmedView view);
    }

    /**
     * Collects what the entry has seen of versions; callable from any thread.
     */
    public interface CountSource {
        /**
         * Returns the counts.
         *
         * @return one tally for each pool, version and route.
         */
        List<FleetMessage.VersionCounts> tallies();
    }
}
