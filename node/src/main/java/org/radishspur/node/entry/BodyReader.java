package org.radishspur.node.entry;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Reads the body of one request. A large body for which there is no memory waits for it while the connection isn't read, and
 * the request is refused where that takes too long. The traffic thread owns it.
 */
final class BodyReader {
    private final EntryExchange exchange;
    private final EntryServices services;
    private final CallerResponse response;
    private final HttpRequest request;
    private final RequestBody body;
    private boolean complete;
    private boolean admitted;
    private Optional<BodyAdmission.Waiting> waitingForMemory = Optional.empty();

    BodyReader(EntryExchange exchange, EntryServices services, CallerResponse response, HttpRequest request) {
        this.exchange = exchange;
        this.services = services;
        this.response = response;
        this.request = request;
        this.body = new RequestBody(services.heldBytes(), request);
    }

    /** Reserves memory for the body, or waits for it. */
    void begin() {
        if (tryReserve()) {
            onAdmitted();
        } else {
            awaitMemory();
        }
    }

    private boolean tryReserve() {
        return body.tryReserve(services.limits().maxBodyBytes());
    }

    /** Continues with the body, for which memory is reserved now. */
    private void onAdmitted() {
        admitted = true;
        endWaitForMemory();
        if (HttpUtil.is100ContinueExpected(request)) {
            response.writeContinue();
        }
        if (complete) {
            exchange.onBodyComplete();
        } else if (body.mayBeLarge()) {
            exchange.onLargeBodyAwaited();
        }
    }

    /** Stops reading the connection until there is memory for the body, or refuses the request. */
    private void awaitMemory() {
        if (body.isLarge()) {
            waitingForMemory = services.bodyAdmission().await(this::tryReserve, this::onAdmitted, this::refuse);
        }
        if (waitingForMemory.isPresent()) {
            services.metrics().countPausedBody();
            response.stopReading();
        } else {
            refuse();
        }
    }

    boolean isWaitingForMemory() {
        return waitingForMemory.isPresent();
    }

    /** Ends the wait for memory, if there is one, and reads the connection again. */
    void endWaitForMemory() {
        waitingForMemory.ifPresent(waiting -> {
            waiting.cancel();
            response.resumeReading();
        });
        waitingForMemory = Optional.empty();
    }

    /** Refuses a request for whose body there is no memory; what comes of the body is discarded. */
    private void refuse() {
        // A caller that waits for the interim response won't send the body, so that its next request can't be
        // distinguished from it.
        exchange.onNoMemory(!admitted && HttpUtil.is100ContinueExpected(request));
    }

    /** Adds a part of the body and releases it; parts that come after the end of the request are discarded. */
    void add(HttpContent content) {
        try {
            if (exchange.isDone()) {
                complete |= content instanceof LastHttpContent;
                return;
            }
            if (size() + content.content().readableBytes() > services.limits().maxBodyBytes()) {
                complete = true;
                exchange.onBodyTooLarge();
                return;
            }
            if (!body.append(content.content())) {
                refuse();
                return;
            }
            if (content instanceof LastHttpContent) {
                complete = true;
                if (admitted) {
                    exchange.onBodyComplete();
                }
            }
        } finally {
            content.release();
        }
    }

    /** Returns whether the last part has come, or no more is read. */
    boolean isComplete() {
        return complete;
    }

    /** Returns the bytes so far, which are the whole body once the request has been routed. */
    ByteBuf bytes() {
        return body.bytes();
    }

    int size() {
        return body.bytes().readableBytes();
    }

    /** Releases the bytes and their memory, once. */
    void release() {
        body.release();
    }
}
