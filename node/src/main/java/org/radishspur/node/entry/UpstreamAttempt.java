package org.radishspur.node.entry;

import java.net.ProtocolException;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.decision.slot.SlotOutcome;
import org.radishspur.decision.slot.SlotReport;
import org.radishspur.model.catalogue.OrganisationRule;
import org.radishspur.model.catalogue.RequestKind;
import org.radishspur.model.catalogue.RequestLimit;
import org.radishspur.node.dialect.CallerDialect.ForwardParameters;
import org.radishspur.node.dialect.CallerDialect.ResponseKind;
import org.radishspur.node.log.EventCode;
import org.radishspur.node.schedule.ConfirmedView;
import org.radishspur.node.upstream.PacedRequest;
import org.radishspur.node.upstream.ResponseEnd;
import org.radishspur.node.upstream.UpstreamCall;
import org.radishspur.node.upstream.UpstreamExchange;
import org.radishspur.node.upstream.UpstreamHeaders;
import org.radishspur.node.upstream.UpstreamListener;

/**
 * Sends a request to the upstream of one slot and passes its response to the caller. The slot is released at the end of
 * the attempt, with a final report on the upstream.
 */
final class UpstreamAttempt implements UpstreamListener {
    /**
     * Plain responses up to this size, in bytes, are buffered until complete, so that an interrupted one can be
     * retried.
     */
    private static final int MAX_BUFFERED_BYTES = 256 << 10;

    /** The maximum size of a response that is discarded so that its connection may be reused, in bytes. */
    private static final int MAX_DISCARDED_BYTES = 64 << 10;

    /** The maximum wait for the rest of a rejection, so that its connection may be reused, in milliseconds. */
    private static final long MAX_REJECTION_SILENCE_MILLIS = 200;

    /** The number of events of a stream after which the event time of a not yet measured upstream is reported early. */
    private static final long EARLY_REPORT_EVENTS = 6;

    /** The time for which any upstream keeps a response that isn't read, in milliseconds. */
    private static final long MAX_UNREAD_MILLIS = 1_000;

    private final EntryExchange caller;
    private final EntryServices services;
    private final UpstreamSlot slot;
    private final UpstreamLoad upstream;
    private final VersionEvidence evidence;
    private final ConfirmedView viewAtGrant;
    private final HeldBytes.Share held;
    private final AttemptTimes times = new AttemptTimes();
    private UpstreamExchange exchange;
    private String connectionName = "";
    private boolean requestWritten;
    private Phase phase = Phase.CONNECTING;
    private HttpResponse responseHead;
    private ResponseKind kind;
    private ByteBuf buffered = Unpooled.EMPTY_BUFFER;
    private Optional<RequestLimit> unreportedLimit = Optional.empty();
    private long restMillis;
    private boolean upstreamLeaves;
    private boolean eventTimeReported;
    private boolean connected;
    private EventSplitter splitter;
    private boolean resumed;
    private int sentBodyBytes;
    private int discardedBytes;

    UpstreamAttempt(EntryExchange caller, EntryServices services, UpstreamSlot slot) {
        this.caller = caller;
        this.services = services;
        this.slot = slot;
        this.upstream = slot.upstream();
        this.evidence = new VersionEvidence(
                services, upstream.upstream(), caller.route().name());
        this.viewAtGrant = services.view();
        this.held = services.heldBytes().share();
    }

    /**
     * Connects to the upstream.
     *
     * @param trialAllowed whether the request may try a broken path again.
     */
    void start(boolean trialAllowed) {
        UpstreamCall call = new UpstreamCall(
                upstream.upstream().address(),
                services.dialect().identify(caller.head().requestId()),
                trialAllowed,
                caller.mayBeRelayed());
        exchange = services.exchanges().open(call, this);
    }

    UpstreamLoad upstream() {
        return upstream;
    }

    /** Returns the name of the connection and of the exchange on it, or an empty text where nothing was sent. */
    String connectionName() {
        return connectionName;
    }

