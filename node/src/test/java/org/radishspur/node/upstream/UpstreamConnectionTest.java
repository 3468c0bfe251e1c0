package org.radishspur.node.upstream;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Receives the bytes of responses as an upstream sends them, and closes or resets the connection after them.
 */
class UpstreamConnectionTest {
    private static final String UPSTREAM = "127.0.0.1:1";
    private static final String UNFRAMED = "HTTP/1.1 200 OK\r\n\r\nbody";

    private final RecordingListener listener = new RecordingListener();
    private final RecordingPaths paths = new RecordingPaths();
    private PacedChannel channel;
    private UpstreamConnections connections;
    private UpstreamConnection connection;

    @BeforeEach
    void connect() {
        channel = new PacedChannel();
        connections = new UpstreamConnections(channel.eventLoop(), 1_000, 1_000, paths);
        connection = new UpstreamConnection(connections, 1, new UpstreamConnections.Target(UPSTREAM, false));
        connection.install(channel);
        connection.begin(channel, identity("r1"), listener);
    }

    @AfterEach
    void release() {
        channel.finishAndReleaseAll();
    }

    private static RequestIdentity identity(String id) {
        return new RequestIdentity("Id", id);
    }

    private void request(HttpMethod method) {
        connection.write(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"));
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    /** Lets the upstream close the connection in order. */
    private void closeInOrder() {
        channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
        channel.runPendingTasks();
    }

    @Nested
    class BrokenPath {
        /** A path that is broken, while a host relays; a test fails if that host's address is used. */
        private final class Broken implements UpstreamPaths {
            /** {@inheritDoc} */
            @Override
            public boolean isBroken(String upstream) {
                return true;
            }

            /** {@inheritDoc} */
            @Override
            public boolean isBrokenForNew(String upstream) {
                return true;
            }

            /** {@inheritDoc} */
            @Override
            public List<String> relays() {
                throw new AssertionError("a host was asked to relay");
            }
        }

        /** Guards against a body that is sent through a host in a region that the request must not reach. */
        @Test
        void isNotPassedByARequestThatMustNotBeRelayed() {
            UpstreamConnections broken = new UpstreamConnections(channel.eventLoop(), 1_000, 1_000, new Broken());
            broken.open(new UpstreamCall(UPSTREAM, identity("r1"), false, false), listener);
            channel.runPendingTasks();
            assertThat(listener.connectFailures).isEqualTo(1);
        }
    }

    @Nested
    class EndOfResponse {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                    "HTTP/1.1 204 No Content\r\n\r\n",
                    "HTTP/1.1 304 Not Modified\r\n\r\n"
                })
        void isStatedByTheResponse(String response) {
            request(HttpMethod.GET);
            receive(response);
            assertThat(listener.end).isEqualTo(ResponseEnd.STATED);
            assertThat(listener.lost).isFalse();
        }

        @Test
        void isStatedByTheMethodHead() {
            request(HttpMethod.HEAD);
            receive("HTTP/1.1 200 OK\r\n\r\n");
            assertThat(listener.end).isEqualTo(ResponseEnd.STATED);
        }

        /** Guards against a response that ends with its connection and counts as one that states its end. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    UNFRAMED,
                    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody",
                    "HTTP/1.0 200 OK\r\n\r\nbody",
                    "HTTP/1.1 500 Internal Server Error\r\n\r\nbody"
                })
        void isOnlyTheCloseOfTheConnection(String response) {
            request(HttpMethod.GET);
            receive(response);
            assertThat(listener.end).isNull();
            closeInOrder();
            assertThat(listener.end).isEqualTo(ResponseEnd.CONNECTION_CLOSED);
            assertThat(listener.body.toString()).isEqualTo("body");
            assertThat(listener.lost).isFalse();
        }

        /** Guards against a response that ends with its connection and seems complete although nothing shows its end. */
        @Test
        void isMissingAfterACloseThatWasNotInOrder() {
            request(HttpMethod.GET);
            receive(UNFRAMED);
            channel.close();
            assertThat(listener.end).isNull();
            assertThat(listener.lost).isTrue();
        }

        /** Guards against a response that seems complete although its connection closed before its stated end. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nbody",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbody",
                    "HTTP/1.1 200 OK\r\nConte"
                })
        void isMissing(String response) {
            request(HttpMethod.GET);
            receive(response);
            closeInOrder();
            assertThat(listener.end).isNull();
            assertThat(listener.lost).isTrue();
        }

        /** Guards against a response that ends with its connection and seems complete although that was reset. */
        @Test
        void isMissingAfterAReset() {
            request(HttpMethod.GET);
            receive(UNFRAMED);
            channel.pipeline().fireExceptionCaught(new IOException("reset"));
            channel.close();
            assertThat(listener.end).isNull();
            assertThat(listener.lost).isTrue();
        }
    }

