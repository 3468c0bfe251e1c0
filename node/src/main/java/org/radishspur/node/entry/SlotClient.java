package org.radishspur.node.entry;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.radishspur.decision.crash.CrashLedger;
import org.radishspur.decision.crash.CrashNote;
import org.radishspur.decision.dispatch.EntryQuotas;
import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.decision.dispatch.UseHistory;
import org.radishspur.decision.slot.SchedulerFailover;
import org.radishspur.decision.slot.SlotOutcome;
import org.radishspur.decision.slot.SlotReply;
import org.radishspur.decision.slot.SlotReport;
import org.radishspur.decision.slot.SlotRequest;
import org.radishspur.decision.slot.SlotScheduler;
import org.radishspur.node.fleet.ControlHost;
import org.radishspur.node.fleet.FleetMessage;
import org.radishspur.node.fleet.FleetSender;
import org.radishspur.node.log.EventCode;
import org.radishspur.node.log.EventLog;
import org.radishspur.node.schedule.ConfirmedView;
import org.radishspur.node.schedule.PoolSet;
import org.radishspur.node.schedule.UpstreamEventLogger;
import org.radishspur.node.settings.PlatformProcessSettings;

/**
 * Requests slots for one entry from the scheduler of a control host, and from a local scheduler where no other is
 * available. The traffic thread owns it.
 *
 * <p>The local scheduler counts every slot that this entry holds, whichever scheduler granted it. This supplies the
 * held slots that the entry reports when it attaches to another scheduler, and the measured times by which the local
 * scheduler decides.
 */
final class SlotClient {
    /** How long after its maximum wait a request is rejected here, in milliseconds, if its scheduler hasn't. */
    private static final long OVERDUE_MARGIN_MILLIS = 100;

    /** In how many milliseconds this entry and its scheduler are likely to have the same view of the upstreams again. */
    private static final long VIEW_MILLIS = 300;

    /** The number of grants of unusable upstreams after which a request is rejected. */
    private static final int MAX_DECLINED_GRANTS = 4;

    /** The name of this entry at the local scheduler. */
    private static final String LOCAL_ENTRY = "";

    /** The empty address, which denotes the local scheduler. */
    private static final String LOCAL_ADDRESS = "";

    /** The number in a report that is about no slot. */
    private static final long NO_SLOT = 0;

    /** The report in a message that is about no slot. */
    private static final SlotReport NO_REPORT = new SlotReport.Ended(SlotOutcome.UNUSED);

    private final FleetSender links;
    private final EventLog events;
    private final String entry;
    private final CrashLedger crashes;
    private final Consumer<List<CrashNote>> crashListener;
    private final PoolSet pools;
    private final EntryQuotas localQuotas;
    private final SlotScheduler localScheduler;
    private final SchedulerFailover failover;
    private final EntryMetrics metrics;
    private final Map<Long, UpstreamSlot> pending = new HashMap<>();
    private final UpstreamRests rests = new UpstreamRests();
    private final Map<String, Integer> statedOverConnection = new HashMap<>();
    private Collection<String> schedulerAddresses = List.of();
    private String attachedScheduler = LOCAL_ADDRESS;
    private int attachedConnection;
    private long nextId;

    SlotClient(
            PlatformProcessSettings settings,
            FleetSender links,
            EventLog events,
            EntryMetrics metrics,
            CrashLedger crashes,
            Consumer<List<CrashNote>> crashListener) {
        this.links = links;
        this.events = events;
        this.metrics = metrics;
        this.crashes = crashes;
        this.crashListener = crashListener;
        entry = settings.peerAddress().toString();
        pools = new PoolSet(entry, settings.failureDomain(), settings.bounds().maxTrialShare());
        pools.limitToShare();
        localQuotas = new EntryQuotas(settings.bounds().quotaTolerance().windowMillis());
        localScheduler = new SlotScheduler(pools, localQuotas.ledger(), new LocalReplies());
        failover = new SchedulerFailover(entry, settings.failureDomain(), new LinkContacts());
    }

    /** Applies a view to the upstreams, the quota shares and the choice of schedulers. */
    void onView(ConfirmedView view, long now) {
        pools.apply(view, Math.max(1, view.entryCount()), now);
        pools.setQuotaShare(1.0 / Math.max(1, view.entryCount()));
        Map<String, String> schedulers = view.controlHosts().stream()
                .collect(Collectors.toMap(ControlHost::address, ControlHost::failureDomain, (one, other) -> one));
        schedulerAddresses = schedulers.keySet();
        failover.setSchedulers(schedulers);
        localScheduler.advance(now);
    }

    /** Creates a slot in the pending state, which {@link #send} has still to request. */
    UpstreamSlot request(SlotRequest request, UpstreamSlot.Listener listener, long now) {
        return new UpstreamSlot(this, request, listener, now);
    }

