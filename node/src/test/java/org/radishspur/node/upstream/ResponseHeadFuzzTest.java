package org.radishspur.node.upstream;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Receives sound responses of which a few bytes are changed, and compares what is passed on with what RFC 9112 says of them.
 */
class ResponseHeadFuzzTest {
    private static final int TRIES = 20_000;

    /** A head as a text of Latin-1: the status, and the lines of the fields. */
    private static final Pattern HEAD = Pattern.compile("HTTP/1\\.\\d ([1-5]\\d\\d)(?: [\\t -~\\x80-\\xff]*)?\r\n"
            + "((?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\\t -~\\x80-\\xff]*\r\n)*)\r\n");

    private static final List<String> SOUND = List.of(
            "HTTP/1.1 200 OK\r\nX-Seal: 3e1b.07\r\nContent-Length: 4\r\n\r\nbody",
            "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbody",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Seal: 3e1b.07\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            "HTTP/1.0 200\r\nX-Seal:\r\nX-Not-Run: a\tb\r\n\r\nbody",
            "HTTP/1.1 404 Not Found\r\nX-Text: \u00e9\r\nConnection: close\r\n\r\nbody",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");

    @Provide
    Arbitrary<List<Edit>> edits() {
        Arbitrary<Byte> marks =
                Arbitraries.of((byte) ' ', (byte) '\t', (byte) ':', (byte) '\r', (byte) '\n', (byte) '0');
        Arbitrary<Byte> bytes = Arbitraries.oneOf(Arbitraries.bytes(), marks);
        return Combinators.combine(Arbitraries.integers().between(0, 120), Arbitraries.of(Kind.values()), bytes)
                .as(Edit::new)
                .list()
                .ofMaxSize(4);
    }

    /** Guards against a malformed head that is passed on, and a sound one that is changed. */
    @Property(tries = TRIES, seed = "92")
    void passesOnWhatWasSent(
            @ForAll @IntRange(max = 5) int sound,
            @ForAll("edits") List<Edit> edits,
            @ForAll @IntRange(min = 1, max = 60) int partBytes) {
        String sent = SOUND.get(sound);
        for (Edit edit : edits) {
            sent = edit.apply(sent);
        }
        Receiver receiver = receive(sent, partBytes);
        Optional<Expected> expected = Expected.of(sent);
        assertThat(receiver.ended).as("exchange with %s has ended", sent).isTrue();
        if (receiver.head.isPresent()) {
            assertThat(expected).as("head of %s", sent).isPresent();
            assertThat(receiver.head.get()).isEqualTo(expected.get().head);
        }
        if (SOUND.contains(sent)) {
            assertThat(receiver.complete).as("%s is passed on", sent).isTrue();
            assertThat(receiver.body.toString()).isEqualTo("body");
        }
        if (expected.filter(Expected::hasNoLength).isPresent()) {
            assertThat(receiver.complete).as("%s is passed on", sent).isTrue();
            assertThat(receiver.body.toString()).isEqualTo(expected.get().rest);
        }
    }

    private static Receiver receive(String sent, int partBytes) {
        PacedChannel channel = new PacedChannel();
        UpstreamConnections connections = new UpstreamConnections(channel.eventLoop(), 1_000, 1_000);
        UpstreamConnection connection =
                new UpstreamConnection(connections, 1, new UpstreamConnections.Target("127.0.0.1:1", false));
        Receiver receiver = new Receiver();
        connection.install(channel);
        connection.begin(channel, RequestIdentity.NONE, receiver);
        connection.write(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/"));
        byte[] bytes = sent.getBytes(StandardCharsets.ISO_8859_1);
        for (int start = 0; start < bytes.length && channel.isActive(); start += partBytes) {
            channel.writeInbound(Unpooled.copiedBuffer(bytes, start, Math.min(partBytes, bytes.length - start)));
        }
        channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
        channel.runPendingTasks();
        channel.finishAndReleaseAll();
        return receiver;
    }

    /** What is done to one byte. */
    private enum Kind {
        REPLACE,
        INSERT,
        DELETE
    }

    /**
     * A change of one byte.
     *
     * @param index where it is, counted on from the beginning again behind the end.
     * @param kind what is done.
     * @param found the new byte.
     */
    private record Edit(int index, Kind kind, byte found) {
        private String apply(String text) {
            int start = text.isEmpty() ? 0 : index % text.length();
            String inserted = kind == Kind.DELETE ? "" : String.valueOf((char) (found & 0xff));
            int end = kind == Kind.INSERT ? start : Math.min(start + 1, text.length());
            return text.substring(0, start) + inserted + text.substring(end);
        }
    }

    /**
     * The head that a text states behind interim ones.
     *
     * @param head the status and the fields, with names and values as they are.
     * @param rest what follows.
     */
    private record Expected(String head, String rest) {
        private static Optional<Expected> of(String sent) {
            Matcher matcher = HEAD.matcher(sent);
            int start = 0;
            while (matcher.find(start) && matcher.start() == start) {
                start = matcher.end();
                if (!matcher.group(1).startsWith("1")) {
                    List<String> fields = new ArrayList<>();
                    matcher.group(2).lines().forEach(line -> {
                        int colon = line.indexOf(':');
                        fields.add(describe(line.substring(0, colon), line.substring(colon + 1)));
                    });
                    return Optional.of(new Expected(matcher.group(1) + fields, sent.substring(start)));
                }
                matcher.region(start, sent.length());
            }
            return Optional.empty();
        }

        private static String describe(String name, String value) {
            return name + "=" + value.replaceAll("^[ \t]+|[ \t]+$", "");
        }

        /** Returns whether nothing but the end of the connection ends the body, and nothing else may be wrong. */
        private boolean hasNoLength() {
            String lower = head.toLowerCase(java.util.Locale.ROOT);
            return !lower.contains("content-length=")
                    && !lower.contains("transfer-encoding=")
                    && !lower.contains("http/")
                    && !lower.startsWith("204")
                    && !lower.startsWith("304");
        }
    }

    /** Records what is passed on. */
    private static final class Receiver implements UpstreamListener {
        private final StringBuilder body = new StringBuilder();
        private Optional<String> head = Optional.empty();
        private boolean complete;
        private boolean ended;

        @Override
        public void onConnected() {}

        @Override
        public void onConnectFailed() {}

        @Override
        public void onResponseHead(HttpResponse response) {
            List<String> fields = new ArrayList<>();
            for (Map.Entry<String, String> field : response.headers()) {
                fields.add(Expected.describe(field.getKey(), field.getValue()));
            }
            head = Optional.of(String.valueOf(response.status().code()) + fields);
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
            ended = true;
        }

        @Override
        public void onConnectionLost(Throwable cause) {
            ended = true;
        }
    }
}
