package org.radishspur.node.entry;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import org.radishspur.decision.path.DirectPaths;
import org.radishspur.model.catalogue.Upstream;
import org.radishspur.node.fleet.FleetMessage.UpstreamReach;
import org.radishspur.node.log.EventCode;
import org.radishspur.node.log.EventLog;
import org.radishspur.node.schedule.ConfirmedView;
import org.radishspur.node.upstream.UpstreamPaths;

/**
 * Finds out whether this entry is cut off from upstreams, and reports it. The traffic thread owns it.
 */
final class LinkMonitor {
    private final DirectPaths directPaths = new DirectPaths();
    private final UpstreamPaths.Tracked paths;
    private final EventLog events;
    private final Consumer<UpstreamReach> reporter;
    private Set<String> upstreams = Set.of();
    private volatile boolean cutOff;

    /**
     * Creates a monitor of an entry that is taken to reach upstreams.
     *
     * @param events the event log.
     * @param reporter receives whether this entry reaches upstreams, after each change.
     * @param clock the monotonic clock in milliseconds.
     */
    LinkMonitor(EventLog events, Consumer<UpstreamReach> reporter, LongSupplier clock) {
        paths = new UpstreamPaths.Tracked(directPaths, clock);
        this.events = events;
        this.reporter = reporter;
    }

    UpstreamPaths paths() {
        return paths;
    }

    /** Applies the upstreams and the relaying entries of a view. */
    void onView(ConfirmedView view) {
        upstreams = view.hosts().upstreams().stream().map(Upstream::address).collect(Collectors.toUnmodifiableSet());
        directPaths.retain(upstreams);
        paths.setRelays(view.relays());
    }

    /** Records that an upstream has ended by what it ran, which shows nothing about the links of this entry. */
    void onUpstreamEnded(String address) {
        directPaths.recordEnd(address);
    }

    /** Looks for upstreams that have fallen silent, and reports whether this entry is cut off now. */
    void check(long now) {
        directPaths.findSilent(now);
        boolean nowCutOff = directPaths.isCutOff(now);
        if (nowCutOff != cutOff) {
            cutOff = nowCutOff;
            List<String> relays = paths.relays();
            events.emit(EventCode.UPSTREAM_LINKS, cutOff ? "cut-off" : "reached", relays.size());
            reporter.accept(cutOff ? UpstreamReach.CUT_OFF : UpstreamReach.REACHED);
        }
    }

    /** Returns whether this entry is cut off; any thread may call this. */
    boolean isCutOff() {
        return cutOff;
    }

    /**
     * Returns whether a connection that fails shows nothing about its upstream: this entry is cut off, and others are not.
     */
    boolean isOwnFault() {
        return cutOff && !paths.relays().isEmpty();
    }

    /** Returns whether this entry relays connections of others to an upstream. */
    boolean relaysTo(String upstream) {
        return !cutOff && upstreams.contains(upstream);
    }
}
