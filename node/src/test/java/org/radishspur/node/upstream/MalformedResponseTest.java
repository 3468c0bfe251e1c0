package org.radishspur.node.upstream;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.socket.ChannelInputShutdownEvent;
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

    /** Receives a malformed response, and checks that nothing of it is passed on and its connection closed. */
    private void assertMalformed(String response) {
        receive(response);
        assertThat(listener.status).as("status that was passed on").isZero();
        assertThat(listener.body.toString()).isEmpty();
        assertThat(listener.complete).isFalse();
        assertThat(listener.malformed).isTrue();
        assertThat(listener.cause).as("what a log says").contains("not HTTP/1.1: ");
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
        /** Guards against an invalid status that reaches a caller, or another one than its upstream sent. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "000", "001", "099", "20", "99", "2000", "0200", "+200", "-200", "600", "999", "2x0", "1e2", "",
                    "OK"
                })
        void withoutAStatusIsMalformed(String status) {
            assertMalformed("HTTP/1.1 " + status + " Text\r\n" + BODY);
        }

        /** Guards against an invalid status without a reason phrase. */
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

        /** Guards against a repeat of a request that its upstream is certain to run, as the first response is interim. */
        @Test
        void ofAChangeOfProtocolIsMalformedAsNoneWasAskedFor() {
            assertMalformed("HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n\r\n" + OK + BODY);
        }

        /** Guards against an invalid status after an interim response. */
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
                    "HTTP/1.1 200 two  spaces",
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

    @Nested
    class Field {
        /** Guards against a field that is passed on under another name, or sets a length, an identifier or a coding. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "X Foo: 1",
                    "X\tFoo: 1",
                    "X-Foo : 1",
                    "X-Foo\t: 1",
                    "X-Foo <\u0001>: 1",
                    "X\u0001Foo: 1",
                    "X\0Foo: 1",
                    "X\u007fFoo: 1",
                    "X\u000bFoo: 1",
                    "X\u000cFoo: 1",
                    "X\u001fFoo: 1",
                    "X\rFoo: 1",
                    "X(Foo): 1",
                    "X\u00e9: 1",
                    ": 1",
                    "X-Foo",
                    "Content-Length X: 2",
                    "Content-Length\tX: 2",
                    "Content-Length : 2",
                    "Transfer-Encoding X: chunked",
                    "Id Y: r1",
                    "Id : r1",
                    "Radishspur-Admission Y: refused",
                    "Content-Encoding X: gzip",
                    "Retry-After X: 600",
                    "Server-Limit X: 1",
                    "Keep-Alive X: timeout=9"
                })
        void withoutANameIsMalformed(String line) {
            assertMalformed(OK + line + "\r\n" + BODY);
        }

        /** Guards against the same in the first and in the last line of fields. */
        @ParameterizedTest
        @ValueSource(strings = {"X Foo: 1", "Content-Length X: 9", " X-Foo: 1"})
        void withoutANameIsMalformedWhereverItStands(String line) {
            assertMalformed(OK + "Id: r1\r\nContent-Length: 4\r\n" + line + "\r\n\r\nbody");
        }

        /** Guards against a line that becomes a part of the value before it, which may be an identifier or a length. */
        @ParameterizedTest
        @ValueSource(strings = {" X-Foo: 1", "\tX-Foo: 1", " ", "\t "})
        void thatContinuesTheLineBeforeIsMalformed(String line) {
            assertMalformed(OK + "Accept: 1\r\n" + line + "\r\n" + BODY);
        }

        /** Guards against a control byte that reaches a caller in a value. */
        @ParameterizedTest
        @ValueSource(strings = {"\u0001", "\0", "\u007f", "\u000b", "\u001f", "\r", "\n"})
        void withAControlByteInItsValueIsMalformed(String control) {
            assertMalformed(OK + "X-Foo: a" + control + "b\r\n" + BODY);
        }

        /** Guards against a request that waits until its deadline behind a line which will not become a response. */
        @Test
        void isMalformedBeforeTheRestOfTheHeadHasCome() {
            receive(OK + "X Foo: 1\r\n");
            assertThat(listener.malformed).isTrue();
        }

        /** Guards against lines that end otherwise for a caller or another upstream than for this host. */
        @ParameterizedTest
        @ValueSource(strings = {"X-Foo: 1\n", "X-Foo: 1\r", "X-Foo: 1\r\r\n"})
        void withAnotherEndOfItsLineIsMalformed(String line) {
            assertMalformed(OK + line + BODY);
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "X-Foo:1",
                    "X-Foo:",
                    "X-Foo: ",
                    "X-Foo: \t1 \t",
                    "X-Foo: a\tb  c",
                    "X-Foo: \u00e9\u00ff\u0080",
                    "X-Foo: a:b, c=\"d;e\"",
                    "!#$%&'*+-.^_`|~09azAZ: 1",
                    "x-foo: 1\r\nX-FOO: 2"
                })
        void ofASoundResponseIsPassedOn(String line) {
            assertSound(OK + line + "\r\n" + BODY);
        }

        @Test
        void ofASoundResponseIsPassedOnWhereverItIsCut() {
            String response = OK + "X-Foo: 1\r\n" + BODY;
            for (int cut = 1; cut < response.length(); cut++) {
                release();
                listener.reset();
                send();
                receive(response.substring(0, cut));
                receive(response.substring(cut));
                assertThat(listener.body.toString()).as("cut at %d", cut).isEqualTo("body");
                assertThat(listener.complete).isTrue();
            }
        }

        /** Guards against a head without an end that fills the memory. */
        @ParameterizedTest
        @ValueSource(strings = {"X-Foo: 1\r\n", "more"})
        void withoutEndIsMalformed(String repeated) {
            receive(OK + "X-Foo: 1");
            for (int sent = 0; sent < 20_000 && channel.isActive(); sent += repeated.length()) {
                receive(repeated);
            }
            assertThat(listener.malformed).isTrue();
            assertThat(channel.isActive()).isFalse();
        }
    }

    @Nested
    class Framing {
        /** Guards against a body in a coding that the caller doesn't know of, as the field with the coding isn't passed on. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "gzip, chunked",
                    "identity",
                    "xchunked",
                    "chunked;q=1",
                    "chunked, gzip",
                    "chunked, chunked",
                    "chunked\r\nTransfer-Encoding: chunked",
                    "chunked\r\nContent-Length: 4",
                    ""
                })
        void byAnotherCodingThanChunksIsMalformed(String codings) {
            assertMalformed(OK + "Id: r1\r\nTransfer-Encoding: " + codings + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
        }

        /** Guards against a part of a body that is taken for the whole. */
        @ParameterizedTest
        @ValueSource(
                strings = {"+4", "-1", "0x4", "4 4", "4, 4", "4;", "4\r\nContent-Length: 5", "99999999999999999999", ""
                })
        void byALengthThatIsNoneIsMalformed(String length) {
            assertMalformed(OK + "Id: r1\r\nContent-Length: " + length + "\r\n\r\nbody");
        }

        /** Guards against chunks that a server of HTTP/1.0 can't have sent. */
        @Test
        void byChunksIsMalformedInHttp10() {
            assertMalformed("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
        }

        /** Guards against a body whose chunks are read otherwise than they were sent, which must not seem complete. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "4 x\r\nbody\r\n0\r\n\r\n",
                    " 4\r\nbody\r\n0\r\n\r\n",
                    "0x4\r\nbody\r\n0\r\n\r\n",
                    "+4\r\nbody\r\n0\r\n\r\n",
                    "4\r\nbodyjunk\r\n0\r\n\r\n",
                    "4\r\nbody\n0\r\n\r\n",
                    "4\nbody\r\n0\r\n\r\n",
                    "4;a\u0001\r\nbody\r\n0\r\n\r\n",
                    "100000004\r\nbody\r\n0\r\n\r\n",
                    "4\r\nbody\r\n\r\n0\r\n\r\n"
                })
        void byChunksThatAreNoneIsMalformed(String chunks) {
            receive(OK + "Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
            assertThat(listener.complete).isFalse();
            assertThat(listener.malformed).isTrue();
            assertThat(channel.isActive()).isFalse();
        }

        /** Guards against a body that seems complete although the fields behind its last chunk are none. */
        @ParameterizedTest
        @ValueSource(strings = {"X Foo: 1", "X-Foo : 1", "X\u0001: 1", ": 1", "X-Foo", "X-Foo: a\u0001b"})
        void byChunksWithMalformedTrailersIsMalformed(String trailer) {
            receive(OK + "Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + trailer + "\r\n\r\n");
            assertThat(listener.complete).isFalse();
            assertThat(listener.malformed).isTrue();
            assertThat(channel.isActive()).isFalse();
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Content-Length: 4\r\n\r\nbody",
                    "content-length:4\r\n\r\nbody",
                    "Content-Length: 04\r\n\r\nbody",
                    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                    "Transfer-Encoding: CHUNKED\r\n\r\n04\r\nbody\r\n000\r\n\r\n",
                    "Transfer-Encoding: chunked\r\n\r\n2;a=b;c=\"d\"\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
                    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 1\r\nX-More: a\tb\r\n\r\n"
                })
        void ofASoundResponseIsPassedOn(String rest) {
            assertSound(OK + "Id: r1\r\n" + rest);
        }

        @Test
        void byTheEndOfTheConnectionIsPassedOn() {
            receive(OK + "Id: r1\r\n\r\nbody");
            channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
            assertThat(listener.complete).isTrue();
            assertThat(listener.body.toString()).isEqualTo("body");
        }

        @ParameterizedTest
        @ValueSource(strings = {"204 No Content", "304 Not Modified"})
        void byTheStatusIsPassedOn(String status) {
            receive("HTTP/1.1 " + status + "\r\nId: r1\r\n\r\n");
            assertThat(listener.complete).isTrue();
            assertThat(channel.isActive()).isTrue();
        }

        /** Guards against a body, or the next response, that is made of bytes for which a status without a body has no place. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "204 No Content\r\nContent-Length: 4",
                    "204 No Content\r\nTransfer-Encoding: chunked",
                    "304 Not Modified\r\nContent-Length: 4",
                    "304 Not Modified\r\nTransfer-Encoding: chunked"
                })
        void byTheStatusEndsWithTheHeadWhateverLengthItStates(String head) {
            receive("HTTP/1.1 " + head + "\r\nId: r1\r\n\r\nbody");
            assertThat(listener.complete).isTrue();
            assertThat(listener.body.toString()).isEmpty();
            assertThat(channel.isActive()).isFalse();
        }

        /** Guards against a final response that is made of the body of an interim one, which has none. */
        @ParameterizedTest
        @ValueSource(strings = {"Content-Length: 4", "Transfer-Encoding: chunked"})
        void byALengthOfAnInterimResponseIsMalformed(String length) {
            assertMalformed("HTTP/1.1 103 Early Hints\r\n" + length + "\r\n\r\nbody" + OK + BODY);
        }

        @Test
        void byTheMethodHeadIsPassedOn() {
            release();
            send(HttpMethod.HEAD);
            receive(OK + "Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n");
            assertThat(listener.complete).isTrue();
        }

        @Test
        void behindInterimResponsesIsPassedOn() {
            assertSound("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + OK + BODY);
            assertThat(channel.isActive()).isTrue();
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