    /** Returns whether all bytes of the request had been passed to the socket when the response was complete. */
    boolean isRequestWritten() {
        return requestWritten;
    }

    long longestPauseMillis() {
        return times.longestPauseMillis();
    }

    /** Returns the number of bytes after the last complete event. */
    int restBytes() {
        return splitter.restBytes();
    }

    /** {@inheritDoc} */
    @Override
    public void onConnected() {
        if (phase != Phase.CONNECTING) {
            exchange.abort();
            return;
        }
        connected = true;
        if (!caller.attempts().isHeld(this)) {
            sendIfConnected();
        }
    }

    /** Sends the request if the connection is established and nothing has been sent, as soon as the thread isn't behind. */
    void sendIfConnected() {
        if (connected && phase == Phase.CONNECTING) {
            services.sends().send(this::send);
        }
    }

    private void send() {
        if (phase != Phase.CONNECTING) {
            return;
        }
        if (!caller.maySend(this, viewAtGrant)) {
            // A key may have been revoked or the failure domain evacuated while the connection was made, for instance
            // during a pause of the entire process.
            exchange.abort();
            end(SlotOutcome.UNUSED);
            caller.onOutdated(this);
            return;
        }
        phase = Phase.RUNNING;
        times.recordSent(EntryServices.now());
        connectionName = exchange.name();
        splitter = new EventSplitter(caller.lastEventId());
        resumed = caller.eventCount() > 0;
        caller.attempts().onSent(this);
        logSent();
        writeRequest();
        exchange.read();
    }

    private void writeRequest() {
        if (!services.heldBytes().isLimited()) {
            exchange.write(forwardedRequest());
            return;
        }
        sentBodyBytes = caller.body().readableBytes();
        services.unansweredBodies().add(upstream.upstream(), sentBodyBytes);
        PacedRequest.write(exchange, forwardedRequest());
    }

    private void logSent() {
        int sending = caller.attempts().sendings();
        if (sending > 1 || services.events().isSampled(caller.head().requestId())) {
            services.events()
                    .emitForRequest(
                            EventCode.SENT,
                            caller.head().requestId(),
                            upstream.upstream().id(),
                            upstream.inProgress(),
                            times.sentAt() - caller.arrivedAt(),
                            caller.remainingMillis(),
                            services.view().revision(),
                            sending,
                            connectionName);
        }
    }

    /** Builds the request to the upstream, which resumes a stream after the last complete event. */
    private FullHttpRequest forwardedRequest() {
        long resumeAfter = caller.route().kind() == RequestKind.STREAM
                ? splitter.lastEventId()
                : caller.head().resumeAfter();
        FullHttpRequest copy = UpstreamHeaders.INSTANCE.copyRequest(caller.request(), caller.retainedBody());
        services.dialect()
                .rewriteHeaders(
                        copy.headers(),
                        new ForwardParameters(
                                upstream.upstream().id(),
                                caller.routed().organisation().map(OrganisationRule::name),
                                caller.remainingMillis(),
                                resumeAfter));
        return copy;
    }

    /** {@inheritDoc} */
    @Override
    public void onConnectFailed() {
        if (phase != Phase.CONNECTING) {
            return;
        }
        end(services.links().isOwnFault() ? SlotOutcome.UNUSED : SlotOutcome.UNREACHABLE);
        caller.onNotRun(this, "connect-failed", false);
    }

    /** {@inheritDoc} */
    @Override
    public void onExtraResponse(HttpResponse response) {
        String requestId = caller.head().requestId();
        services.metrics().countExtraResponse();
        services.events()
                .emitForRequest(
                        EventCode.EXTRA_RESPONSE,
                        requestId,
                        upstream.upstream().id(),
                        connectionName,
                        services.dialect().identify(requestId).statedBy(response),
                        response.status().code());
    }

