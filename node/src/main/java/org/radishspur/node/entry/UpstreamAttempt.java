package org.radishspur.node.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.decision.slot.SlotOutcome;
import org.radishspur.decision.slot.SlotReport;
import org.radishspur.model.catalogue.OrganisationRule;
import org.radishspur.model.catalogue.RequestKind;
import org.radishspur.node.dialect.CallerDialect.AnswerKind;
import org.radishspur.node.dialect.CallerDialect.Forward;
import org.radishspur.node.log.EventCode;
import org.radishspur.node.upstream.UpstreamExchange;
import org.radishspur.node.upstream.UpstreamHeaders;
import org.radishspur.node.upstream.UpstreamListener;

/**
 * Carries a request to one upstream and its answer back.
 */
final class UpstreamAttempt implements UpstreamListener {
    /** Plain answers up to this size are held until they are whole, so that a broken one can be got again, in bytes. */
    private static final int MAX_BUFFERED_BYTES = 256 << 10;

    /** After so many events a stream tells the pace of an upstream that is not known yet, before its end does. */
    private static final long EARLY_REPORT_EVENTS = 6;

    private final CallerExchange caller;
    private final EntryServices services;
    private final UpstreamSlot slot;
    private final UpstreamLoad upstream;
    private UpstreamExchange exchange;
    private Phase phase = Phase.CONNECTING;
    private long sentAt;
    private long lastByteAt;
    private HttpResponse responseHead;
    private AnswerKind kind;
    private ByteBuf buffered = Unpooled.EMPTY_BUFFER;
    private boolean firstByteReceived;
    private boolean eventTimeReported;
    private long firstByteAt;
    private long longestGapMillis;
    private final long eventsBeforeAttempt;

    UpstreamAttempt(CallerExchange caller, EntryServices services, UpstreamSlot slot) {
        this.caller = caller;
        this.services = services;
        this.slot = slot;
        this.upstream = slot.upstream();
        this.eventsBeforeAttempt = caller.splitter().eventCount();
    }

    void start() {
        exchange = services.exchanges().open(upstream.upstream().address(), this);
    }

    UpstreamLoad upstream() {
        return upstream;
    }

    /** {@inheritDoc} */
    @Override
    public void onConnected() {
        if (phase != Phase.CONNECTING) {
            exchange.abort();
            return;
        }
        if (!caller.mayStillBeSent(upstream)) {
            // Guards against a pause of the whole process while the connection was made: a key may have been revoked
            // or the failure domain evacuated meanwhile.
            exchange.abort();
            end(SlotOutcome.UNUSED);
            caller.onOutdated();
            return;
        }
        phase = Phase.RUNNING;
        sentAt = EntryServices.now();
        lastByteAt = sentAt;
        caller.onSent();
        logSent();
        exchange.write(forwardedRequest());
        exchange.read();
    }

    private void logSent() {
        if (services.events().samples(caller.head().request())) {
            services.events()
                    .emitFor(
                            EventCode.SENT,
                            caller.head().request(),
                            upstream.upstream().id(),
                            upstream.inProgress(),
                            sentAt - caller.arrivedAt(),
                            caller.remainingMillis(),
                            services.view().revision());
        }
    }

