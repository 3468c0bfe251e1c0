package org.radishspur.node.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.radishspur.decision.dispatch.QuotaLedger;
import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.decision.slot.SchedulerChoice;
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
import org.radishspur.node.settings.FleetSettings;

/**
 * Gets slots for the requests of one entry from a scheduler, and from a small scheduler of its own where no other answers. The
 * traffic thread owns it.
 *
 * <p>The own scheduler counts every slot that this entry holds, whoever granted it. It so knows what to tell the next scheduler
 * on attaching to it, and has times of its own to go by when it must decide alone.
 */
final class SlotClient {
    /**
     * A scheduler that hasn't replied within this time gets no further request, in milliseconds; a reply takes one or two. A
     * request whose scheduler is frozen or cut off so waits no longer than this and one look.
     */
    static final long REPLY_TIMEOUT_MILLIS = 100;

    /** How long after the end of its wait a request is rejected here, in milliseconds; its scheduler does so sooner. */
    private static final long OVERDUE_MARGIN_MILLIS = 100;

    /** After so many grants of upstreams that this entry can't use a request is rejected. */
    private static final int MAX_DECLINED_GRANTS = 4;

    /** Names this entry to its own scheduler. */
    private static final String LOCAL_ENTRY = "";

    /** Stands for the own scheduler among the addresses. */
    private static final String LOCAL_ADDRESS = "";

    private final FleetSender links;
    private final EventLog events;
    private final String entry;
    private final PoolSet pools;
    private final SlotScheduler localScheduler;
    private final SchedulerChoice schedulerChoice;
    private final Map<Long, UpstreamSlot> pending = new HashMap<>();
    private String attachedScheduler = LOCAL_ADDRESS;
    private int attachedConnection;
    private long nextId;

    SlotClient(FleetSettings settings, FleetSender links, EventLog events) {
        this.links = links;
        this.events = events;
        entry = settings.peerAddress().toString();
        pools = new PoolSet(entry, settings.failureDomain(), settings.bounds().greatestTrialShare());
        // Alone it grants its part of the quotas and nothing of what they may be exceeded by, as others may do the
        // same.
        localScheduler = new SlotScheduler(pools, new QuotaLedger(QuotaLedger.Tolerance.NONE), new LocalReplies());
        schedulerChoice = new SchedulerChoice(entry, settings.failureDomain());
    }

    void onView(ConfirmedView view, long now) {
        pools.apply(view, Math.max(1, view.entries()), now);
        pools.quotaPart(1.0 / Math.max(1, view.entries()));
        schedulerChoice.schedulers(view.controls().stream()
                .collect(Collectors.toMap(ControlHost::address, ControlHost::failureDomain, (one, other) -> one)));
        localScheduler.advance(now);
    }

    /** Asks for a slot; the answer may come before this method returns. */
    UpstreamSlot request(SlotRequest request, UpstreamSlot.Listener listener, long now) {
        return new UpstreamSlot(this, request, listener, now);
    }

    /** Sends a request to a scheduler. */
    void send(UpstreamSlot slot, long now) {
        Optional<String> scheduler = attach(now);
        long id = ++nextId;
        slot.markSent(scheduler.orElse(LOCAL_ADDRESS), id, now);
        pending.put(id, slot);
        if (scheduler.isPresent()) {
            links.send(scheduler.get(), new FleetMessage.Ask(id, slot.request(now)));
        } else {
            localScheduler.request(LOCAL_ENTRY, id, slot.request(now), now);
        }
    }

    /** Returns the runs of upstreams to which this entry could not connect lately. */
    List<String> unreachable(String pool, long now) {
        return pools.dispatcher(pool).upstreams().unreachable(now);
    }

    /** Returns whether nothing is known against sending a request to an upstream. */
    boolean mayUse(UpstreamLoad upstream) {
        return pools.mayUse(upstream);
    }

    void cancel(UpstreamSlot slot) {
        pending.remove(slot.id());
        release(slot.scheduler(), slot.id());
    }

    void report(UpstreamSlot slot, SlotReport report) {
        localScheduler.report(LOCAL_ENTRY, slot.id(), report, EntryServices.now());
        if (!attachedScheduler.equals(LOCAL_ADDRESS)) {
            links.send(attachedScheduler, new FleetMessage.Report(slot.id(), report));
        }
    }

    /** Takes a reply of a scheduler. */
    void onReply(String scheduler, FleetMessage.Reply reply, long now) {
        UpstreamSlot slot = pending.get(reply.id());
        if (slot == null) {
            if (reply.reply() instanceof SlotReply.Granted) {
                release(scheduler, reply.id());
            }
            return;
        }
        schedulerChoice.answered(scheduler);
        slot.replied();
        if (reply.reply() instanceof SlotReply.Granted granted) {
            pending.remove(reply.id());
            onGranted(slot, granted, now);
        } else if (reply.reply() instanceof SlotReply.Rejected rejected) {
            pending.remove(reply.id());
            onRejected(slot, rejected, now);
        }
    }