    /** {@inheritDoc} */
    @Override
    public void onResponseHead(HttpResponse response) {
        if (phase != Phase.RUNNING) {
            return;
        }
        kind = services.dialect().classify(response);
        long now = EntryServices.now();
        times.recordArrival(now);
        responseHead = response;
        if (kind != ResponseKind.WRONG_INSTANCE) {
            unreportedLimit = Optional.of(services.dialect().decodeLimit(response));
            restMillis = services.dialect().decodeRestMillis(response);
            services.slots().recordRest(upstream, restMillis, now);
            upstreamLeaves = services.dialect().isLeaving(response);
            if (upstreamLeaves) {
                upstream.markLeaving(now);
            }
        }
        switch (kind) {
            case SUCCESS -> onSuccess();
            case FAILURE -> onFailure();
            case NOT_RUN, WRONG_INSTANCE -> {
                phase = Phase.DRAINING;
            }
            default -> {
                exchange.abort();
                endAnswered(false);
                caller.onAttemptFailed(this, "spoilt");
            }
        }
    }

    private void onSuccess() {
        caller.attempts().onProgress(this);
        if (!isEventStream()) {
            buffered = Unpooled.buffer();
        } else if (!caller.attempts().isSecondSent()) {
            writeHead();
        }
    }

    /** Writes the head of a stream, unless the caller has one. */
    private void writeHead() {
        caller.response().writeHead(responseHead, !caller.route().resumable());
    }

    private void onFailure() {
        boolean serverError = responseHead.status().code() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
        if (caller.response().isHeadWritten() || caller.attempts().isSecondSent()) {
            // An error text after the head and some events from an earlier upstream would make the truncated response
            // look complete. Where another attempt goes on, the response may still be a success.
            endAnswered(!serverError);
            exchange.abort();
            caller.onAttemptFailed(
                    this, "failure status " + responseHead.status().code());
            return;
        }
        if (serverError && caller.tryTakeRetry()) {
            endAnswered(false);
            phase = Phase.DRAINING;
            caller.retry("upstream-failure");
            return;
        }
        buffered = Unpooled.buffer();
    }

    private boolean isEventStream() {
        return kind == ResponseKind.SUCCESS && caller.route().kind() == RequestKind.STREAM;
    }

    /** {@inheritDoc} */
    @Override
    public void onContent(ByteBuf content) {
        try {
            if (phase == Phase.DRAINING) {
                times.recordArrival(EntryServices.now());
                discard(content.readableBytes());
            }
            if (phase != Phase.RUNNING || responseHead == null) {
                return;
            }
            recordBytes();
            if (isEventStream()) {
                writeEvents(content);
            } else {
                buffer(content);
            }
        } finally {
            content.release();
        }
    }

