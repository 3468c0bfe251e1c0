package org.radishspur.node.upstream;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Sends one request and receives its response.
 */
final class RecordedExchange implements UpstreamListener {
    /** The header by which upstreams of the tests repeat the identifier of a request. */
    static final String ID_HEADER = "Id";

    /** The header by which the upstreams of the tests distinguish the sendings of one request. */
    static final String SENDING_HEADER = "Sending";

    /** The body of the response, or why there is none. */
    final CompletableFuture<String> body = new CompletableFuture<>();

    /** Completes when the first bytes of the body have come. */
    final CompletableFuture<Void> begun = new CompletableFuture<>();

    private final EventLoop loop;
    private final UpstreamConnections connections;
    private final FullHttpRequest request;
    private final StringBuilder received = new StringBuilder();
    private UpstreamExchange exchange;

    RecordedExchange(EventLoop loop, UpstreamConnections connections, String id, int sending, int requestBytes) {
        this.loop = loop;
        this.connections = connections;
        request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, "/record", Unpooled.wrappedBuffer(new byte[requestBytes]));
        request.headers().set(ID_HEADER, id).set(SENDING_HEADER, sending);
        HttpUtil.setContentLength(request, requestBytes);
    }

    void open(String address) {
        String id = request.headers().get(ID_HEADER);
        RequestIdentity identity = id.isEmpty() ? RequestIdentity.NONE : new RequestIdentity(ID_HEADER, id);
        loop.execute(() -> exchange = connections.open(new UpstreamCall(address, identity, true, true), this));
    }

    @Override
    public void onConnected() {
        PacedRequest.write(exchange, request);
        exchange.read();
    }

    @Override
    public void onConnectFailed() {
        body.completeExceptionally(new IOException("no connection"));
    }

    @Override
    public void onResponseHead(HttpResponse response) {}

    @Override
    public void onContent(ByteBuf content) {
        received.append(content.toString(StandardCharsets.US_ASCII));
        content.release();
        begun.complete(null);
    }

    @Override
    public void onReadComplete() {
        exchange.read();
    }

    @Override
    public void onResponseComplete(ResponseEnd end) {
        body.complete(received.toString());
    }

    @Override
    public void onConnectionLost(Throwable cause) {
        body.completeExceptionally(cause);
    }
}