    /** Sends the request for a slot to a scheduler; the local one may grant or reject it before this method returns. */
    void send(UpstreamSlot slot, long now) {
        Optional<String> attached = attach(now);
        Optional<String> scheduler = failover.staysLocal(slot.failedSchedulers()) ? Optional.empty() : attached;
        long id = ++nextId;
        slot.markSent(scheduler.orElse(LOCAL_ADDRESS), id, now);
        pending.put(id, slot);
        SlotRequest request = slot.request(now).withRests(rests.current(now));
        if (scheduler.isPresent()) {
            links.send(scheduler.get(), new FleetMessage.RequestSlot(id, request));
        } else {
            localScheduler.request(LOCAL_ENTRY, id, request, now);
        }
    }

    /** Returns the runs of those upstreams to which this entry recently could not connect. */
    List<String> unreachable(String pool, long now) {
        return pools.dispatcher(pool).upstreams().unreachableRuns(now);
    }

    /** Returns whether the current view, and the upstream itself, allow requests to be sent to it. */
    boolean isUsable(UpstreamLoad upstream, long now) {
        return pools.isUsable(upstream, now) && !isResting(upstream, now);
    }

    /** Returns whether an upstream has asked this entry to send it nothing at present. */
    boolean isResting(UpstreamLoad upstream, long now) {
        return rests.isResting(upstream.run(), now);
    }

    /** Records that an upstream asks this entry to send it nothing for some time, in milliseconds. */
    void recordRest(UpstreamLoad upstream, long millis, long now) {
        rests.record(upstream.run(), millis, now);
    }

    /** Cancels a request for a slot at its scheduler. */
    void cancel(UpstreamSlot slot) {
        pending.remove(slot.id());
        release(slot.scheduler(), slot.id());
    }

    /** Sends a report on a granted slot to the local scheduler and to the attached one. */
    void report(UpstreamSlot slot, SlotReport report) {
        localScheduler.report(LOCAL_ENTRY, slot.id(), report, EntryServices.now());
        if (!attachedScheduler.equals(LOCAL_ADDRESS)) {
            links.send(attachedScheduler, new FleetMessage.ReportSlot(slot.id(), report, List.of()));
        }
    }

    /**
     * Sends new notes on crashes to the attached scheduler, or to all others while the local one is in use; one that is
     * attached later gets all notes.
     */
    void publishCrashes(List<CrashNote> notes) {
        Collection<String> receivers =
                attachedScheduler.equals(LOCAL_ADDRESS) ? schedulerAddresses : List.of(attachedScheduler);
        receivers.stream()
                .filter(address -> links.connectionCount(address) > 0)
                .forEach(address -> links.send(address, new FleetMessage.ReportSlot(NO_SLOT, NO_REPORT, notes)));
    }

    /** Handles a scheduler's reply; a slot granted to a request that is no longer pending is released. */
    void onReply(String scheduler, FleetMessage.Reply reply, long now) {
        crashListener.accept(reply.crashes());
        UpstreamSlot slot = pending.get(reply.id());
        if (slot == null) {
            if (reply.reply() instanceof SlotReply.Granted) {
                release(scheduler, reply.id());
            }
            return;
        }
        slot.markReplied();
        if (!isUnready(reply.reply())) {
            failover.recordReply(scheduler);
        }
        if (reply.reply() instanceof SlotReply.Granted granted) {
            pending.remove(reply.id());
            onGranted(slot, granted, now);
        } else if (reply.reply() instanceof SlotReply.Rejected rejected) {
            pending.remove(reply.id());
            onRejected(slot, rejected, now);
        }
    }

    private void onGranted(UpstreamSlot slot, SlotReply.Granted granted, long now) {
        Optional<UpstreamLoad> upstream =
                localScheduler.recordGrant(LOCAL_ENTRY, slot.toHeldSlot(granted.upstream()), now);
        if (upstream.isPresent()
                && isUsable(upstream.get(), now)
                && slot.allows(upstream.get().upstream())) {
            pools.organisationRule(slot.organisation())
                    .ifPresent(rule -> localQuotas.recordGrantElsewhere(rule, slot.quotaCost(), now));
            slot.grant(upstream.get(), !granted.eventTimeKnown());
            return;
        }
        // The scheduler's view is older or newer than this entry's, or its build supports no terms of requests; the
        // entry decides where it sends requests.
        localScheduler.report(LOCAL_ENTRY, slot.id(), new SlotReport.Ended(SlotOutcome.UNUSED), now);
        release(slot.scheduler(), slot.id());
        if (slot.decline(granted.upstream()) < MAX_DECLINED_GRANTS) {
            send(slot, now);
        } else {
            slot.reject(new SlotReply.Rejected(SlotReply.Reason.OVERLOAD, VIEW_MILLIS));
        }
    }