    /** Counts a part of a response that is discarded, and closes the connection where the response doesn't end. */
    private void discard(int bytes) {
        discardedBytes += bytes;
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            exchange.abort();
            onConnectionLost(new ProtocolException("a discarded response has no end"));
        }
    }

    /** Writes the part of a stream to the caller: complete events only, if another upstream may resume the stream. */
    private void writeEvents(ByteBuf content) {
        long eventsBefore = splitter.eventCount();
        ByteBuf complete = splitter.split(content);
        held.set(splitter.restBytes());
        long newEvents = splitter.eventCount() - eventsBefore;
        if (newEvents > 0) {
            caller.onEvents(this, newEvents, splitter.lastEventId());
            writeHead();
        }
        reportFirstEventTime();
        if (caller.route().resumable()) {
            caller.response().writeContent(complete);
        } else {
            complete.release();
            caller.response().writeContent(content.retain());
        }
        if (isEndlessEvent()) {
            exchange.abort();
            onMalformedResponse(new ProtocolException("an event has no end"));
        }
    }

    /** Returns whether the upstream sends an event that is larger than what may be held for a caller. */
    private boolean isEndlessEvent() {
        return services.heldBytes().isLimited()
                && splitter.restBytes() > CallerBacklog.MAX_BYTES
                && (caller.route().resumable() || UpstreamHeaders.INSTANCE.mayBeEventStream(responseHead));
    }

    /**
     * Reports the event time of a new upstream in the middle of a stream, so that schedulers receive it before the end.
     */
    private void reportFirstEventTime() {
        long events = splitter.eventCount();
        if (slot.isEventTimeRequested() && !eventTimeReported && events >= EARLY_REPORT_EVENTS) {
            eventTimeReported = true;
            long millis = times.bodyMillis(EntryServices.now());
            slot.report(new SlotReport.FirstEventTime((double) millis / (events - 1)));
        }
    }

    /**
     * Buffers a part of a plain response, or writes it to the caller where the response has become too large for that.
     */
    private void buffer(ByteBuf content) {
        if (caller.response().isHeadWritten()) {
            caller.response().writeContent(content.retain());
            return;
        }
        buffered.writeBytes(content);
        held.set(buffered.capacity());
        if (buffered.readableBytes() > maxBufferedBytes()) {
            caller.attempts().keep(this);
            caller.response().writeHead(responseHead, true);
            caller.response().writeContent(buffered);
            buffered = Unpooled.EMPTY_BUFFER;
            held.set(0);
        }
    }

    /** Returns how much is buffered so that an interrupted response can be retried; little while much is held. */
    private int maxBufferedBytes() {
        return services.heldBytes().hasRoom(HeldBytes.Use.READ_AHEAD, 0)
                ? MAX_BUFFERED_BYTES
                : CallerBacklog.SHORT_BYTES;
    }

    /** Records the arrival of bytes: times and pauses, and the first byte for the scheduler. */
    private void recordBytes() {
        long now = EntryServices.now();
        boolean first = times.recordBytes(now);
        caller.attempts().onProgress(this);
        upstream.recordBytes(now);
        if (first) {
            slot.report(new SlotReport.FirstByte(times.firstByteMillis(), unreportedLimit, upstreamLeaves));
            unreportedLimit = Optional.empty();
            caller.recordFirstByte(times.firstByteMillis());
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onReadComplete() {
        if (phase == Phase.RUNNING) {
            caller.response().flush();
            if (caller.response().isWritable()) {
                exchange.read();
            } else if (services.heldBytes().isLimited()) {
                pauseReading();
            }
        } else if (phase == Phase.DRAINING) {
            exchange.read();
        }
    }

    /** Reads more of the response, once the caller has received the written part. */
    void read() {
        if (phase == Phase.RUNNING) {
            times.endPause(EntryServices.now());
            exchange.read();
        }
    }

    private void pauseReading() {
        if (times.beginPause(EntryServices.now())) {
            services.metrics().countPausedResponse();
            exchange.pauseReading();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onResponseComplete(ResponseEnd end) {
        Phase before = phase;
        requestWritten = exchange.isRequestWritten();
        if (isRejectionIncomplete()) {
            endNotRun();
            return;
        }
        if (before == Phase.DRAINING) {
            phase = Phase.ENDED;
        }
        if (before != Phase.RUNNING) {
            return;
        }
        if (isBrokenOff(end)) {
            onConnectionLost(new ProtocolException("the connection was closed inside an event"));
            return;
        }
        caller.attempts().keep(this);
        boolean succeeded = responseHead.status().code() < HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
        if (succeeded) {
            caller.onResponseComplete(upstream.upstream(), end, EntryServices.now() - times.sentAt());
        }
        endComplete(succeeded);
        caller.logAnswered(this, responseHead.status().code(), end);
        if (isEventStream()) {
            writeHead();
            caller.response().writeContent(caller.route().resumable() ? splitter.takeRest() : Unpooled.EMPTY_BUFFER);
            caller.writeEnd();
        } else if (caller.response().isHeadWritten()) {
            caller.writeEnd();
        } else {
            ByteBuf complete = buffered;
            buffered = Unpooled.EMPTY_BUFFER;
            caller.writeFull(responseHead, complete);
        }
    }

    /**
     * Returns whether a stream has ended with its connection in the middle of an event. An upstream that ends closes
     * its connections like one that has sent everything; only the events show the difference.
     */
    private boolean isBrokenOff(ResponseEnd end) {
        return end == ResponseEnd.CONNECTION_CLOSED
                && isEventStream()
                && UpstreamHeaders.INSTANCE.mayBeEventStream(responseHead)
                && splitter.isInsideEvent();
    }

    /** Returns whether the response is a rejection whose end is due. */
    private boolean isRejectionIncomplete() {
        return phase == Phase.DRAINING && (kind == ResponseKind.NOT_RUN || kind == ResponseKind.WRONG_INSTANCE);
    }

    /** Ends the attempt if the upstream has rejected the request and doesn't send the rest of the rejection. */
    void checkRejection(long now) {
        if (isRejectionIncomplete() && times.silentMillis(now) > MAX_REJECTION_SILENCE_MILLIS) {
            exchange.abort();
            endNotRun();
        }
    }

    private void endNotRun() {
        // The second attempt is charged to no quota, so the charge of this one has to stay.
        SlotOutcome notRun = caller.attempts().isSecondRequested() ? SlotOutcome.ABANDONED : SlotOutcome.NOT_RUN;
        end(kind == ResponseKind.WRONG_INSTANCE ? SlotOutcome.REPLACED : notRun);
        caller.onNotRun(this, kind == ResponseKind.NOT_RUN ? "not-run" : "wrong-instance", true);
    }

    /**
     * Ends the attempt after a complete response, and reports the measured times unless it is a failure of the
     * upstream.
     */
    private void endComplete(boolean succeeded) {
        if (!succeeded) {
            endAnswered(false);
            return;
        }
        long now = EntryServices.now();
        long events = isEventStream() ? splitter.eventCount() : 0;
        long readMillis = times.readMillis(now);
        double eventMillis = isEventStream() ? (double) times.bodyMillis(now) / Math.max(1, events - 1) : readMillis;
        evidence.recordResponse(true);
        evidence.recordFirstByteTime(isEventStream() ? times.firstByteMillis() : readMillis);
        recordEventTimes();
        end(new SlotReport.Ended(
                        SlotOutcome.SUCCESS,
                        readMillis,
                        isEventStream() && events <= 1 ? 0 : eventMillis,
                        resumed ? 0 : events,
                        caller.routed().expectedTokens())
                .withLongestPause(isEventStream() ? times.longestPauseMillis() : 0));
    }

    /** Records the time between events so far. */
    private void recordEventTimes() {
        if (isEventStream()) {
            evidence.recordEventTimes(times.receivedMillis(), splitter.eventCount());
        }
    }

    /** Ends the attempt with a success or failure of the upstream, and reports no measured times. */
    private void endAnswered(boolean succeeded) {
        evidence.recordResponse(succeeded);
        end(succeeded ? SlotOutcome.SUCCESS : SlotOutcome.FAILURE);
    }

    /** {@inheritDoc} */
    @Override
    public void onConnectionLost(Throwable cause) {
        if (isRejectionIncomplete()) {
            endNotRun();
            return;
        }
        if (phase == Phase.CONNECTING) {
            end(SlotOutcome.UNUSED);
            caller.onNotRun(this, "connection lost before it was sent", false);
            return;
        }
        if (phase != Phase.RUNNING) {
            return;
        }
        // An upstream may cut off a response that remains unread.
        boolean ownFault = isPathBroken() || times.unreadMillis(EntryServices.now()) > MAX_UNREAD_MILLIS;
        boolean countsForVersion = !ownFault && upstream.isSeparateBreak(EntryServices.now());
        end(ownFault ? SlotOutcome.ABANDONED : SlotOutcome.BROKEN);
        long millis = EntryServices.now() - times.sentAt();
        caller.onConnectionLost(this, times.isFirstByteReceived(), millis, "broken: " + cause.getMessage(), result -> {
            if (countsForVersion) {
                evidence.recordBreak(result);
            }
        });
    }

    /** {@inheritDoc} */
    @Override
    public void onMalformedResponse(Throwable cause) {
        if (phase != Phase.RUNNING) {
            onConnectionLost(cause);
            return;
        }
        // Counted as a lost connection, several at a time would count once, and the path would be suspected.
        endAnswered(false);
        caller.onAttemptFailed(this, "malformed response: " + cause.getMessage());
    }

    /** Returns whether the request was sent and a response to it may still be passed on. */
    boolean isRunning() {
        return phase == Phase.RUNNING;
    }

    /** Returns whether no part of a response has been received, and one may still come. */
    boolean isUnanswered() {
        return phase == Phase.CONNECTING || phase == Phase.RUNNING && responseHead == null;
    }

    /** Returns whether the upstream seems to hang and has sent no part of this response for a while either. */
    boolean isSilent(long now) {
        return isStalled(now) && upstream.isSilent(now);
    }

    /** Returns whether the request was sent and no part of its response has come for a while. */
    private boolean isStalled(long now) {
        return phase == Phase.RUNNING && times.isStalled(now);
    }

    /** Returns whether this entry has lost its direct path to the upstream, so that the upstream is not at fault. */
    private boolean isPathBroken() {
        return exchange.isDirect()
                && services.links().isOwnFault()
                && services.links().paths().isBroken(upstream.upstream().address());
    }

    /** Returns whether no part of the response has come for a while and the path to the upstream is broken. */
    boolean isStalledOnBrokenPath(long now) {
        return isStalled(now) && isPathBroken();
    }

    /** Notes that the upstream is silent, and returns whether that wasn't noted since the last byte. */
    boolean beginSilence() {
        return times.beginSilence();
    }

    /** Returns the time since the last byte of the response, or since the request was sent, in milliseconds. */
    long silentMillis(long now) {
        return times.silentMillis(now);
    }

    /** Releases the slot while the attempt goes on. */
    void releaseSlot() {
        slot.end(SlotOutcome.ABANDONED);
    }

    /** Ends the attempt at the deadline of the request; a plain response that has begun and doesn't end is a failure. */
    void endAtDeadline() {
        if (phase == Phase.RUNNING && times.isFirstByteReceived() && !isEventStream()) {
            endAnswered(false);
            exchange.abort();
        }
    }

    /** Closes the connection if the rest of a discarded response is still due. */
    void endDiscarding() {
        if (phase == Phase.DRAINING) {
            phase = Phase.ENDED;
            exchange.abort();
        }
    }

    /** Ends the attempt early: cancels the request at the upstream and releases the slot. */
    void abandon() {
        if (phase == Phase.ENDED) {
            return;
        }
        if (isStalled(EntryServices.now()) && !isPathBroken()) {
            // Otherwise a version that never answers would have no failures.
            evidence.recordUnanswered();
        }
        if (phase == Phase.RUNNING) {
            // A slow stream that its caller doesn't wait for would otherwise show nothing.
            recordEventTimes();
        }
        end(phase == Phase.CONNECTING ? SlotOutcome.UNUSED : SlotOutcome.ABANDONED);
        if (exchange != null) {
            exchange.abort();
        }
    }

    private void end(SlotOutcome outcome) {
        end(new SlotReport.Ended(outcome));
    }

    private void end(SlotReport.Ended ended) {
        phase = Phase.ENDED;
        held.close();
        services.unansweredBodies().remove(upstream.upstream(), sentBodyBytes);
        sentBodyBytes = 0;
        slot.end(unreportedLimit.map(ended::withLimit).orElse(ended).withRequests(restMillis, upstreamLeaves));
    }

    /** The phases of an attempt. */
    private enum Phase {
        /** The connection is being made; nothing has been sent. */
        CONNECTING,
        /** The request has been sent, and the response is passed on. */
        RUNNING,
        /** The rest of a response is read and discarded. */
        DRAINING,
        /** The slot has been released. */
        ENDED
    }
}