    private void onGranted(UpstreamSlot slot, SlotReply.Granted granted, long now) {
        Optional<UpstreamLoad> upstream = localScheduler.adopt(LOCAL_ENTRY, slot.toHeldSlot(granted.upstream()), now);
        if (upstream.isPresent() && pools.mayUse(upstream.get())) {
            slot.grant(upstream.get(), !granted.eventTimeKnown());
            return;
        }
        // The scheduler's view is older or newer than this entry's, which answers for what it sends.
        localScheduler.report(LOCAL_ENTRY, slot.id(), new SlotReport.Ended(SlotOutcome.UNUSED), now);
        release(slot.scheduler(), slot.id());
        if (slot.decline(granted.upstream()) < MAX_DECLINED_GRANTS) {
            send(slot, now);
        } else {
            slot.reject(new SlotReply.Rejected(SlotReply.Reason.OVERLOAD, 0));
        }
    }

    private void onRejected(UpstreamSlot slot, SlotReply.Rejected rejected, long now) {
        if (rejected.reason() == SlotReply.Reason.UNREADY) {
            schedulerChoice.unready(slot.scheduler(), now);
            if (attachedScheduler.equals(slot.scheduler())) {
                attachedScheduler = LOCAL_ADDRESS;
            }
            send(slot, now);
        } else {
            slot.reject(rejected);
        }
    }

    /** Learns that the connection to a scheduler is gone. */
    void onLinkLost(String scheduler, long now) {
        if (scheduler.equals(attachedScheduler)) {
            onSchedulerLost(scheduler, "connection", now);
        }
    }

    /** Returns whether a request waits for a slot. */
    boolean hasPending() {
        return !pending.isEmpty();
    }

    /** Looks after requests whose scheduler has fallen silent, and lets those go on that wait here. */
    void checkPending(long now) {
        localScheduler.advance(now);
        for (UpstreamSlot slot : List.copyOf(pending.values())) {
            if (!slot.isPending() || slot.scheduler().equals(LOCAL_ADDRESS)) {
                continue;
            }
            if (slot.isUnanswered(REPLY_TIMEOUT_MILLIS, now)) {
                onSchedulerLost(slot.scheduler(), "silence", now);
            } else if (slot.isOverdue(OVERDUE_MARGIN_MILLIS, now)) {
                cancel(slot);
                slot.reject(new SlotReply.Rejected(SlotReply.Reason.OVERLOAD, 0));
            }
        }
    }

    /** Returns the scheduler to ask, and attaches to it where it isn't the one of the last request. */
    private Optional<String> attach(long now) {
        Optional<String> chosen = schedulerChoice.choose(address -> links.connection(address) > 0, now);
        String next = chosen.orElse(LOCAL_ADDRESS);
        int present = links.connection(next);
        if (next.equals(attachedScheduler) && present == attachedConnection) {
            return chosen;
        }
        String before = attachedScheduler;
        attachedScheduler = next;
        attachedConnection = present;
        links.attend(next);
        events.emit(EventCode.SCHEDULER, next, before, pending.size());
        if (chosen.isPresent()) {
            links.send(next, new FleetMessage.Attach(entry, localScheduler.held(LOCAL_ENTRY)));
        }
        if (!before.equals(LOCAL_ADDRESS)) {
            links.send(before, new FleetMessage.Detach());
            resend(before, now);
        }
        return chosen;
    }

    private void onSchedulerLost(String scheduler, String cause, long now) {
        schedulerChoice.failed(scheduler, now);
        events.emit(EventCode.SCHEDULER_LOST, scheduler, cause);
        if (scheduler.equals(attachedScheduler)) {
            attach(now);
        } else {
            resend(scheduler, now);
        }
    }

    /** Asks another scheduler for all that was asked of one and isn't decided. */
    private void resend(String scheduler, long now) {
        List<UpstreamSlot> undecided = pending.values().stream()
                .filter(slot -> slot.scheduler().equals(scheduler))
                .toList();
        undecided.forEach(slot -> pending.remove(slot.id()));
        undecided.forEach(slot -> send(slot, now));
    }

    private void release(String scheduler, long id) {
        SlotReport unused = new SlotReport.Ended(SlotOutcome.UNUSED);
        if (scheduler.equals(LOCAL_ADDRESS)) {
            localScheduler.report(LOCAL_ENTRY, id, unused, EntryServices.now());
        } else {
            links.send(scheduler, new FleetMessage.Report(id, unused));
        }
    }

    /** Takes what the own scheduler decides. */
    private final class LocalReplies implements SlotScheduler.Listener {
        /** {@inheritDoc} */
        @Override
        public void onReply(String self, long id, SlotReply reply) {
            UpstreamSlot slot = pending.get(id);
            if (slot == null || reply instanceof SlotReply.Queued) {
                return;
            }
            pending.remove(id);
            if (reply instanceof SlotReply.Granted granted) {
                UpstreamLoad upstream = pools.dispatcher(granted.upstream().pool())
                        .upstreams()
                        .find(granted.upstream().run())
                        .orElseThrow();
                slot.grant(upstream, false);
            } else if (reply instanceof SlotReply.Rejected rejected) {
                slot.reject(rejected);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onAnswer(UpstreamLoad upstream, boolean good) {}

        /** {@inheritDoc} */
        @Override
        public void onEjected(UpstreamLoad upstream, String cause) {
            events.emit(EventCode.EJECTED, upstream.upstream().id(), cause);
        }
    }
}