    private static boolean isUnready(SlotReply reply) {
        return reply instanceof SlotReply.Rejected rejected && rejected.reason() == SlotReply.Reason.UNREADY;
    }

    private void onRejected(UpstreamSlot slot, SlotReply.Rejected rejected, long now) {
        if (isUnready(rejected)) {
            failover.recordUnready(slot.scheduler(), now);
            slot.recordSchedulerFailure();
            if (attachedScheduler.equals(slot.scheduler())) {
                attachedScheduler = LOCAL_ADDRESS;
            }
            send(slot, now);
        } else {
            if (rejected.reason() == SlotReply.Reason.QUOTA) {
                localQuotas.recordRefusalElsewhere(slot.organisation(), now);
            }
            slot.reject(rejected);
        }
    }

    /** Switches to another scheduler if the connection to the attached one is lost. */
    void onLinkLost(String scheduler, long now) {
        if (scheduler.equals(attachedScheduler)) {
            failover.recordDisconnection(scheduler, now);
            onSchedulerLost(scheduler, "connection", now);
        }
    }

    /** Returns whether any request for a slot is pending. */
    boolean hasPending() {
        return !pending.isEmpty();
    }

    /** Replaces schedulers that have not replied in time, rejects overdue requests and advances the local scheduler. */
    void checkPending(long now) {
        localScheduler.advance(now);
        if (attachedScheduler.equals(LOCAL_ADDRESS) && !pending.isEmpty()) {
            attach(now);
        }
        stateRecentUse(now);
        reportLocalUse(now);
        for (UpstreamSlot slot : List.copyOf(pending.values())) {
            if (!slot.isPending() || slot.scheduler().equals(LOCAL_ADDRESS)) {
                continue;
            }
            if (slot.isUnanswered(SchedulerFailover.PROBE_AFTER_MILLIS - 1, now)) {
                failover.onUnanswered(now);
            }
            if (slot.isUnanswered(failover.replyTimeoutMillis(slot.failedSchedulers()), now)) {
                onUnanswered(slot, now);
            } else if (slot.isOverdue(OVERDUE_MARGIN_MILLIS, now)) {
                cancel(slot);
                slot.reject(new SlotReply.Rejected(SlotReply.Reason.OVERLOAD, VIEW_MILLIS));
            }
        }
    }

    /** Replaces a scheduler that has not replied, or only for this request if that one has waited for another before. */
    private void onUnanswered(UpstreamSlot slot, long now) {
        if (slot.failedSchedulers() == 0) {
            failover.recordSilence(slot.scheduler(), now);
            onSchedulerLost(slot.scheduler(), "silence", now);
            return;
        }
        metrics.recordLostSchedulerWait(slot.millisSinceSent(now));
        slot.recordSchedulerFailure();
        pending.remove(slot.id());
        release(slot.scheduler(), slot.id());
        send(slot, now);
    }

    /** Returns the address of the chosen scheduler, empty for the local one, and attaches to it if needed. */
    private Optional<String> attach(long now) {
        Optional<String> chosen = failover.choose(attachedScheduler, now);
        String next = chosen.orElse(LOCAL_ADDRESS);
        int connection = links.connectionCount(next);
        if (next.equals(attachedScheduler) && connection == attachedConnection) {
            return chosen;
        }
        String previous = attachedScheduler;
        attachedScheduler = next;
        attachedConnection = connection;
        links.setWatchedAddress(next);
        events.emit(EventCode.SCHEDULER, next, previous, pending.size());
        if (chosen.isPresent()) {
            links.send(
                    next,
                    new FleetMessage.Attach(entry, localScheduler.heldSlots(LOCAL_ENTRY), crashes.strongestNotes(now)));
        }
        if (!previous.equals(LOCAL_ADDRESS)) {
            withdraw(previous);
            links.send(previous, new FleetMessage.Detach());
            resend(previous, now);
        } else if (chosen.isPresent()) {
            moveFromLocalScheduler(now);
        }
        return chosen;
    }

    /** States to schedulers over each new connection what this entry has used, as they may have just started. */
    private void stateRecentUse(long now) {
        for (String address : schedulerAddresses) {
            int connection = links.connectionCount(address);
            Integer previous = statedOverConnection.put(address, connection);
            Map<String, UseHistory> use = connection == 0 || (previous != null && previous == connection)
                    ? Map.of()
                    : localQuotas.recentUse(now);
            if (!use.isEmpty()) {
                Optional<FleetMessage.EntryUse> stated = Optional.of(new FleetMessage.EntryUse(entry, use));
                links.send(address, new FleetMessage.ReportSlot(NO_SLOT, NO_REPORT, List.of(), Map.of(), stated));
            }
        }
    }