    /** Guards against bytes after the end of a response that reach the caller of the next request. */
    @Test
    void closesAConnectionWithBytesAfterTheEndOfTheResponse() {
        request(HttpMethod.GET);
        receive("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        assertThat(listener.body.toString()).isEqualTo("body");
        assertThat(channel.isActive()).isFalse();
    }

    @Nested
    class HandOver {
        private static final String RESPONSE = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 4\r\n\r\nbody";
        private static final String EXTRA = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nextra";

        private final RecordingListener next = new RecordingListener();

        /**
         * Guards against a response that is taken for that of the next request on the connection, which hasn't been sent: that
         * request would never get its own.
         */
        @Test
        void givesTheNextRequestNoBytesFromBeforeItWasSent() {
            request(HttpMethod.GET);
            listener.onComplete = () -> connections.open(new UpstreamCall(UPSTREAM, identity("r2")), next);
            receive(RESPONSE + EXTRA);
            channel.runPendingTasks();
            assertThat(listener.body.toString()).isEqualTo("body");
            assertThat(next.body.toString()).isEmpty();
            assertThat(next.end).isNull();
        }

        /** Guards against bytes on an idle connection that are taken for the response to a request which isn't sent yet. */
        @Test
        void endsWhereBytesComeBeforeTheNextRequest() {
            request(HttpMethod.GET);
            receive(RESPONSE);
            connections.open(new UpstreamCall(UPSTREAM, identity("r2")), next);
            receive(EXTRA);
            assertThat(next.body.toString()).isEmpty();
            assertThat(next.lost).isTrue();
            assertThat(channel.isActive()).isFalse();
        }

        @Test
        void givesTheNextRequestItsResponseOnTheSameConnection() {
            request(HttpMethod.GET);
            receive(RESPONSE);
            UpstreamExchange exchange = connections.open(new UpstreamCall(UPSTREAM, identity("r2")), next);
            exchange.write(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
            receive(RESPONSE.replace("r1", "r2").replace("body", "next"));
            assertThat(next.body.toString()).isEqualTo("next");
            assertThat(next.end).isEqualTo(ResponseEnd.STATED);
        }

        /** Guards against a connection that carries the next request while the final response to the last one is still due. */
        @Test
        void doesNotTakePlaceAfterAnInterimResponse() {
            request(HttpMethod.GET);
            receive("HTTP/1.1 103 Early Hints\r\n\r\n");
            assertThat(listener.end).isNull();
            receive(RESPONSE);
            assertThat(listener.end).isEqualTo(ResponseEnd.STATED);
            assertThat(listener.body.toString()).isEqualTo("body");
        }
    }

    @Nested
    class LongBody {
        private static final int BODY_BYTES = 1_000_000;
        private static final int MAX_PENDING_BYTES = 80_000;

        private final ByteBuf body = numbered();

        private static ByteBuf numbered() {
            ByteBuf bytes = Unpooled.buffer(BODY_BYTES);
            for (int index = 0; index < BODY_BYTES; index++) {
                bytes.writeByte(index % 251);
            }
            return bytes;
        }

        private void send() {
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/", body);
            HttpUtil.setContentLength(request, BODY_BYTES);
            PacedRequest.write(connection, request);
        }

        /** Guards against a copy of a whole body that waits in the socket of an upstream which doesn't read. */
        @Test
        void waitsOutsideTheSocket() {
            channel.stopTaking();
            send();
            assertThat(channel.unsafe().outboundBuffer().totalPendingWriteBytes())
                    .isBetween(1L, (long) MAX_PENDING_BYTES);
            channel.close();
            assertThat(body.refCnt()).isZero();
            assertThat(listener.lost).isTrue();
        }

        @Test
        void isWrittenInOrderAndTheConnectionKept() {
            send();
            channel.runPendingTasks();
            ByteBuf written = Unpooled.buffer();
            for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
                written.writeBytes(part);
                part.release();
            }
            assertThat(written.skipBytes(written.readableBytes() - BODY_BYTES)).isEqualTo(numbered());
            receive("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 0\r\n\r\n");
            assertThat(listener.end).isEqualTo(ResponseEnd.STATED);
            assertThat(channel.isActive()).isTrue();
        }

        /** Guards against a request that is sent where an upstream, which has answered early, expects the rest of a body. */
        @Test
        void closesItsConnectionWhereTheResponseIsCompleteBeforeIt() {
            channel.stopTaking();
            send();
            receive("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
            assertThat(listener.end).isEqualTo(ResponseEnd.STATED);
            assertThat(listener.body.toString()).isEqualTo("body");
            assertThat(channel.isActive()).isFalse();
            assertThat(body.refCnt()).isZero();
        }
    }

    @Nested
    class PausedReading {
        /** Guards against paths that count as silent, and a host as cut off, while callers don't take their responses. */
        @Test
        void doesNotCountAsWaitingForTheUpstream() {
            request(HttpMethod.GET);
            assertThat(paths.waiting).isEqualTo(1);
            connection.pauseReading();
            connection.pauseReading();
            assertThat(paths.waiting).isZero();
            connection.read();
            connection.read();
            assertThat(paths.waiting).isEqualTo(1);
            connection.abort();
            assertThat(paths.waiting).isZero();
        }

        /** Guards against an upstream that cuts off an unread response and counts as lost. */
        @Test
        void makesALossShowNothing() {
            request(HttpMethod.GET);
            connection.pauseReading();
            connection.read();
            channel.close();
            assertThat(listener.lost).isTrue();
            assertThat(paths.losses).isZero();
            assertThat(paths.waiting).isZero();
        }
    }

    /** Counts the requests that wait on direct paths, and the losses. */
    private static final class RecordingPaths implements UpstreamPaths {
        private int waiting;
        private int losses;

        @Override
        public void recordSent(String upstream) {
            waiting++;
        }

        @Override
        public void recordEnded(String upstream) {
            waiting--;
        }

        @Override
        public void recordLoss(String upstream) {
            losses++;
        }
    }

    /** Records what the listener of an exchange receives. */
    private static final class RecordingListener implements UpstreamListener {
        private final StringBuilder body = new StringBuilder();
        private Runnable onComplete = () -> {};
        private ResponseEnd end;
        private boolean lost;
        private int connectFailures;

        @Override
        public void onConnected() {}

        @Override
        public void onConnectFailed() {
            connectFailures++;
        }

        @Override
        public void onResponseHead(HttpResponse response) {}

        @Override
        public void onContent(ByteBuf content) {
            body.append(content.toString(StandardCharsets.ISO_8859_1));
            content.release();
        }

        @Override
        public void onReadComplete() {}

        @Override
        public void onResponseComplete(ResponseEnd responseEnd) {
            end = responseEnd;
            onComplete.run();
        }

        @Override
        public void onConnectionLost(Throwable cause) {
            lost = true;
        }
    }
}