    private FullHttpRequest forwardedRequest() {
        FullHttpRequest copy = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                caller.request().method(),
                caller.request().uri(),
                caller.retainedBody());
        HttpHeaders headers = copy.headers();
        UpstreamHeaders.INSTANCE.copyEndToEnd(caller.request().headers(), headers);
        boolean hasBody = copy.content().isReadable() || HttpUtil.isContentLengthSet(caller.request());
        headers.remove("Content-Length");
        if (hasBody) {
            HttpUtil.setContentLength(copy, copy.content().readableBytes());
        }
        long resumeAfter = caller.route().kind() == RequestKind.STREAM
                ? caller.splitter().lastEventId()
                : caller.head().resumeAfter();
        services.dialect()
                .prepare(
                        headers,
                        new Forward(
                                upstream.upstream().id(),
                                caller.organisation().map(OrganisationRule::name),
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
        end(SlotOutcome.UNREACHABLE);
        caller.onNotRun("connect-failed", false);
    }

    /** {@inheritDoc} */
    @Override
    public void onHead(HttpResponse response) {
        if (phase != Phase.RUNNING) {
            return;
        }
        kind = services.dialect().judge(response, caller.head().request());
        if (kind == AnswerKind.OTHER_REQUEST) {
            exchange.skipResponse();
            return;
        }
        long now = EntryServices.now();
        lastByteAt = now;
        responseHead = response;
        switch (kind) {
            case SUCCESS -> onSuccess();
            case FAILURE -> onFailure();
            case NOT_RUN, WRONG_INSTANCE -> {
                phase = Phase.DRAINING;
            }
            default -> {
                exchange.abort();
                endAnswered(false);
                caller.onAttemptFailed("spoilt");
            }
        }
    }

    private void onSuccess() {
        if (isEventStream()) {
            caller.response().writeHead(responseHead, !caller.route().resumable());
        } else {
            buffered = Unpooled.buffer();
        }
    }

    private void onFailure() {
        boolean server = responseHead.status().code() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
        if (caller.response().isHeadWritten()) {
            // Guards against a short answer that looks complete: the caller has the head and some events of an earlier
            // run, and the text of a failure behind them would end the answer as if it were whole.
            endAnswered(!server);
            exchange.abort();
            caller.onAttemptFailed("failure after the answer had begun");
            return;
        }
        if (server && caller.tryTakeRetry()) {
            endAnswered(false);
            phase = Phase.DRAINING;
            caller.retry("upstream-failure");
            return;
        }
        buffered = Unpooled.buffer();
    }

    private boolean isEventStream() {
        return kind == AnswerKind.SUCCESS && caller.route().kind() == RequestKind.STREAM;
    }

    /** {@inheritDoc} */
    @Override
    public void onContent(ByteBuf content) {
        try {
            if (phase != Phase.RUNNING || responseHead == null) {
                return;
            }
            recordBytes();
            if (isEventStream()) {
                ByteBuf whole = caller.splitter().split(content);
                reportFirstEventTime();
                caller.response().writeContent(caller.route().resumable() ? whole : content.retain());
                if (!caller.route().resumable()) {
                    whole.release();
                }
            } else {
                buffer(content);
            }
        } finally {
            content.release();
        }
    }

    /** Learns the pace of a new upstream in the middle of a stream, so that others needn't wait for its end to be known. */
    private void reportFirstEventTime() {
        long events = caller.splitter().eventCount() - eventsBeforeAttempt;
        if (slot.isEventTimeRequested() && !eventTimeReported && events >= EARLY_REPORT_EVENTS) {
            eventTimeReported = true;
            slot.report(new SlotReport.FirstEventTime((double) (EntryServices.now() - firstByteAt) / (events - 1)));
        }
    }

    private void buffer(ByteBuf content) {
        if (caller.response().isHeadWritten()) {
            caller.response().writeContent(content.retain());
            return;
        }
        buffered.writeBytes(content);
        if (buffered.readableBytes() > MAX_BUFFERED_BYTES) {
            caller.response().writeHead(responseHead, true);
            caller.response().writeContent(buffered);
            buffered = Unpooled.EMPTY_BUFFER;
        }
    }

    private void recordBytes() {
        long now = EntryServices.now();
        if (firstByteReceived) {
            longestGapMillis = Math.max(longestGapMillis, now - lastByteAt);
        }
        lastByteAt = now;
        upstream.recordBytes(now);
        if (!firstByteReceived) {
            firstByteReceived = true;
            firstByteAt = now;
            slot.report(new SlotReport.FirstByte(now - sentAt));
            caller.recordFirstByte(now - sentAt);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onPause() {
        if (phase == Phase.RUNNING) {
            caller.response().flush();
            if (caller.response().isWritable()) {
                exchange.read();
            }
        } else if (phase == Phase.DRAINING) {
            exchange.read();
        }
    }

    void read() {
        if (phase == Phase.RUNNING) {
            exchange.read();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onEnd() {
        Phase before = phase;
        if (before == Phase.DRAINING && (kind == AnswerKind.NOT_RUN || kind == AnswerKind.WRONG_INSTANCE)) {
            endNotRun();
            return;
        }
        if (before != Phase.RUNNING) {
            return;
        }
        boolean good = responseHead.status().code() < HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
        endComplete(good);
        caller.logAnswered(responseHead.status().code(), upstream, longestGapMillis);
        if (isEventStream()) {
            caller.response()
                    .writeContent(caller.route().resumable() ? caller.splitter().takeRest() : Unpooled.EMPTY_BUFFER);
            caller.writeEnd();
        } else if (caller.response().isHeadWritten()) {
            caller.writeEnd();
        } else {
            ByteBuf whole = buffered;
            buffered = Unpooled.EMPTY_BUFFER;
            caller.writeFull(responseHead, whole);
        }
    }

    private void endNotRun() {
        end(kind == AnswerKind.WRONG_INSTANCE ? SlotOutcome.REPLACED : SlotOutcome.NOT_RUN);
        caller.onNotRun(kind == AnswerKind.NOT_RUN ? "not-run" : "wrong-instance", true);
    }

    /** Ends the attempt after a whole answer, with the times that are learnt from a good one. */
    private void endComplete(boolean good) {
        if (!good) {
            endAnswered(false);
            return;
        }
        long now = EntryServices.now();
        long events = isEventStream() ? caller.splitter().eventCount() - eventsBeforeAttempt : 0;
        double pace = isEventStream() ? (double) (now - firstByteAt) / Math.max(1, events - 1) : now - sentAt;
        recordResponse(true);
        end(new SlotReport.Ended(
                SlotOutcome.SUCCESS,
                now - sentAt,
                isEventStream() && events <= 1 ? 0 : pace,
                eventsBeforeAttempt == 0 ? events : 0,
                caller.expectedTokens()));
    }

    private void endAnswered(boolean good) {
        recordResponse(good);
        end(good ? SlotOutcome.SUCCESS : SlotOutcome.FAILURE);
    }

    private void recordResponse(boolean good) {
        long first = firstByteReceived ? lastByteAt - sentAt : EntryServices.now() - sentAt;
        services.recordResponse(upstream.upstream(), caller.route().name(), good, first);
    }

    /** {@inheritDoc} */
    @Override
    public void onBroken(Throwable cause) {
        if (phase == Phase.DRAINING && (kind == AnswerKind.NOT_RUN || kind == AnswerKind.WRONG_INSTANCE)) {
            endNotRun();
            return;
        }
        if (phase != Phase.RUNNING) {
            return;
        }
        if (upstream.isNewBreak(EntryServices.now())) {
            recordResponse(false);
        }
        end(SlotOutcome.BROKEN);
        caller.onAttemptFailed("broken: " + cause.getMessage());
    }

    boolean isSilent(long now) {
        boolean waits = phase == Phase.RUNNING && upstream.isSilent(now);
        return waits && now - lastByteAt > UpstreamLoad.SHORTEST_SILENCE_MILLIS;
    }

    /** Gives the attempt up: cancels the request at the upstream and gives its place back. */
    void abandon() {
        if (phase == Phase.ENDED) {
            return;
        }
        boolean drains = phase == Phase.DRAINING;
        end(phase == Phase.CONNECTING ? SlotOutcome.UNUSED : SlotOutcome.ABANDONED);
        if (!drains && exchange != null) {
            exchange.abort();
        }
    }

    private void end(SlotOutcome outcome) {
        end(new SlotReport.Ended(outcome));
    }

    private void end(SlotReport.Ended ended) {
        phase = Phase.ENDED;
        slot.end(ended);
    }

    /** Names how far the attempt is. */
    private enum Phase {
        /** Nothing was sent yet. */
        CONNECTING,
        /** The request was sent. */
        RUNNING,
        /** The rest of an answer comes that nobody is to get. */
        DRAINING,
        /** Nothing is to be expected any more. */
        ENDED
    }
}
