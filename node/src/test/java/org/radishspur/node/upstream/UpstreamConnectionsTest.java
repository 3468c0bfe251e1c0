package org.radishspur.node.upstream;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishspur.node.peer.PeerCodec;
import org.radishspur.node.relay.RelayMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Connects to upstreams on the loopback address.
 */
class UpstreamConnectionsTest {
    private static final long LIMIT_SECONDS = 20;
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void close() {
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private static byte[] frame(RelayMessage message) {
        ByteBuf encoded = PeerCodec.encode(message, RelayMessage.class);
        byte[] bytes = ByteBufUtil.getBytes(encoded);
        encoded.release();
        return bytes;
    }

    /**
     * Guards against a request that waits until its deadline, because it can't use the relayed connection after its
     * direct one has failed.
     */
    @Test
    void usesARelayedConnectionAfterTheDirectOneHasFailed() throws Exception {
        String refusing = refusingAddress();
        try (ServerSocket relay = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture.runAsync(() -> answer(relay));
            Exchange exchange = new Exchange(new BrokenAfterAFailure("127.0.0.1:" + relay.getLocalPort()));
            exchange.open(refusing);
            assertThat(exchange.body.get(LIMIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("ok");
        }
    }

    private static String refusingAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    /** Accepts one relayed connection, and answers the request on it. */
    private static void answer(ServerSocket relay) {
        try (Socket accepted = relay.accept()) {
            accepted.getInputStream().read();
            accepted.getOutputStream().write(frame(new RelayMessage.Opened(RelayMessage.Result.CONNECTED)));
            accepted.getOutputStream()
                    .write(frame(new RelayMessage.Data(RESPONSE.getBytes(StandardCharsets.US_ASCII))));
            while (accepted.getInputStream().read() >= 0) {
                // Reads on until the other end closes.
            }
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** Counts the direct path as broken after a failure to connect. */
    private static final class BrokenAfterAFailure implements UpstreamPaths {
        private final String relay;
        private boolean failed;

        BrokenAfterAFailure(String relay) {
            this.relay = relay;
        }

        @Override
        public boolean isBrokenForNew(String upstream) {
            return failed;
        }

        @Override
        public List<String> relays() {
            return List.of(relay);
        }

        @Override
        public void recordConnectFailure(String upstream) {
            failed = true;
        }
    }

    /** Sends one request and receives its response. */
    private final class Exchange implements UpstreamListener {
        private final CompletableFuture<String> body = new CompletableFuture<>();
        private final UpstreamConnections connections;
        private final StringBuilder received = new StringBuilder();
        private UpstreamExchange exchange;

        Exchange(UpstreamPaths paths) {
            connections = new UpstreamConnections(loops.next(), 1_000, 1_000, paths);
        }

        void open(String address) {
            loops.next().execute(() -> exchange = connections.open(address, this, true));
        }

        @Override
        public void onConnected() {
            exchange.write(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/record"));
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
}
