package org.radishspur.node.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import org.radishspur.model.request.RequestKey;
import org.radishspur.node.control.NodeCore;
import org.radishspur.replication.state.ClaimHolder;
import org.radishspur.replication.state.ControlCommand;
import org.radishspur.replication.state.StoredAnswer;

/**
 * Makes the claim of one request with an idempotency key and ends it at most once: finished with the answer, finished
 * with an unknown outcome, or released because the request did not run.
 */
final class RequestClaim {
    private static final long COMMIT_TIMEOUT_MILLIS = 60_000;

    private final NodeCore core;
    private final RequestKey key;
    private final ClaimHolder holder;
    private final int maxStoredBytes;
    private final ByteBuf body = Unpooled.buffer(0);
    private boolean bodyTooLarge;
    private boolean endSubmitted;

    RequestClaim(NodeCore core, RequestKey key, ClaimHolder holder, int maxStoredBytes) {
        this.core = core;
        this.key = key;
        this.holder = holder;
        this.maxStoredBytes = maxStoredBytes;
    }

    RequestKey key() {
        return key;
    }

    ControlCommand.Claim claimCommand(String fingerprint) {
        return new ControlCommand.Claim(key, fingerprint, holder, System.currentTimeMillis());
    }

    void appendBody(ByteBuf part) {
        if (!bodyTooLarge && body.readableBytes() + part.readableBytes() <= maxStoredBytes) {
            body.writeBytes(part, part.readerIndex(), part.readableBytes());
        } else {
            bodyTooLarge = true;
            body.clear();
        }
    }

    /**
     * Stores the answer for retries with the same key, or only its status where the body is too large or its end is
     * uncertain: a stored answer would be replayed with a length, as a complete one.
     */
    void finish(int status, String contentType, boolean bodyComplete) {
        submitEnd(new ControlCommand.FinishClaim(
                key,
                holder,
                bodyTooLarge || !bodyComplete
                        ? StoredAnswer.withoutBody(status)
                        : new StoredAnswer(status, contentType, ByteBufUtil.getBytes(body), true),
                System.currentTimeMillis()));
    }

    /** Records that the outcome of the request is unknown, so that no retry with its key is ever dispatched. */
    void finishWithUnknownOutcome() {
        submitEnd(new ControlCommand.FinishClaim(
                key, holder, StoredAnswer.ofUnknownOutcome(), System.currentTimeMillis()));
    }

    void release() {
        submitEnd(new ControlCommand.ReleaseClaim(key, holder, System.currentTimeMillis()));
    }

    private void submitEnd(ControlCommand command) {
        if (!endSubmitted) {
            endSubmitted = true;
            core.commit(command, COMMIT_TIMEOUT_MILLIS, result -> {});
        }
    }
}
