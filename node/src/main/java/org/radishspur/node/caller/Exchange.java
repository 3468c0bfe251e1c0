package org.radishspur.node.caller;

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
import org.radishspur.decision.permit.Work;
import org.radishspur.model.error.Refusal;
import org.radishspur.model.error.RefusalReason;
import org.radishspur.model.error.RetryReason;
import org.radishspur.model.error.RunState;
import org.radishspur.model.request.PermitId;
import org.radishspur.model.table.PoolKind;
import org.radishspur.node.control.PermitListener;
import org.radishspur.node.peer.PeerMessage;
import org.radishspur.node.peer.PeerMessage.ControlResult;
import org.radishspur.node.upstream.UpstreamExchange;
import org.radishspur.node.upstream.UpstreamHeaders;
import org.radishspur.node.upstream.UpstreamListener;
import org.radishspur.replication.state.ClaimAnswer;
import org.radishspur.replication.state.ClaimHolder;
import org.radishspur.replication.state.ControlAnswer;

/**
 * Brings one request from its head to its one final answer. All of it happens on the traffic thread of the caller's
 * connection.
 */
final class Exchange {
    private static final int MOST_ATTEMPTS = 3;
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final int STANDARD_OUTPUT_TOKENS = 256;

    private final CallerServices services;
    private final CallerHandler connection;
    private final ChannelHandlerContext context;
    private final HttpRequest request;
    private final long beganAt = System.nanoTime();
    private final ByteBuf beginning = Unpooled.buffer(0);
    private final AnswerWriter answer;

    private Admitted admitted;
    private TokenCounter tokens;
    private ClaimKeeper claim;
    private String fingerprint = "";
    private Stage stage = Stage.READING;
    private boolean callerDone;
    private boolean bodyWhole;
    private boolean bodyForwarded;
    private long bodyBytes;
    private int attempts;
    private Attempt attempt;
    private ScheduledFuture<?> deadlineTimer;
    private ScheduledFuture<?> silenceTimer;

    Exchange(CallerServices services, CallerHandler connection, ChannelHandlerContext context, HttpRequest request) {
        this.services = services;
        this.connection = connection;
        this.context = context;
        this.request = request;
        PermitId number = services.core().nextAttempt();
        String name = number.node() + '-' + number.incarnation() + '-' + number.sequence();
        boolean oldVersion = request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0;
        this.answer = new AnswerWriter(connection, context, name, oldVersion);
    }

