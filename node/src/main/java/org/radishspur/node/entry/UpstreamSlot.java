package org.radishspur.node.entry;

import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.decision.slot.HeldSlot;
import org.radishspur.decision.slot.SlotOutcome;
import org.radishspur.decision.slot.SlotReply;
import org.radishspur.decision.slot.SlotReport;
import org.radishspur.decision.slot.SlotRequest;
import org.radishspur.model.catalogue.Upstream;

/**
 * The slot of one attempt, which is requested, then granted or rejected, and released in the end. The traffic thread
 * owns it.
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
    private int failedSchedulers;
    private State state = State.PENDING;
    private UpstreamLoad upstream;
    private boolean eventTimeRequested;

    UpstreamSlot(SlotClient client, SlotRequest request, Listener listener, long now) {
        this.client = client;
        this.request = request;
        this.listener = listener;
        this.requestedAt = now;
    }

    /** Returns the organisation whose quota the request is charged to, or an empty name. */
    String organisation() {
        return request.organisation();
    }

    /** Returns what the request costs of that quota. */
    double quotaCost() {
        return request.quotaCost();
    }

    /** Returns the upstream of a granted slot, null before the grant. */
    UpstreamLoad upstream() {
        return upstream;
    }

    /** Returns whether the scheduler requests the event time early, as it has no measurement of the upstream yet. */
    boolean isEventTimeRequested() {
        return eventTimeRequested;
    }

    /** Cancels a request that is still pending. */
    void cancel() {
        if (state == State.PENDING) {
            state = State.ENDED;
            client.cancel(this);
        }
    }

    /** Sends a report on the attempt to the scheduler, if the slot is granted. */
    void report(SlotReport report) {
        if (state == State.GRANTED) {
            client.report(this, report);
        }
    }

    /** Releases the slot with a final report. */
    void end(SlotReport.Ended ended) {
        report(ended);
        state = State.ENDED;
    }

    /** Releases the slot with an outcome but without measured times. */
    void end(SlotOutcome outcome) {
        end(new SlotReport.Ended(outcome));
    }

    boolean isPending() {
        return state == State.PENDING;
    }

    /** Returns the number under which the request was last sent to a scheduler. */
    long id() {
        return id;
    }

    /** Returns the address of the scheduler that the request was last sent to; the local one has an empty address. */
    String scheduler() {
        return scheduler;
    }

    /** Returns the request with its times reduced by the time that has passed since it was made. */
    SlotRequest request(long now) {
        return request.withElapsed(now - requestedAt);
    }

    /** Records that the request is sent to a scheduler under a new number, and that this one has not replied. */
    void markSent(String address, long number, long now) {
        scheduler = address;
        id = number;
        sentAt = now;
        replied = false;
    }

    /** Records that the scheduler that the request was last sent to has not replied in time or isn't ready. */
    void recordSchedulerFailure() {
        failedSchedulers++;
    }

    /** Returns how many schedulers have failed the request. */
    int failedSchedulers() {
        return failedSchedulers;
    }

    /** Returns how long ago the request was last sent to a scheduler, in milliseconds. */
    long millisSinceSent(long now) {
        return now - sentAt;
    }

    void markReplied() {
        replied = true;
    }

    /** Returns whether the scheduler has not replied for longer than a time in milliseconds. */
    boolean isUnanswered(long millis, long now) {
        return !replied && now - sentAt > millis;
    }

    /** Returns whether the maximum wait for the slot passed more than a time in milliseconds ago. */
    boolean isOverdue(long millis, long now) {
        return now - requestedAt > request.maxWaitMillis() + millis;
    }

    /** Returns whether the terms of the request allow an upstream to run it. */
    boolean allows(Upstream granted) {
        return request.terms().allowsDomain(granted.failureDomain());
    }

    /** Describes this slot for schedulers that have not granted it. */
    HeldSlot toHeldSlot(Upstream granted) {
        return new HeldSlot(
                id,
                request.pool(),
                granted.runId(),
                request.expectedLoad().promptTokens(),
                request.expectedLoad().tier());
    }

    /** Excludes an upstream that was granted but is unusable, and returns how many grants were declined. */
    int decline(Upstream granted) {
        request = request.avoidingUpstream(granted.runId());
        return ++declinedGrants;
    }

    void grant(UpstreamLoad granted, boolean eventTimeWanted) {
        state = State.GRANTED;
        upstream = granted;
        eventTimeRequested = eventTimeWanted;
        listener.onGranted(this);
    }

    void reject(SlotReply.Rejected rejected) {
        state = State.ENDED;
        listener.onRejected(rejected);
    }

    /** The states of a slot. */
    private enum State {
        /** It was requested. */
        PENDING,
        /** It is granted and not yet released. */
        GRANTED,
        /** Its request was rejected or cancelled, or the slot was released. */
        ENDED
    }

    /**
     * Receives the decision on a request for a slot.
     */
    interface Listener {
        /**
         * Invoked when the slot is granted; the listener has to end it.
         *
         * @param slot the granted slot.
         */
        void onGranted(UpstreamSlot slot);

        /**
         * Invoked when the request is rejected.
         *
         * @param rejected the reason, and when to retry.
         */
        void onRejected(SlotReply.Rejected rejected);
    }
}
