package org.radishspur.node.upstream;

import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Receives the first bytes of a response that its upstream doesn't finish, and then the response to another request, each
 * of which is sent once. The decoder reads both as one head.
 */
class JoinedResponseTest {
    private static final String UPSTREAM = "127.0.0.1:1";
    private static final String FIRST = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 4\r\n\r\nbody";
    private static final String COPY =
            "HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec 2026 05:00:00 GMT\r\nKeep-Alive: timeout=5\r\n"
                    + "Content-Type: text/plain\r\nId: r1\r\nSeal: 3e1b.07\r\nContent-Length: 4\r\n\r\nbody";
    private static final String FAILURE =
            "HTTP/1.1 500 Internal Server Error\r\nId: r2\r\nContent-Length: 5\r\n\r\nerror";

    private final Receiver first = new Receiver();
    private final Receiver second = new Receiver();
    private PacedChannel channel;
    private UpstreamConnections connections;

    @BeforeEach
    void sendFirst() {
        channel = new PacedChannel();
        connections = new UpstreamConnections(channel.eventLoop(), 1_000, 10_000);
        UpstreamConnection connection =
                new UpstreamConnection(connections, 1, new UpstreamConnections.Target(UPSTREAM, false));
        connection.install(channel);
        connection.begin(channel, new RequestIdentity("Id", "r1"), first);
        send(connection, HttpMethod.POST);
    }

    @AfterEach
    void release() {
        channel.finishAndReleaseAll();
    }

    private static void send(UpstreamExchange exchange, HttpMethod method) {
        exchange.write(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"));
    }

    private UpstreamExchange openSecond() {
        return connections.open(new UpstreamCall(UPSTREAM, new RequestIdentity("Id", "r2"), false, false), second);
    }

    /** Receives buffers in one read. */
    private void receive(String... buffers) {
        channel.writeInbound(Stream.of(buffers)
                .map(text -> Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1))
                .toArray());
    }

    /** Guards against a failure that is read as a success, since bytes behind an earlier response stay in the decoder. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nDate: now"})
    void isNotReadFromBytesOfTheReadThatCompletedAnother(String begun) {
        receive(FIRST + begun);
        UpstreamExchange exchange = openSecond();
        channel.runPendingTasks();
        if (channel.isActive()) {
            send(exchange, HttpMethod.POST);
            receive(FAILURE);
        }
        assertThat(second.status).isNotEqualTo(200);
        assertThat(channel.isActive()).isFalse();
    }

    /** Guards against a failure that is read as a success, since bytes on an idle connection stay in the decoder. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nDate: now"})
    void isNotReadFromBytesOnAnIdleConnection(String begun) {
        receive(FIRST);
        receive(begun);
        UpstreamExchange exchange = openSecond();
        channel.runPendingTasks();
        if (channel.isActive()) {
            send(exchange, HttpMethod.POST);
            receive(FAILURE);
        }
        assertThat(second.status).isNotEqualTo(200);
        assertThat(channel.isActive()).isFalse();
    }

    /** Guards against a request that fails at a sound upstream, as its response is joined with bytes that came before it. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 2", "HTTP/1.1 200 OK\r\nDate: now"})
    void doesNotFollowBytesOnAnIdleConnection(String begun) {
        receive(FIRST);
        receive(begun);
        assertThat(channel.isActive()).isFalse();
    }

    /** Guards against a failure that is read as a success, since bytes before the request was written are kept. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nDate: now"})
    void isNotReadFromBytesBeforeTheRequest(String begun) {
        receive(FIRST);
        UpstreamExchange exchange = openSecond();
        receive(begun);
        if (channel.isActive()) {
            send(exchange, HttpMethod.POST);
            receive(FAILURE);
        }
        assertThat(second.status).isNotEqualTo(200);
        assertThat(channel.isActive()).isFalse();
    }

    /**
     * Guards against a response with the status or body of a late copy of another, wherever that is cut short and whenever it
     * comes.
     */
    @ParameterizedTest
    @EnumSource
    void isItsOwnBehindACopyThatIsCutAnywhere(Arrival arrival) {
        for (int length = 1; length < COPY.length(); length++) {
            release();
            sendFirst();
            second.status = 0;
            second.body.setLength(0);
            arrival.receive(this, COPY.substring(0, length));
            channel.runPendingTasks();
            if (channel.isActive()) {
                receive(FAILURE);
            }
            assertThat(second.status).as("%s characters", length).isIn(0, 500);
            assertThat("error").as("%s characters", length).startsWith(second.body.toString());
        }
    }

