package org.radishspur.node.upstream;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Receives responses whose heads are not those of HTTP/1.1, and sound ones that look unusual.
 */
class MalformedResponseTest {
    private static final String UPSTREAM = "127.0.0.1:1";
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String BODY = "Id: r1\r\nContent-Length: 4\r\n\r\nbody";

    private final Receiver listener = new Receiver();
    private PacedChannel channel;
    private UpstreamConnections connections;

    @BeforeEach
    void send() {
        send(HttpMethod.POST);
    }

    private void send(HttpMethod method) {
        channel = new PacedChannel();
        connections = new UpstreamConnections(channel.eventLoop(), 1_000, 10_000);
        UpstreamConnection connection =
                new UpstreamConnection(connections, 1, new UpstreamConnections.Target(UPSTREAM, false));
        connection.install(channel);
        connection.begin(channel, new RequestIdentity("Id", "r1"), listener);
        connection.write(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"));
    }

    @AfterEach
    void release() {
        channel.finishAndReleaseAll();
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    /** Receives a response, which is no response, and checks that nothing of it is passed on and its connection closed. */
    private void assertMalformed(String response) {
        receive(response);
        assertThat(listener.status).as("status that was passed on").isZero();
        assertThat(listener.body.toString()).isEmpty();
        assertThat(listener.complete).isFalse();
        assertThat(listener.malformed).isTrue();
        assertThat(channel.isActive()).isFalse();
    }

    /** Receives a response and checks that it is passed on as a whole. */
    private void assertSound(String response) {
        receive(response);
        assertThat(listener.cause).isEmpty();
        assertThat(listener.complete).isTrue();
        assertThat(listener.body.toString()).isEqualTo("body");
    }

    @Nested
    class StatusLine {
        /** Guards against a caller that gets a status which is none, or another one than its upstream sent. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "000", "001", "099", "20", "99", "2000", "0200", "+200", "-200", "600", "999", "2x0", "1e2", "",
                    "OK"
                })
        void withoutAStatusIsMalformed(String status) {
            assertMalformed("HTTP/1.1 " + status + " Text\r\n" + BODY);
        }

        /** Guards against a status that is none and has no text behind it. */
        @Test
        void withoutAStatusAndWithoutATextIsMalformed() {
            assertMalformed("HTTP/1.1 000\r\n" + BODY);
        }

        /** Guards against a response in another protocol that is read as one of HTTP/1.1. */
        @ParameterizedTest
        @ValueSource(strings = {"HTTP/2.0", "HTTP/0.9", "http/1.1", "HTTP/1.10", "HTTP/11", "ICY", "HTTP/1"})
        void ofAnotherProtocolIsMalformed(String version) {
            assertMalformed(version + " 200 OK\r\n" + BODY);
        }

        /** Guards against bytes before or between the parts of a status line that are passed over. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    " HTTP/1.1 200 OK",
                    "\r\nHTTP/1.1 200 OK",
                    "\0HTTP/1.1 200 OK",
                    "HTTP/1.1  200 OK",
                    "HTTP/1.1\t200 OK",
                    "HTTP/1.1 200\tOK",
                    "HTTP/1.1\u000b200 OK",
                    "HTTP/1.1 200OK"
                })
        void withOtherSeparatorsIsMalformed(String line) {
            assertMalformed(line + "\r\n" + BODY);
        }

        /** Guards against a control byte that reaches a caller in the text of a status. */
        @ParameterizedTest
        @ValueSource(strings = {"\u0001", "\0", "\u007f", "\u000b", "\r"})
        void withAControlByteInItsTextIsMalformed(String control) {
            assertMalformed("HTTP/1.1 200 O" + control + "K\r\n" + BODY);
        }

        /** Guards against a request that waits until its deadline behind a line which will not become a response. */
        @Test
        void isMalformedBeforeTheRestOfTheHeadHasCome() {
            receive("HTTP/1.1 000 Text\r\n");
            assertThat(listener.malformed).isTrue();
        }

        /** Guards against a status that is none in a response which comes before the final one. */
        @Test
        void withoutAStatusIsMalformedBehindAnInterimResponse() {
            assertMalformed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Text\r\n" + BODY);
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200",
                    "HTTP/1.1 200 ",
                    "HTTP/1.1 200 OK",
                    "HTTP/1.0 200 OK",
                    "HTTP/1.1 200 Very well",
                    "HTTP/1.1 200 two  blanks",
                    "HTTP/1.1 200 a\ttab",
                    "HTTP/1.1 200 \u00e9\u00ff",
                    "HTTP/1.1 299 Custom",
                    "HTTP/1.1 404 Not Found",
                    "HTTP/1.1 599 Last"
                })
        void ofASoundResponseIsPassedOn(String line) {
            assertSound(line + "\r\n" + BODY);
            assertThat(listener.status).isEqualTo(Integer.parseInt(line.substring(9, 12)));
        }
    }

    /** Records what is passed on of a response. */
    private static final class Receiver implements UpstreamListener {
        private final StringBuilder body = new StringBuilder();
        private int status;
        private boolean complete;
        private boolean malformed;
        private String cause = "";

        private void reset() {
            body.setLength(0);
            status = 0;
            complete = false;
            malformed = false;
            cause = "";
        }

        @Override
        public void onConnected() {}

        @Override
        public void onConnectFailed() {}

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
            complete = true;
        }

        @Override
        public void onConnectionLost(Throwable lost) {
            cause = lost.toString();
        }

        @Override
        public void onMalformedResponse(Throwable found) {
            malformed = true;
            onConnectionLost(found);
        }
    }
}
