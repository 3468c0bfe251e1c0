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
 * Polls the control leader for the current control state on behalf of an entry or a scheduler, and searches for the
 * leader when it stops responding. All methods run on one control loop.
 */
public final class ViewPoller {
    /**
     * The interval between requests to the leader, in milliseconds; an eighth of the time in which an edit must take
     * effect.
     */
    private static final long POLL_INTERVAL_MILLIS = 300;

    /** The interval between requests while no leader is known or its response is overdue, in milliseconds. */
    private static final long SEARCH_INTERVAL_MILLIS = 80;

    /** The time without a confirmation after which the other control hosts are queried as well, in milliseconds. */
    private static final long LEADER_TIMEOUT_MILLIS = 500;

    /** The time after which the response to a request is ignored, in milliseconds. */
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
    private final Map<String, ControlHost> controlHosts = new TreeMap<>();
    private final Map<Long, Moment> requestsSentAt = new HashMap<>();
    private final LeaderSearchOrder searchOrder = new LeaderSearchOrder();
    private ConfirmedView view = ConfirmedView.EMPTY;
    private String leader = "";
    private boolean leaderLost = true;
    private FleetMessage.UpstreamReach reach = FleetMessage.UpstreamReach.NO_RELAY;
    private long nextNonce;

    /**
     * Starts polling.
     *
     * @param loop the thread that polls, handles responses and calls the listener.
     * @param links the connections to the control hosts.
     * @param dialect parses catalogues.
     * @param events receives structured events.
     * @param entry the address of the entry that polls, empty for a scheduler.
     * @param versionCounts the source of the response counts that are sent with each request.
     * @param listener receives the view after each confirmation and each new catalogue.
     */
    public ViewPoller(
            ControlLoop loop,
            FleetLinks links,
            OperatorDialect dialect,
            EventLog events,
            String entry,
            CountSource versionCounts,
            ViewListener listener) {
        this.loop = loop;
        this.links = links;
        this.dialect = dialect;
        this.events = events;
        this.entry = entry;
        this.incarnation = System.currentTimeMillis();
        this.versionCounts = versionCounts;
        this.listener = listener;
        loop.schedule(this::poll, SEARCH_INTERVAL_MILLIS);
    }

    /**
     * Sets the control hosts to query while no leader is known.
     *
     * @param addresses their addresses, some of which may be stale.
     */
    public void setSeeds(Set<String> addresses) {
        seeds.clear();
        seeds.addAll(addresses);
        updateLinks();
        sendRequests();
    }

    /**
     * Sets whether this process reaches upstreams, and reports it at once if it has changed.
     *
     * @param newReach what this process can do for others.
     */
    public void setReach(FleetMessage.UpstreamReach newReach) {
        if (reach != newReach) {
            reach = newReach;
            sendRequests();
        }
    }

    /**
     * Handles the response to a request. A confirmed response updates the view; any other one only names the control
     * hosts and, where it is known, the leader.
     *
     * @param response the response.
     */
    public void onViewResponse(FleetMessage.ViewResponse response) {
        if (!response.controlHosts().isEmpty() && response.confirmed()) {
            controlHosts.clear();
        }
        response.controlHosts().forEach(host -> controlHosts.put(host.address(), host));
        if (!response.confirmed()) {
            onLeaderHint(response.leader());
            updateLinks();
            return;
        }
        Moment sentAt = requestsSentAt.remove(response.nonce());
        if (sentAt == null) {
            return;
        }
        if (leaderLost) {
            leaderLost = false;
            events.emit(
                    EventCode.CONTROL,
                    "followed",
                    response.leader(),
                    Moment.now().millisSince(view.confirmedAt()));
        }
        leader = response.leader();
        updateView(response, sentAt);
        updateLinks();
    }