    /** Lists when the beginning of a response comes that its upstream doesn't finish. */
    private enum Arrival {
        IN_THE_READ_OF_ANOTHER {
            @Override
            void receive(JoinedResponseTest test, String begun) {
                test.receive(FIRST + begun);
                UpstreamExchange exchange = test.openSecond();
                test.channel.runPendingTasks();
                if (test.channel.isActive()) {
                    send(exchange, HttpMethod.POST);
                }
            }
        },
        WHILE_IDLE {
            @Override
            void receive(JoinedResponseTest test, String begun) {
                test.receive(FIRST);
                test.receive(begun);
                UpstreamExchange exchange = test.openSecond();
                test.channel.runPendingTasks();
                if (test.channel.isActive()) {
                    send(exchange, HttpMethod.POST);
                }
            }
        },
        BEFORE_THE_REQUEST {
            @Override
            void receive(JoinedResponseTest test, String begun) {
                test.receive(FIRST);
                UpstreamExchange exchange = test.openSecond();
                test.receive(begun);
                if (test.channel.isActive()) {
                    send(exchange, HttpMethod.POST);
                }
            }
        },
        AFTER_THE_REQUEST {
            @Override
            void receive(JoinedResponseTest test, String begun) {
                test.receive(FIRST);
                send(test.openSecond(), HttpMethod.POST);
                test.receive(begun);
            }
        };

        abstract void receive(JoinedResponseTest test, String begun);
    }

    /** Guards against a request that fails at a sound upstream, since bytes that are no response precede its own. */
    @Test
    void isNotSpoiltByTheEndOfAnother() {
        receive(FIRST + "junk");
        assertThat(channel.isActive()).isFalse();
    }

    /** Guards against the rest of a late copy that is read as the response to the next request on the connection. */
    @Test
    void doesNotFollowACopyThatIsCutWithinItsBody() {
        receive(FIRST, COPY.substring(0, COPY.length() - 2));
        assertThat(channel.isActive()).isFalse();
    }

    /** Guards against further copies on a connection that has shown that its upstream sends responses twice. */
    @Test
    void endsTheConnectionBehindACopy() {
        receive(FIRST);
        send(openSecond(), HttpMethod.POST);
        receive(COPY + FAILURE);
        assertThat(second.status).isEqualTo(500);
        assertThat(channel.isActive()).isFalse();
    }

    /** Guards against a success that is made of parts of two responses, whose status lines aren't both in the head. */
    @Test
    void isNotPassedOnWhereItNamesTwoRequests() {
        receive(FIRST);
        send(openSecond(), HttpMethod.POST);
        receive("HTTP/1.1 200 OK\r\nId: r2\r\nId: r1\r\nContent-Length: 0\r\n\r\n");
        assertThat(second.status).isZero();
        assertThat(second.ended).isTrue();
    }

    /** Guards against a failure that is read as a success, where the begun response comes after the request was written. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nDate: now"})
    void isNotReadFromTwoHeads(String begun) {
        receive(FIRST);
        send(openSecond(), HttpMethod.POST);
        receive(begun);
        receive(FAILURE);
        assertThat(second.status).isNotEqualTo(200);
    }

    /** Guards against a request that waits until its deadline, since its response is discarded with another's head. */
    @Test
    void isNotDiscardedWhereItNamesTwoRequests() {
        receive(FIRST);
        send(openSecond(), HttpMethod.POST);
        receive("HTTP/1.1 200 OK\r\nId: r1\r\nDate: now");
        receive(FAILURE);
        assertThat(second.ended).isTrue();
    }

    /** Guards against a request that waits until its deadline, since a late copy has taken what the decoder knows of it. */
    @Test
    void ofTheMethodHeadIsCompleteBehindALateCopy() {
        receive("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 0\r\n\r\n");
        send(openSecond(), HttpMethod.HEAD);
        receive("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 0\r\n\r\n");
        receive("HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: 7\r\n\r\n");
        assertThat(second.ended).isTrue();
    }

    /** Guards against a connection that no longer decodes responses after the method CONNECT and carries the next request. */
    @Test
    void isDecodedAfterTheMethodConnect() {
        receive(FIRST);
        send(openSecond(), HttpMethod.CONNECT);
        receive("HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: 0\r\n\r\n");
        Receiver third = new Receiver();
        UpstreamExchange exchange =
                connections.open(new UpstreamCall(UPSTREAM, new RequestIdentity("Id", "r3"), false, false), third);
        channel.runPendingTasks();
        if (channel.isActive()) {
            send(exchange, HttpMethod.POST);
            receive("HTTP/1.1 200 OK\r\nId: r3\r\nContent-Length: 0\r\n\r\n");
            assertThat(third.ended).isTrue();
        }
    }

    /** Records the status of a response, and whether the exchange has ended. */
    private static final class Receiver implements UpstreamListener {
        private final StringBuilder body = new StringBuilder();
        private int status;
        private boolean ended;

        @Override
        public void onConnected() {}

        @Override
        public void onConnectFailed() {
            ended = true;
        }

        @Override
        public void onResponseHead(HttpResponse response) {
            status = response.status().code();
        }

        @Override
        public void onContent(ByteBuf content) {
            body.append(content.toString(StandardCharsets.ISO_8859_1));
            content.release();
        }

        @Override
        public void onReadComplete() {}

        @Override
        public void onResponseComplete(ResponseEnd end) {
            ended = true;
        }

        @Override
        public void onConnectionLost(Throwable cause) {
            ended = true;
        }
    }
}
