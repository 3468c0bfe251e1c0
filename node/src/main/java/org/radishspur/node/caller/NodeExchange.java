package org.radishspur.node.caller;

import java.net.ProtocolException;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import org.radishspur.decision.permit.PermitOutcome;
import org.radishspur.decision.permit.PermitOutcome.Ending;
import org.radishspur.decision.permit.RequestSize;
import org.radishspur.model.error.Refusal;
import org.radishspur.model.error.RefusalReason;
import org.radishspur.model.error.RetryReason;
import org.radishspur.model.error.RunState;
import org.radishspur.model.request.PermitId;
import org.radishspur.model.table.PoolKind;
import org.radishspur.node.control.PermitListener;
import org.radishspur.node.log.ComponentLog;
import org.radishspur.node.peer.PeerMessage;
import org.radishspur.node.peer.PeerMessage.ControlResult;
import org.radishspur.node.upstream.RequestIdentity;
import org.radishspur.node.upstream.ResponseEnd;
import org.radishspur.node.upstream.UpstreamCall;
import org.radishspur.node.upstream.UpstreamExchange;
import org.radishspur.node.upstream.UpstreamHeaders;
import org.radishspur.node.upstream.UpstreamListener;
import org.radishspur.replication.state.ClaimAnswer;
import org.radishspur.replication.state.ClaimHolder;
import org.radishspur.replication.state.ControlAnswer;

/**
 * Handles one request from its head to its one final answer: validates it, claims its key, obtains a permit, sends it
 * to an upstream and retries it elsewhere where that is safe. Runs only on the event loop of the caller's connection.
 */
final class NodeExchange {
    private static final int MAX_ATTEMPTS = 3;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    /** The maximum wait for the rest of a rejection, so that its connection may be reused, in milliseconds. */
    private static final long MAX_REJECTION_MILLIS = 200;

    private static final int DEFAULT_OUTPUT_TOKENS = 256;

    private final CallerServices services;
    private final CallerHandler connection;
    private final ChannelHandlerContext context;
    private final HttpRequest request;

    /** Also the id of the request, so that the caller's id leads to the lines of the queue's owner. */
    private final PermitId firstAttemptId;

    private final long beganNanos = System.nanoTime();
    private final ByteBuf initialBody = Unpooled.buffer(0);
    private final AnswerWriter answer;

    private ValidatedRequest validated;
    private TokenCounter tokens;
    private RequestClaim claim;
    private String fingerprint = "";
    private Stage stage = Stage.READING;

    /** Whether the caller has its final answer, or has disconnected. */
    private boolean callerDone;

    private boolean bodyComplete;

    /** Whether bytes of the body beyond the buffered ones were sent, so that the request can't be sent again. */
    private boolean unbufferedBodySent;

    private long bodyBytes;
    private int attemptCount;
    private Attempt attempt;
    private ScheduledFuture<?> deadlineTimer;
    private ScheduledFuture<?> inactivityTimer;

    NodeExchange(
            CallerServices services, CallerHandler connection, ChannelHandlerContext context, HttpRequest request) {
        this.services = services;
        this.connection = connection;
        this.context = context;
        this.request = request;
        this.firstAttemptId = services.core().nextPermitId();
        boolean beforeHttp11 = request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0;
        this.answer = new AnswerWriter(connection, context, firstAttemptId.text(), beforeHttp11);
    }