    void begin() {
        services.began();
        services.retries().requested();
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
            admitted = HeadReader.read(request, services.core().tables());
        } catch (CallerRefusal refusal) {
            refuse(refusal.refusal());
            return;
        }
        tokens = new TokenCounter(admitted.poolKind());
        deadlineTimer = context.executor().schedule(this::onDeadline, admitted.deadlineMillis(), TimeUnit.MILLISECONDS);
        if (HeadReader.expectsContinue(request)) {
            FullHttpResponse goOn = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE);
            context.writeAndFlush(goOn);
        }
    }

    void onBody(HttpContent content) {
        bodyBytes += content.content().readableBytes();
        bodyWhole |= content instanceof LastHttpContent;
        if (bodyBytes > admitted.route().bodyLimitBytes()) {
            content.release();
            onBodyTooLarge();
        } else if (stage == Stage.READING) {
            beginning.writeBytes(content.content());
            content.release();
            if (bodyWhole
                    || beginning.readableBytes() >= services.settings().limits().initialBodyBytes()) {
                dispatch();
            } else {
                connection.demand();
            }
        } else if (stage == Stage.RUNNING) {
            forward(content);
        } else {
            content.release();
        }
    }

    private void forward(HttpContent content) {
        bodyForwarded = true;
        boolean last = bodyWhole;
        attempt.exchange.write(content).addListener(future -> {
            if (future.isSuccess() && !callerDone) {
                connection.demand();
            }
            if (last) {
                attempt.silentSince = System.nanoTime();
            }
        });
    }

    private void dispatch() {
        long length = HttpUtil.getContentLength(request, -1L);
        fingerprint = BodyDigest.fingerprint(request.method().name(), request.uri(), length, beginning);
        if (bodyWhole) {
            // One read stays open while the answer is prepared: it is what shows that the caller has gone.
            connection.demand();
        }
        if (admitted.key().isPresent()) {
            claim();
        } else {
            askForPermit();
        }
    }

    private void claim() {
        stage = Stage.CLAIMING;
        PermitId number = services.core().nextAttempt();
        ClaimHolder holder = new ClaimHolder(number.node(), number.incarnation(), number.sequence());
        claim = new ClaimKeeper(
                services.core(),
                admitted.key().orElseThrow(),
                holder,
                services.settings().limits().storedAnswerBytes());
        long startedAt = System.nanoTime();
        long timeout = Math.min(services.settings().timeouts().controlCallMillis(), admitted.deadlineMillis());
        services.core()
                .commit(
                        claim.command(fingerprint),
                        timeout,
                        result -> context.executor().execute(() -> {
                            services.metrics().claimTime().update(System.nanoTime() - startedAt, TimeUnit.NANOSECONDS);
                            onClaim(result);
                        }));
    }

    private void onClaim(ControlResult result) {
        if (stage != Stage.CLAIMING) {
            // The request was given up meanwhile. Whatever became of the claim, nothing was dispatched under it.
            claim.release();
            return;
        }
        if (result instanceof ControlResult.Committed committed
                && committed.answer() instanceof ControlAnswer.OfClaim answered) {
            onClaimAnswer(answered.answer(), committed.holderLives());
        } else if (result instanceof ControlResult.Unreachable
                && admitted.route().idempotent()
                && services.localClaims().add(claim.key())) {
            services.metrics().claimedLocally();
            askForPermit();
        } else {
            refuse(Refusal.notRun(
                    RefusalReason.CLAIMS_UNAVAILABLE, "The request can't be claimed now.", RETRY_AFTER_MILLIS));
        }
    }

    private void onClaimAnswer(ClaimAnswer answered, boolean holderLives) {
        if (answered instanceof ClaimAnswer.Granted) {
            askForPermit();
            return;
        }
        claim = null;
        if (answered instanceof ClaimAnswer.Finished finished) {
            replay(finished);
        } else if (answered instanceof ClaimAnswer.Reused) {
            refuse(Refusal.notRun(RefusalReason.KEY_REUSED, "The key was used for another request."));
        } else if (answered instanceof ClaimAnswer.Held && holderLives) {
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
        return Refusal.unknown(
                RefusalReason.OUTCOME_UNKNOWN, "The request was dispatched, and nobody knows whether it ran.");
    }

    private void replay(ClaimAnswer.Finished finished) {
        if (finished.answer().isUnknownOutcome()) {
            refuse(outcomeUnknown());
        } else if (!finished.answer().whole()) {
            refuse(new Refusal(
                    RefusalReason.ANSWER_NOT_STORED,
                    RunState.RAN,
                    "The request ran with status " + finished.answer().status() + "; its answer was not stored.",
                    0));
        } else {
            services.metrics().replayed();
            answer.replay(finished.answer());
            finishAll();
        }
    }

    private void askForPermit() {
        stage = Stage.WAITING;
        attempts++;
        Attempt next = new Attempt(services.core().nextAttempt());
        attempt = next;
        long elapsedMicros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - beganAt);
        PeerMessage.PermitAsk ask = new PeerMessage.PermitAsk(
                admitted.route().pool(),
                next.id,
                admitted.tier(),
                admitted.organisation(),
                admitted.route().name(),
                TimeUnit.MILLISECONDS.toMicros(admitted.deadlineMillis()) - elapsedMicros,
                work(),
                fingerprint);
        services.core().ask(ask, next);
    }

    private Work work() {
        if (admitted.poolKind() == PoolKind.SERVICE) {
            return Work.OF_SERVICE_CALL;
        }
        long length = Math.max(HttpUtil.getContentLength(request, 0L), beginning.readableBytes());
        int guessed = (int) Math.max(1, length / BodyDigest.BYTES_PER_TOKEN);
        int prompt = admitted.promptTokens() > 0 ? admitted.promptTokens() : guessed;
        int output = admitted.outputTokens() > 0 ? admitted.outputTokens() : STANDARD_OUTPUT_TOKENS;
        return new Work(prompt, output, BodyDigest.prefix(beginning));
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
                Refusal late = Refusal.unknown(RefusalReason.DEADLINE_PASSED, "The deadline passed.");
                if (mayRunOn()) {
                    endCaller(late);
                    // Guards against an answer that never ends: a caller that had stopped reading has stopped the
                    // reading
                    // of the upstream with it, and nothing else starts it again once the caller is let go.
                    attempt.exchange.read();
                } else {
                    abandon(late, Ending.CANCELLED);
                }
            }
            default -> {}
        }
    }

    /**
     * Returns whether the upstream is to finish although nobody waits: the call can't be repeated, and a resend with the
     * same key will ask for its answer.
     */
    private boolean mayRunOn() {
        return claim != null && !admitted.route().idempotent() && bodyWhole;
    }

    void onCallerGone() {
        if (callerDone) {
            return;
        }
        Refusal gone = stage == Stage.RUNNING
                ? Refusal.unknown(RefusalReason.CALLER_GONE, "The caller went away.")
                : Refusal.notRun(RefusalReason.CALLER_GONE, "The caller went away.");
        if (stage == Stage.RUNNING && mayRunOn()) {
            services.metrics().refused(RefusalReason.CALLER_GONE);
            callerDone = true;
            attempt.exchange.read();
        } else if (stage == Stage.RUNNING) {
            callerDone = true;
            services.metrics().refused(RefusalReason.CALLER_GONE);
            abandon(gone, Ending.CANCELLED);
        } else {
            callerDone = true;
            services.metrics().refused(RefusalReason.CALLER_GONE);
            refuse(gone);
        }
    }

    void onCallerWritable() {
        if (stage == Stage.RUNNING && context.channel().isWritable()) {
            attempt.exchange.read();
        }
    }

    private void onBodyTooLarge() {
        String detail = "The route takes at most " + admitted.route().bodyLimitBytes() + " bytes.";
        if (stage == Stage.RUNNING) {
            abandon(Refusal.unknown(RefusalReason.BODY_TOO_LARGE, detail), Ending.CANCELLED);
        } else {
            refuse(Refusal.notRun(RefusalReason.BODY_TOO_LARGE, detail));
        }
    }

    /** Ends a request that provably did not run. */
    private void refuse(Refusal refusal) {
        if (stage == Stage.DONE) {
            return;
        }
        if (claim != null && stage != Stage.CLAIMING) {
            claim.release();
        }
        if (stage == Stage.WAITING || stage == Stage.CONNECTING) {
            services.core().cancel(attempt.id);
            attempt.abort();
        }
        endCaller(refusal);
        finishAll();
    }

    /** Ends a request of which nobody can say whether it ran, and stops the upstream. */
    private void abandon(Refusal refusal, Ending ending) {
        attempt.abort();
        services.core().finish(attempt.id, attempt.outcome(ending));
        if (claim != null) {
            claim.finishUnknown();
        }
        endCaller(refusal);
        finishAll();
    }

    /** Gives the caller its final answer; an answer that has begun can only be broken off. */
    private void endCaller(Refusal refusal) {
        if (callerDone) {
            return;
        }
        callerDone = true;
        services.metrics().refused(refusal.reason());
        if (answer.isHeadWritten()) {
            services.metrics().truncated();
            context.close();
            return;
        }
        answer.refuse(refusal);
        connection.exchangeEnded();
    }

    private void finishAll() {
        if (stage == Stage.DONE) {
            return;
        }
        stage = Stage.DONE;
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        if (silenceTimer != null) {
            silenceTimer.cancel(false);
        }
        beginning.release();
        if (claim != null) {
            services.localClaims().remove(claim.key());
        }
        services.ended();
        if (!callerDone) {
            callerDone = true;
            connection.exchangeEnded();
        }
    }

    private void retry(RetryReason reason, Ending ending) {
        services.core().finish(attempt.id, attempt.outcome(ending));
        boolean possible = !bodyForwarded && attempts < MOST_ATTEMPTS && !callerDone;
        if (possible && services.retries().take()) {
            services.metrics().retried(reason);
            askForPermit();
            return;
        }
        if (possible) {
            services.metrics().retryOverBudget();
        }
        stage = Stage.REFUSED;
        RefusalReason refusal = reason == RetryReason.CONNECT_FAILED
                ? RefusalReason.UPSTREAM_UNREACHABLE
                : RefusalReason.UPSTREAM_REFUSED;
        refuse(Refusal.notRun(refusal, "No upstream took the request.", RETRY_AFTER_MILLIS));
    }

    private void watchSilence(long millis) {
        silenceTimer = context.executor()
                .schedule(
                        () -> {
                            long silent = System.nanoTime() - attempt.silentSince;
                            long allowed = attempt.allowedSilenceMillis();
                            long left = allowed - TimeUnit.NANOSECONDS.toMillis(silent);
                            boolean waitsForCaller = !context.channel().isWritable() || !bodyWhole;
                            if (left > 0 || waitsForCaller && !callerDone) {
                                watchSilence(Math.max(left, allowed / 2 + 1));
                            } else {
                                abandon(
                                        Refusal.unknown(RefusalReason.UPSTREAM_TIMEOUT, "The upstream fell silent."),
                                        Ending.TIMED_OUT);
                            }
                        },
                        Math.max(1, millis),
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Names how far a request has come.
     */
    private enum Stage {
        /** The beginning of its body is being read. */
        READING,
        /** Its claim is being committed. */
        CLAIMING,
        /** It waits for a permit. */
        WAITING,
        /** It has a permit and waits for a connection. */
        CONNECTING,
        /** Bytes of it may have reached an upstream. */
        RUNNING,
        /** Its upstreams have all refused it. */
        REFUSED,
        /** It has come to its end. */
        DONE
    }

    /**
     * Sends the request to one upstream.
     */
    private final class Attempt implements PermitListener, UpstreamListener {
        private final PermitId id;
        private final long askedAt = System.nanoTime();
        private String upstream = "";
        private String address = "";
        private UpstreamExchange exchange;
        private long dispatchedAt;
        private long firstTokenAt;
        private long silentSince;
        private int status;
        private String contentType = "";
        private boolean answering;
        private UpstreamHeaders.Admission admission = UpstreamHeaders.Admission.ADMITTED;

        Attempt(PermitId id) {
            this.id = id;
        }

        /** {@inheritDoc} */
        @Override
        public void onGranted(String grantedUpstream, String grantedAddress) {
            context.executor().execute(() -> {
                services.metrics().permitTime().update(System.nanoTime() - askedAt, TimeUnit.NANOSECONDS);
                if (attempt != this || stage != Stage.WAITING) {
                    services.core().finish(id, PermitOutcome.of(Ending.UNUSED));
                    return;
                }
                stage = Stage.CONNECTING;
                upstream = grantedUpstream;
                address = grantedAddress;
                dispatchedAt = System.nanoTime();
                exchange = services.connections(context.channel().eventLoop()).open(address, this);
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
            dispatchedAt = System.nanoTime();
            silentSince = dispatchedAt;
            exchange.write(head());
            ByteBuf body = beginning.copy();
            exchange.write(bodyWhole ? new DefaultLastHttpContent(body) : new DefaultHttpContent(body));
            exchange.read();
            if (!bodyWhole) {
                connection.demand();
            }
            watchSilence(allowedSilenceMillis());
        }

        private HttpRequest head() {
            HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri());
            UpstreamHeaders.INSTANCE.copyEndToEnd(request.headers(), head.headers());
            if (HttpUtil.isTransferEncodingChunked(request)) {
                HttpUtil.setTransferEncodingChunked(head, true);
            }
            long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganAt);
            head.headers().set(HttpHeaderNames.HOST, address);
            head.headers().set(UpstreamHeaders.REQUEST, id.node() + '-' + id.incarnation() + '-' + id.sequence());
            head.headers().set(UpstreamHeaders.REMAINING_MILLIS, Math.max(0, admitted.deadlineMillis() - elapsed));
            return head;
        }

        /** {@inheritDoc} */
        @Override
        public void onConnectFailed() {
            if (attempt == this && stage == Stage.CONNECTING) {
                retry(RetryReason.CONNECT_FAILED, Ending.UNREACHABLE);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onHead(HttpResponse response) {
            silentSince = System.nanoTime();
            answering = true;
            status = response.status().code();
            contentType = response.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
            admission = UpstreamHeaders.INSTANCE.admissionOf(response);
            passOn(response.headers());
            if (admission == UpstreamHeaders.Admission.ADMITTED) {
                tokens.begin(contentType);
                if (!callerDone) {
                    answer.head(response, upstream);
                }
            }
        }

        private void passOn(HttpHeaders headers) {
            int running = headers.getInt(UpstreamHeaders.LOAD_RUNNING, -1);
            long incarnation = UpstreamHeaders.INSTANCE.incarnationOf(headers);
            boolean leaving = headers.contains(UpstreamHeaders.LEAVING);
            if (running >= 0 || incarnation > 0 || leaving) {
                services.core()
                        .pass(new PeerMessage.UpstreamWord(
                                admitted.route().pool(),
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
            silentSince = System.nanoTime();
            if (admission != UpstreamHeaders.Admission.ADMITTED || !content.isReadable()) {
                content.release();
                return;
            }
            if (firstTokenAt == 0) {
                firstTokenAt = silentSince;
                services.core().firstToken(id);
            }
            tokens.add(content);
            if (claim != null) {
                claim.collect(content);
            }
            if (callerDone) {
                content.release();
            } else {
                answer.content(content);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onPause() {
            if (stage != Stage.RUNNING || attempt != this) {
                return;
            }
            if (!callerDone) {
                context.flush();
            }
            if (callerDone || context.channel().isWritable()) {
                exchange.read();
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onEnd() {
            if (admission != UpstreamHeaders.Admission.ADMITTED) {
                boolean draining = admission == UpstreamHeaders.Admission.DRAINING;
                retry(
                        draining ? RetryReason.DRAINING : RetryReason.NOT_ADMITTED,
                        draining ? Ending.DRAINING : Ending.NOT_ADMITTED);
                return;
            }
            boolean failed = HttpStatusClass.valueOf(status) == HttpStatusClass.SERVER_ERROR;
            services.core().finish(id, outcome(failed ? Ending.FAILED : Ending.ANSWERED));
            if (claim != null) {
                claim.finish(status, contentType);
            }
            if (!callerDone) {
                services.metrics().answered();
                answer.end();
            }
            finishAll();
        }

        /** {@inheritDoc} */
        @Override
        public void onBroken(Throwable cause) {
            if (attempt == this && stage == Stage.RUNNING) {
                abandon(
                        Refusal.unknown(RefusalReason.UPSTREAM_FAILED, "The connection to the upstream broke."),
                        Ending.CONNECTION_LOST);
            }
        }

        long allowedSilenceMillis() {
            return answering
                    ? services.settings().timeouts().idleMillis()
                    : services.settings().timeouts().firstByteMillis();
        }

        PermitOutcome outcome(Ending ending) {
            long now = System.nanoTime();
            long first = firstTokenAt == 0 ? 0 : TimeUnit.NANOSECONDS.toMicros(firstTokenAt - dispatchedAt);
            long total = dispatchedAt == 0 ? 0 : TimeUnit.NANOSECONDS.toMicros(now - dispatchedAt);
            return new PermitOutcome(ending, first, total, tokens.tokens());
        }

        void abort() {
            if (exchange != null) {
                exchange.abort();
            }
        }
    }
}