    /** Reports what the local scheduler has admitted to the attached one, which counts it as its own use. */
    private void reportLocalUse(long now) {
        if (!localQuotas.hasUnreportedUse() || links.connectionCount(attachedScheduler) == 0) {
            return;
        }
        Map<String, UseHistory> use = localQuotas.takeUnreportedUse(now);
        use.forEach((organisation, history) -> events.emit(EventCode.LOCAL_USE, organisation, history.total()));
        links.send(
                attachedScheduler, new FleetMessage.ReportSlot(NO_SLOT, NO_REPORT, List.of(), use, Optional.empty()));
    }

    private void onSchedulerLost(String scheduler, String cause, long now) {
        List<UpstreamSlot> waiting = pendingAt(scheduler);
        long longestMillis = 0;
        for (UpstreamSlot slot : waiting) {
            slot.recordSchedulerFailure();
            metrics.recordLostSchedulerWait(slot.millisSinceSent(now));
            longestMillis = Math.max(longestMillis, slot.millisSinceSent(now));
        }
        events.emit(EventCode.SCHEDULER_LOST, scheduler, cause, waiting.size(), longestMillis);
        if (scheduler.equals(attachedScheduler)) {
            attach(now);
        } else {
            resend(scheduler, now);
        }
    }

    /**
     * Withdraws the pending requests of one scheduler, which refunds their quota. A scheduler that detaches an entry keeps
     * the charge of the slots that it has granted.
     */
    private void withdraw(String scheduler) {
        pendingAt(scheduler).forEach(slot -> release(scheduler, slot.id()));
    }

    /** Sends the pending requests of one scheduler to the current one. */
    private void resend(String scheduler, long now) {
        List<UpstreamSlot> moved = pendingAt(scheduler);
        moved.forEach(slot -> pending.remove(slot.id()));
        moved.forEach(slot -> send(slot, now));
    }

    /**
     * Sends the requests that wait at the local scheduler for lack of another one to the attached one. Requests that
     * schedulers have failed stay.
     */
    private void moveFromLocalScheduler(long now) {
        for (UpstreamSlot slot : pendingAt(LOCAL_ADDRESS)) {
            // Another request's withdrawal may have freed the quota or slot for this one.
            if (!failover.staysLocal(slot.failedSchedulers()) && pending.remove(slot.id()) != null) {
                release(LOCAL_ADDRESS, slot.id());
                send(slot, now);
            }
        }
    }

    private List<UpstreamSlot> pendingAt(String scheduler) {
        return pending.values().stream()
                .filter(slot -> slot.scheduler().equals(scheduler))
                .toList();
    }

    /** Releases a slot, or a pending request for one, at the scheduler that it was sent to. */
    private void release(String scheduler, long id) {
        SlotReport unused = new SlotReport.Ended(SlotOutcome.UNUSED);
        if (scheduler.equals(LOCAL_ADDRESS)) {
            localScheduler.report(LOCAL_ENTRY, id, unused, EntryServices.now());
        } else {
            links.send(scheduler, new FleetMessage.ReportSlot(id, unused, List.of()));
        }
    }

    /** Shows which schedulers are connected and answer. */
    private final class LinkContacts implements SchedulerFailover.Contacts {
        /** {@inheritDoc} */
        @Override
        public boolean isConnected(String address) {
            return links.connectionCount(address) > 0;
        }

        /** {@inheritDoc} */
        @Override
        public long answeredAt(String address) {
            return links.answeredAt(address);
        }

        /** {@inheritDoc} */
        @Override
        public void ping(String address) {
            links.ping(address);
        }
    }

    /** Handles the replies of the local scheduler. */
    private final class LocalReplies extends UpstreamEventLogger {
        LocalReplies() {
            super(events);
        }

        /** {@inheritDoc} */
        @Override
        public void onReply(String entryName, long id, SlotReply reply) {
            UpstreamSlot slot = pending.get(id);
            if (slot == null || reply instanceof SlotReply.Queued) {
                return;
            }
            pending.remove(id);
            if (reply instanceof SlotReply.Granted granted) {
                UpstreamLoad upstream = pools.dispatcher(granted.upstream().pool())
                        .upstreams()
                        .find(granted.upstream().runId())
                        .orElseThrow();
                metrics.countLocalGrant();
                localQuotas.recordLocalGrant(slot.organisation(), slot.quotaCost(), EntryServices.now());
                slot.grant(upstream, false);
            } else if (reply instanceof SlotReply.Rejected rejected) {
                slot.reject(rejected);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onResponse(UpstreamLoad upstream, boolean succeeded) {}
    }
}