    /**
     * Replaces the catalogue by a newer one. The time of the last confirmation changes only with the next confirmed
     * response.
     *
     * @param document the catalogue; it is ignored unless its revision is newer.
     */
    public void onDocument(FleetMessage.Document document) {
        if (document.revision() <= view.revision()) {
            return;
        }
        Catalogue catalogue = dialect.decodeAcceptedCatalogue(document.text().text());
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
            controlHosts.putIfAbsent(hinted, new ControlHost(hinted, ""));
            updateLinks();
            sendRequests();
        }
    }

    private void updateView(FleetMessage.ViewResponse response, Moment sentAt) {
        ConfirmedView next = view;
        if (response.list().isPresent() && response.list().get().isLaterThan(next.hosts())) {
            HostList hosts = response.list().get();
            next = next.withHosts(hosts);
            long draining =
                    hosts.upstreams().stream().filter(Upstream::draining).count();
            events.emit(
                    EventCode.HOST_LIST,
                    hosts.term(),
                    hosts.reading(),
                    hosts.upstreams().size(),
                    draining);
        }
        // The response confirms the view only if the catalogue here is at least as new as the leader's. A response that
        // arrives after the response to a later request must not set the confirmation back.
        boolean current = next.revision() >= response.revision();
        boolean newer = sentAt.monotonicMillis() >= next.confirmedAt().monotonicMillis();
        if (current && newer) {
            next = next.withResponse(response, sentAt);
        }
        view = next;
        listener.onView(next);
    }

    /**
     * Sends requests and schedules the next poll, sooner if a response is overdue; each poll wakes an otherwise idle
     * host.
     */
    private void poll() {
        sendRequests();
        boolean overdue = Moment.now().millisSince(view.confirmedAt()) > POLL_INTERVAL_MILLIS + SEARCH_INTERVAL_MILLIS;
        loop.schedule(this::poll, leaderLost || overdue ? SEARCH_INTERVAL_MILLIS : POLL_INTERVAL_MILLIS);
    }

    private void sendRequests() {
        Moment now = Moment.now();
        requestsSentAt.values().removeIf(sentAt -> now.millisSince(sentAt) > REQUEST_TIMEOUT_MILLIS);
        long age = now.millisSince(view.confirmedAt());
        boolean overdue = age > LEADER_TIMEOUT_MILLIS;
        if (overdue && !leaderLost) {
            leaderLost = true;
            events.emit(EventCode.CONTROL, "lost", leader, age);
        }
        Set<String> receivers = new TreeSet<>();
        if (!leader.isEmpty()) {
            receivers.add(leader);
        }
        if (overdue || leader.isEmpty()) {
            receivers.addAll(searchOrder.next(wantedAddresses()));
        }
        List<FleetMessage.VersionCounts> counts = versionCounts.versionCounts();
        List<FleetMessage.RolloutTimes> times = versionCounts.rolloutTimes();
        List<FleetMessage.VersionCounts> countsBefore = versionCounts.countsBefore();
        for (String address : receivers) {
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
                            counts,
                            reach,
                            times,
                            countsBefore));
        }
    }

    /**
     * Returns the control hosts to stay connected to: the seeds only while no others are known or the leader is lost.
     */
    private Set<String> wantedAddresses() {
        Set<String> wanted = new TreeSet<>(controlHosts.keySet());
        if (controlHosts.isEmpty() || leaderLost) {
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
     * Receives the view after each confirmation and each change, on the control loop.
     */
    public interface ViewListener {
        /**
         * Receives a view.
         *
         * @param view the current view.
         */
        void onView(ConfirmedView view);
    }

    /**
     * Provides the response counts of an entry by version; may be called from any thread.
     */
    public interface CountSource {
        /**
         * Returns the counts.
         *
         * @return the counts, one for each pool, version and route.
         */
        List<FleetMessage.VersionCounts> versionCounts();

        /**
         * Returns the response times; none by default.
         *
         * @return the times of each pool with a rollout.
         */
        default List<FleetMessage.RolloutTimes> rolloutTimes() {
            return List.of();
        }

        /**
         * Returns the response counts of the time before the rollouts; none by default.
         *
         * @return the counts of all versions together, one for each pool with a rollout and route.
         */
        default List<FleetMessage.VersionCounts> countsBefore() {
            return List.of();
        }
    }
}