    void begin() {
        services.requestBegan();
        services.retryBudget().recordRequest();
        if (services.core().isShuttingDown()) {
            refuse(Refusal.notRun(RefusalReason.SHUTTING_DOWN, "This node is shutting down.", RETRY_AFTER_MILLIS));
            return;
        }
        if (!services.core().isReady()) {
            refuse(Refusal.notRun(
                    RefusalReason.NOT_READY, "This node has no touch with the cluster.", RETRY_AFTER_MILLIS));
            return;
        }
        try {
            validated = RequestHeadReader.read(request, services.core().tables());
        } catch (RefusalException refusal) {
            refuse(refusal.refusal());
            return;
        }
        tokens = new TokenCounter(validated.poolKind());
        deadlineTimer =
                context.executor().schedule(this::onDeadline, validated.deadlineMillis(), TimeUnit.MILLISECONDS);
        if (RequestHeadReader.expectsContinue(request)) {
            FullHttpResponse continueResponse =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE);
            context.writeAndFlush(continueResponse);
        }
    }

    void onBody(HttpContent content) {
        bodyBytes += content.content().readableBytes();
        bodyComplete |= content instanceof LastHttpContent;
        if (bodyBytes > validated.route().bodyLimitBytes()) {
            content.release();
            onBodyTooLarge();
        } else if (stage == Stage.READING) {
            initialBody.writeBytes(content.content());
            content.release();
            if (bodyComplete
                    || initialBody.readableBytes()
                            >= services.settings().limits().initialBodyBytes()) {
                dispatch();
            } else {
                connection.requestNext();
            }
        } else if (stage == Stage.RUNNING) {
            forward(content);
        } else {
            content.release();
        }
    }

    private void forward(HttpContent content) {
        unbufferedBodySent = true;
        boolean last = bodyComplete;
        attempt.upstreamExchange.write(content).addListener(future -> {
            if (future.isSuccess() && !callerDone) {
                connection.requestNext();
            }
            if (last) {
                attempt.recordActivity();
            }
        });
    }

    private void dispatch() {
        long length = HttpUtil.getContentLength(request, -1L);
        fingerprint = BodyDigest.fingerprint(request.method().name(), request.uri(), length, initialBody);
        if (bodyComplete) {
            // Keeps one read pending while the caller waits: without it a disconnect would not be detected.
            connection.requestNext();
        }
        if (validated.key().isPresent()) {
            claim();
        } else {
            requestPermit();
        }
    }

    private void claim() {
        stage = Stage.CLAIMING;
        PermitId permitId = services.core().nextPermitId();
        ClaimHolder holder = new ClaimHolder(permitId.node(), permitId.incarnation(), permitId.sequence());
        claim = new RequestClaim(
                services.core(),
                validated.key().orElseThrow(),
                holder,
                services.settings().limits().storedAnswerBytes());
        long startedAt = System.nanoTime();
        long timeout = Math.min(services.settings().timeouts().controlCallMillis(), validated.deadlineMillis());
        services.core()
                .commit(
                        claim.claimCommand(fingerprint),
                        timeout,
                        result -> context.executor().execute(() -> {
                            services.metrics().claimTime().update(System.nanoTime() - startedAt, TimeUnit.NANOSECONDS);
                            onClaim(result);
                        }));
    }

    private void onClaim(ControlResult result) {
        if (stage != Stage.CLAIMING) {
            // The request has ended in the meantime. The claim may have been granted, but nothing was dispatched under
            // it.
            claim.release();
            return;
        }
        if (result instanceof ControlResult.Committed committed
                && committed.answer() instanceof ControlAnswer.ClaimResult answered) {
            onClaimAnswer(answered.answer(), committed.holderIsLive());
        } else if (result instanceof ControlResult.Unreachable
                && validated.route().idempotent()
                && services.localClaims().add(claim.key())) {
            services.metrics().countLocalClaim();
            requestPermit();
        } else {
            refuse(Refusal.notRun(
                    RefusalReason.CLAIMS_UNAVAILABLE, "The request can't be claimed now.", RETRY_AFTER_MILLIS));
        }
    }

    private void onClaimAnswer(ClaimAnswer answered, boolean holderIsLive) {
        if (answered instanceof ClaimAnswer.Granted) {
            requestPermit();
            return;
        }
        claim = null;
        if (answered instanceof ClaimAnswer.Finished finished) {
            replay(finished);
        } else if (answered instanceof ClaimAnswer.KeyReused) {
            refuse(Refusal.notRun(RefusalReason.KEY_REUSED, "The key was used for another request."));
        } else if (answered instanceof ClaimAnswer.Held && holderIsLive) {
            refuse(new Refusal(
                    RefusalReason.REQUEST_IN_PROGRESS,
                    RunState.UNKNOWN,
                    "The request is being run.",
                    RETRY_AFTER_MILLIS));
        } else if (answered instanceof ClaimAnswer.Held) {
            refuse(outcomeUnknown());
        } else {
            refuse(Refusal.notRun(
                    RefusalReason.CLAIMS_UNAVAILABLE, "The request can't be claimed now.", RETRY_AFTER_MILLIS));
        }
    }

    private static Refusal outcomeUnknown() {
        return Refusal.outcomeUnknown(
                RefusalReason.OUTCOME_UNKNOWN, "The request was dispatched, and nobody knows whether it ran.");
    }

    private void replay(ClaimAnswer.Finished finished) {
        if (finished.answer().isUnknownOutcome()) {
            refuse(outcomeUnknown());
        } else if (!finished.answer().bodyStored()) {
            refuse(new Refusal(
                    RefusalReason.ANSWER_NOT_STORED,
                    RunState.RAN,
                    "The request ran with status " + finished.answer().status() + "; its answer was not stored.",
                    0));
        } else {
            services.metrics().countReplayed();
            answer.writeStoredAnswer(finished.answer());
            complete();
        }
    }

    private void requestPermit() {
        stage = Stage.WAITING;
        attemptCount++;
        Attempt next =
                new Attempt(attemptCount == 1 ? firstAttemptId : services.core().nextPermitId());
        attempt = next;
        long elapsedMicros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - beganNanos);
        PeerMessage.PermitAcquire acquire = new PeerMessage.PermitAcquire(
                validated.route().pool(),
                next.id,
                validated.tier(),
                validated.organisation(),
                validated.route().name(),
                TimeUnit.MILLISECONDS.toMicros(validated.deadlineMillis()) - elapsedMicros,
                estimateSize(),
                fingerprint,
                services.core().tables().revision());
        services.core().requestPermit(acquire, next);
    }

    private RequestSize estimateSize() {
        if (validated.poolKind() == PoolKind.SERVICE) {
            return RequestSize.SERVICE_CALL;
        }
        long length = Math.max(HttpUtil.getContentLength(request, 0L), initialBody.readableBytes());
        int estimatedPrompt = (int) Math.max(1, length / BodyDigest.BYTES_PER_TOKEN);
        int prompt = validated.promptTokens() > 0 ? validated.promptTokens() : estimatedPrompt;
        int output = validated.outputTokens() > 0 ? validated.outputTokens() : DEFAULT_OUTPUT_TOKENS;
        return new RequestSize(prompt, output, BodyDigest.prefixDigests(initialBody));
    }

    private void onDeadline() {
        if (callerDone) {
            return;
        }
        switch (stage) {
            case READING, CLAIMING, WAITING, CONNECTING ->
                refuse(Refusal.notRun(
                        RefusalReason.DEADLINE_UNREACHABLE,
                        "The deadline passed before the request was dispatched.",
                        RETRY_AFTER_MILLIS));
            case RUNNING -> {
                boolean silent = isUpstreamSilent();
                Refusal deadlinePassed = Refusal.outcomeUnknown(RefusalReason.DEADLINE_PASSED, "The deadline passed.");
                Refusal refusal = silent ? upstreamSilent() : deadlinePassed;
                if (finishesWithoutCaller()) {
                    failCaller(refusal);
                    // Guards against an exchange that never ends: a caller that has stopped reading has paused the
                    // reading from the upstream, and nothing else resumes it once the caller has been refused.
                    attempt.upstreamExchange.read();
                } else {
                    abandon(refusal, silent ? Ending.TIMED_OUT : Ending.CANCELLED);
                }
            }
            default -> {}
        }
    }

    /**
     * Returns whether the upstream may finish the request although the caller no longer waits: the route isn't
     * idempotent, so the request can't be retried elsewhere, and a retry by the caller with the same key gets the
     * stored answer.
     */
    private boolean finishesWithoutCaller() {
        return claim != null && !validated.route().idempotent() && bodyComplete;
    }

    void onCallerGone() {
        if (callerDone) {
            return;
        }
        Refusal callerGone = stage == Stage.RUNNING
                ? Refusal.outcomeUnknown(RefusalReason.CALLER_GONE, "The caller went away.")
                : Refusal.notRun(RefusalReason.CALLER_GONE, "The caller went away.");
        if (stage == Stage.RUNNING && finishesWithoutCaller()) {
            services.metrics().countRefused(RefusalReason.CALLER_GONE);
            callerDone = true;
            attempt.upstreamExchange.read();
        } else if (stage == Stage.RUNNING) {
            callerDone = true;
            services.metrics().countRefused(RefusalReason.CALLER_GONE);
            abandon(callerGone, Ending.CANCELLED);
        } else {
            callerDone = true;
            services.metrics().countRefused(RefusalReason.CALLER_GONE);
            refuse(callerGone);
        }
    }

    void onCallerWritable() {
        if (stage == Stage.RUNNING && context.channel().isWritable()) {
            attempt.upstreamExchange.read();
        }
    }

    private void onBodyTooLarge() {
        String detail = "The route takes at most " + validated.route().bodyLimitBytes() + " bytes.";
        if (stage == Stage.RUNNING) {
            abandon(Refusal.outcomeUnknown(RefusalReason.BODY_TOO_LARGE, detail), Ending.CANCELLED);
        } else {
            refuse(Refusal.notRun(RefusalReason.BODY_TOO_LARGE, detail));
        }
    }

    /** Ends the exchange with a refusal, where the exchange itself provably did not run the request. */
    private void refuse(Refusal refusal) {
        if (stage == Stage.DONE) {
            return;
        }
        if (claim != null && stage != Stage.CLAIMING) {
            claim.release();
        }
        if (stage == Stage.WAITING || stage == Stage.CONNECTING) {
            services.core().cancelPermit(attempt.id);
            attempt.abort();
        }
        failCaller(refusal);
        complete();
    }

    /** Ends a request of which it is unknown whether it ran, and aborts its upstream exchange. */
    private void abandon(Refusal refusal, Ending ending) {
        attempt.abort();
        services.core().releasePermit(attempt.id, attempt.outcome(ending));
        if (claim != null) {
            claim.finishWithUnknownOutcome();
        }
        failCaller(refusal);
        complete();
    }

    /** Sends a refusal to the caller, or closes its connection where an answer has already begun. */
    private void failCaller(Refusal refusal) {
        if (callerDone) {
            return;
        }
        callerDone = true;
        services.metrics().countRefused(refusal.reason());
        if (answer.isHeadWritten()) {
            services.metrics().countTruncated();
            answer.abort();
            return;
        }
        answer.writeRefusal(refusal);
        connection.onExchangeEnded();
    }

    private void complete() {
        if (stage == Stage.DONE) {
            return;
        }
        stage = Stage.DONE;
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        cancelInactivityCheck();
        initialBody.release();
        if (claim != null) {
            services.localClaims().remove(claim.key());
        }
        services.requestEnded();
        if (!callerDone) {
            callerDone = true;
            connection.onExchangeEnded();
        }
    }

    private void retryOrRefuse(RetryReason reason, Ending ending) {
        cancelInactivityCheck();
        services.core().releasePermit(attempt.id, attempt.outcome(ending));
        boolean retryable = !unbufferedBodySent && attemptCount < MAX_ATTEMPTS && !callerDone;
        if (retryable && services.retryBudget().tryTake()) {
            services.metrics().countRetried(reason);
            requestPermit();
            return;
        }
        if (retryable) {
            services.metrics().countRetryOverBudget();
        }
        stage = Stage.REFUSED;
        RefusalReason refusal = reason == RetryReason.CONNECT_FAILED
                ? RefusalReason.UPSTREAM_UNREACHABLE
                : RefusalReason.UPSTREAM_REFUSED;
        refuse(Refusal.notRun(refusal, "No upstream took the request.", RETRY_AFTER_MILLIS));
    }

    private static Refusal upstreamSilent() {
        return Refusal.outcomeUnknown(RefusalReason.UPSTREAM_TIMEOUT, "The upstream fell silent.");
    }

    /** Returns whether the upstream has sent nothing for longer than the time allowed, although the caller lets it. */
    private boolean isUpstreamSilent() {
        boolean waitsForCaller = !callerDone && (!context.channel().isWritable() || !bodyComplete);
        return !waitsForCaller && attempt.inactiveMillis() >= attempt.inactivityTimeoutMillis();
    }

    private void scheduleInactivityCheck(long millis) {
        inactivityTimer = context.executor().schedule(this::checkInactivity, millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Reports an upstream that has fallen silent. The request keeps its attempt, as the upstream may go on: with a caller
     * until the deadline, and without one for as long as an upstream may be silent after the deadline.
     */
    private void checkInactivity() {
        long timeoutMillis = attempt.inactivityTimeoutMillis();
        boolean silent = isUpstreamSilent();
        if (silent && elapsedMillis() >= validated.deadlineMillis() + timeoutMillis) {
            abandon(upstreamSilent(), Ending.TIMED_OUT);
            return;
        }
        if (silent) {
            attempt.reportSilence(true);
        }
        scheduleInactivityCheck(Math.max(timeoutMillis - attempt.inactiveMillis(), timeoutMillis / 2 + 1));
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNanos);
    }

    private void cancelInactivityCheck() {
        if (inactivityTimer != null) {
            inactivityTimer.cancel(false);
        }
    }

    /**
     * Names the stages of a request.
     */
    private enum Stage {
        /** The beginning of its body is being buffered. */
        READING,
        /** Its claim is being committed. */
        CLAIMING,
        /** It waits for a permit. */
        WAITING,
        /** It has a permit and waits for a connection to the upstream. */
        CONNECTING,
        /** Bytes of it may have reached an upstream. */
        RUNNING,
        /** Its last attempt did not run it, and it isn't retried. */
        REFUSED,
        /** It has ended. */
        DONE
    }

    /**
     * Makes one attempt: obtains a permit, sends the request to the upstream of the permit and receives the answer.
     */
    private final class Attempt implements PermitListener, UpstreamListener {
        private final PermitId id;
        private final long permitRequestedNanos = System.nanoTime();
        private String upstream = "";
        private String address = "";
        private UpstreamExchange upstreamExchange;
        private long dispatchedNanos;
        private long firstTokenNanos;
        private long lastActivityNanos;
        private int status;
        private String contentType = "";
        private boolean headReceived;
        private boolean silenceReported;
        private UpstreamHeaders.Admission admission = UpstreamHeaders.Admission.ADMITTED;

        Attempt(PermitId id) {
            this.id = id;
        }

        /** {@inheritDoc} */
        @Override
        public void onGranted(String grantedUpstream, String grantedAddress) {
            context.executor().execute(() -> {
                services.metrics().permitTime().update(System.nanoTime() - permitRequestedNanos, TimeUnit.NANOSECONDS);
                if (attempt != this || stage != Stage.WAITING) {
                    services.core().releasePermit(id, PermitOutcome.of(Ending.UNUSED));
                    return;
                }
                stage = Stage.CONNECTING;
                upstream = grantedUpstream;
                address = grantedAddress;
                dispatchedNanos = System.nanoTime();
                RequestIdentity identity = new RequestIdentity(UpstreamHeaders.REQUEST, id.text());
                upstreamExchange = services.connections(context.channel().eventLoop())
                        .open(new UpstreamCall(address, identity), this);
            });
        }

        /** {@inheritDoc} */
        @Override
        public void onRefused(Refusal refusal) {
            context.executor().execute(() -> {
                if (attempt == this && stage == Stage.WAITING) {
                    refuse(refusal);
                }
            });
        }

        /** {@inheritDoc} */
        @Override
        public void onConnected() {
            if (attempt != this || stage != Stage.CONNECTING) {
                abort();
                return;
            }
            stage = Stage.RUNNING;
            dispatchedNanos = System.nanoTime();
            lastActivityNanos = dispatchedNanos;
            upstreamExchange.write(upstreamHead());
            ByteBuf body = initialBody.copy();
            upstreamExchange.write(bodyComplete ? new DefaultLastHttpContent(body) : new DefaultHttpContent(body));
            upstreamExchange.read();
            if (!bodyComplete) {
                connection.requestNext();
            }
            scheduleInactivityCheck(inactivityTimeoutMillis());
        }

        private HttpRequest upstreamHead() {
            HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri());
            UpstreamHeaders.INSTANCE.copyEndToEnd(request.headers(), head.headers());
            if (HttpUtil.isTransferEncodingChunked(request)) {
                HttpUtil.setTransferEncodingChunked(head, true);
            }
            head.headers().set(HttpHeaderNames.HOST, address);
            head.headers().set(UpstreamHeaders.REQUEST, id.text());
            head.headers()
                    .set(UpstreamHeaders.REMAINING_MILLIS, Math.max(0, validated.deadlineMillis() - elapsedMillis()));
            return head;
        }

        /** {@inheritDoc} */
        @Override
        public void onConnectFailed() {
            if (attempt == this && stage == Stage.CONNECTING) {
                retryOrRefuse(RetryReason.CONNECT_FAILED, Ending.UNREACHABLE);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onExtraResponse(HttpResponse response) {
            services.metrics().countExtraAnswer();
        }

        /** {@inheritDoc} */
        @Override
        public void onResponseHead(HttpResponse response) {
            recordActivity();
            headReceived = true;
            status = response.status().code();
            contentType = response.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
            admission = UpstreamHeaders.INSTANCE.admissionOf(response);
            reportUpstreamStatus(response.headers());
            if (isRejected()) {
                context.executor().schedule(this::endIncompleteRejection, MAX_REJECTION_MILLIS, TimeUnit.MILLISECONDS);
                return;
            }
            tokens.begin(contentType);
            if (!callerDone) {
                answer.writeHead(response, upstream);
            }
        }

        /** Returns whether the upstream has stated that it doesn't run the request. */
        private boolean isRejected() {
            return admission != UpstreamHeaders.Admission.ADMITTED;
        }

        private void endIncompleteRejection() {
            if (attempt == this && stage == Stage.RUNNING) {
                abort();
                goOnAfterRejection();
            }
        }

        private void goOnAfterRejection() {
            boolean draining = admission == UpstreamHeaders.Admission.DRAINING;
            retryOrRefuse(
                    draining ? RetryReason.DRAINING : RetryReason.NOT_ADMITTED,
                    draining ? Ending.DRAINING : Ending.NOT_ADMITTED);
        }

        private void reportUpstreamStatus(HttpHeaders headers) {
            int running = headers.getInt(UpstreamHeaders.LOAD_RUNNING, -1);
            long incarnation = UpstreamHeaders.INSTANCE.incarnationOf(headers);
            boolean leaving = headers.contains(UpstreamHeaders.LEAVING);
            if (running >= 0 || incarnation > 0 || leaving) {
                services.core()
                        .reportUpstreamStatus(new PeerMessage.UpstreamStatus(
                                validated.route().pool(),
                                upstream,
                                incarnation,
                                leaving,
                                running,
                                headers.getInt(UpstreamHeaders.LOAD_WAITING, 0)));
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onContent(ByteBuf content) {
            recordActivity();
            if (isRejected() || !content.isReadable()) {
                content.release();
                return;
            }
            if (firstTokenNanos == 0) {
                firstTokenNanos = lastActivityNanos;
                services.core().reportFirstToken(id);
            }
            tokens.add(content);
            if (claim != null) {
                claim.appendBody(content);
            }
            if (callerDone) {
                content.release();
            } else {
                answer.writeContent(content);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onReadComplete() {
            if (stage != Stage.RUNNING || attempt != this) {
                return;
            }
            if (!callerDone) {
                context.flush();
            }
            if (callerDone || context.channel().isWritable()) {
                upstreamExchange.read();
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onResponseComplete(ResponseEnd end) {
            if (isRejected()) {
                goOnAfterRejection();
                return;
            }
            boolean endStated = end == ResponseEnd.STATED;
            if (!endStated && tokens.isInsideEvent()) {
                onConnectionLost(new ProtocolException("the connection was closed inside an event"));
                return;
            }
            boolean failed = HttpStatusClass.valueOf(status) == HttpStatusClass.SERVER_ERROR;
            services.core().releasePermit(id, outcome(failed ? Ending.FAILED : Ending.ANSWERED));
            if (claim != null) {
                claim.finish(status, contentType, endStated);
            }
            if (!callerDone) {
                services.metrics().countAnswered();
                answer.writeEnd();
            }
            complete();
        }

        /** {@inheritDoc} */
        @Override
        public void onConnectionLost(Throwable cause) {
            if (attempt == this && stage == Stage.CONNECTING) {
                // An idle connection was closed before the request was written to it.
                retryOrRefuse(RetryReason.CONNECT_FAILED, Ending.UNUSED);
            } else if (attempt == this && stage == Stage.RUNNING && isRejected()) {
                goOnAfterRejection();
            } else if (attempt == this && stage == Stage.RUNNING) {
                abandon(
                        Refusal.outcomeUnknown(RefusalReason.UPSTREAM_FAILED, "The connection to the upstream broke."),
                        Ending.CONNECTION_LOST);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onMalformedResponse(Throwable cause) {
            ComponentLog.UPSTREAM.warn("Closed a connection to the upstream " + upstream + " during the attempt "
                    + id.text() + ": " + cause.getMessage() + '.');
            onConnectionLost(cause);
        }

        private void recordActivity() {
            lastActivityNanos = System.nanoTime();
            reportSilence(false);
        }

        void reportSilence(boolean silent) {
            if (silent != silenceReported) {
                silenceReported = silent;
                services.core().reportSilence(id, silent);
                if (silent) {
                    services.metrics().countSilent();
                }
            }
        }

        long inactiveMillis() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastActivityNanos);
        }

        long inactivityTimeoutMillis() {
            return headReceived
                    ? services.settings().timeouts().idleMillis()
                    : services.settings().timeouts().firstByteMillis();
        }

        PermitOutcome outcome(Ending ending) {
            long now = System.nanoTime();
            long firstTokenMicros =
                    firstTokenNanos == 0 ? 0 : TimeUnit.NANOSECONDS.toMicros(firstTokenNanos - dispatchedNanos);
            long totalMicros = dispatchedNanos == 0 ? 0 : TimeUnit.NANOSECONDS.toMicros(now - dispatchedNanos);
            return new PermitOutcome(ending, firstTokenMicros, totalMicros, tokens.tokens());
        }

        void abort() {
            if (upstreamExchange != null) {
                upstreamExchange.abort();
            }
        }
    }
}
