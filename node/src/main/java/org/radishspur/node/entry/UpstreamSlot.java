package org.radishspur.node.entry;

import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.decision.slot.HeldSlot;
import org.radishspur.decision.slot.SlotOutcome;
import org.radishspur.decision.slot.SlotReply;
import org.radishspur.decision.slot.SlotReport;
import org.radishspur.decision.slot.SlotRequest;
import org.radishspur.model.catalogue.Upstream;

/**
 * Stands for the slot of one attempt: asked for, then granted or rejected, then free again. The traffic thread owns it.
 */
final class UpstreamSlot {
    private final SlotClient client;
    private final Listener listener;
    private final long requestedAt;
    private SlotRequest request;
    private long id;
    private String scheduler = "";
    private long sentAt;
    private boolean replied;
    private int declinedGrants;
    private State state = State.PENDING;
    private UpstreamLoad upstream;
    private boolean eventTimeRequested;

    UpstreamSlot(SlotClient client, SlotRequest request, Listener listener, long now) {
        this.client = client;
        this.request = request;
        this.listener = listener;
        this.requestedAt = now;
    }

    /** Returns the upstream whose slot it is, once it is granted. */
    UpstreamLoad upstream() {
        return upstream;
    }

    /** Returns whether the scheduler doesn't know yet how fast the upstream is. */
    boolean isEventTimeRequested() {
        return eventTimeRequested;
    }

    /** Gives up a request that has no slot yet. */
    void cancel() {
        if (state == State.PENDING) {
            state = State.ENDED;
            client.cancel(this);
        }
    }

    /** Reports how the attempt goes. */
    void report(SlotReport report) {
        if (state == State.GRANTED) {
            client.report(this, report);
        }
    }

    /** Gives the slot back. */
    void end(SlotReport.Ended ended) {
        report(ended);
        state = State.ENDED;
    }

    /** Gives the slot back without times to learn from. */
    void end(SlotOutcome outcome) {
        end(new SlotReport.Ended(outcome));
    }

    boolean isPending() {
        return state == State.PENDING;
    }

    long id() {
        return id;
    }

    String scheduler() {
        return scheduler;
    }

    /** Returns the request as it stands now. */
    SlotRequest request(long now) {
        return request.after(now - requestedAt);
    }

    /** Notes that the request is sent to a scheduler, under a number of its own. */
    void markSent(String address, long number, long now) {
        scheduler = address;
        id = number;
        sentAt = now;
        replied = false;
    }

    void replied() {
        replied = true;
    }

    /** Returns whether the scheduler has not replied at all for so long. */
    boolean isUnanswered(long millis, long now) {
        return !replied && now - sentAt > millis;
    }

    /** Returns whether the queueing deadline passed so long ago. */
    boolean isOverdue(long millis, long now) {
        return now - requestedAt > request.waitMillis() + millis;
    }

    HeldSlot toHeldSlot(Upstream granted) {
        return new HeldSlot(
                id,
                request.pool(),
                granted.run(),
                request.work().promptTokens(),
                request.work().tier());
    }

    /** Keeps the request from an upstream that was granted but can't be used, and counts how often that was so. */
    int decline(Upstream granted) {
        request = request.withoutUpstream(granted.run());
        return ++declinedGrants;
    }

    void grant(UpstreamLoad granted, boolean wantsEventTime) {
        state = State.GRANTED;
        upstream = granted;
        eventTimeRequested = wantsEventTime;
        listener.onGranted(this);
    }

    void reject(SlotReply.Rejected rejected) {
        state = State.ENDED;
        listener.onRejected(rejected);
    }

    /** Names how far the slot is. */
    private enum State {
        /** It was asked for. */
        PENDING,
        /** It is held. */
        GRANTED,
        /** It was rejected, withdrawn or given back. */
        ENDED
    }

    /**
     * Takes the answer to a request for a slot.
     */
    interface Listener {
        /**
         * Takes the slot.
         *
         * @param slot the slot.
         */
        void onGranted(UpstreamSlot slot);

        /**
         * Learns that there is no slot.
         *
         * @param rejected why not.
         */
        void onRejected(SlotReply.Rejected rejected);
    }
}
