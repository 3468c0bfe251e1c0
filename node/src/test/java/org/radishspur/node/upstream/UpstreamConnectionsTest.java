package org.radishspur.node.upstream;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.radishspur.node.peer.PeerCodec;
import org.radishspur.node.relay.RelayMessage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Connects to upstreams on the loopback address.
 */
class UpstreamConnectionsTest {
    private static final long LIMIT_SECONDS = 20;
    private static final long SILENCE_MILLIS = 500;
    private static final int SMALL_WINDOW_BYTES = 16 << 10;
    private static final int LONG_BODY_BYTES = 8 << 20;
    private static final String WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\n\r\nwhole";
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void close() {
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private RecordedExchange exchange(UpstreamPaths paths, int requestBytes) {
        EventLoop loop = loops.next();
        return new RecordedExchange(loop, new UpstreamConnections(loop, 1_000, 1_000, paths), "r1", 1, requestBytes);
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
            CompletableFuture.runAsync(() -> relay(
                    relay,
                    new RelayMessage.Opened(RelayMessage.Result.CONNECTED),
                    new RelayMessage.Data(RESPONSE.getBytes(StandardCharsets.US_ASCII))));
            RecordedExchange exchange = exchange(new BrokenAfterAFailure("127.0.0.1:" + relay.getLocalPort()), 0);
            exchange.open(refusing);
            assertThat(exchange.body.get(LIMIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("ok");
        }
    }

    /** Guards against a response without a length that is lost behind a relay, whose host reports its end by a message. */
    @Test
    void takesAnOrderlyCloseBehindARelayForTheEndOfAResponse() throws Exception {
        String refusing = refusingAddress();
        try (ServerSocket relay = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture.runAsync(() -> relay(
                    relay,
                    new RelayMessage.Opened(RelayMessage.Result.CONNECTED),
                    new RelayMessage.Data(WITHOUT_LENGTH.getBytes(StandardCharsets.US_ASCII)),
                    new RelayMessage.End()));
            RecordedExchange exchange = exchange(new BrokenAfterAFailure("127.0.0.1:" + relay.getLocalPort()), 0);
            exchange.open(refusing);
            assertThat(exchange.body.get(LIMIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("whole");
        }
    }

    /** Reads a request, answers without a length, and closes the connection. */
    private static void answerAndClose(ServerSocket upstream) {
        try (Socket accepted = upstream.accept()) {
            accepted.getInputStream().read(new byte[SMALL_WINDOW_BYTES]);
            accepted.getOutputStream().write(WITHOUT_LENGTH.getBytes(StandardCharsets.US_ASCII));
            accepted.shutdownOutput();
            accepted.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** Guards against half of a response that counts as a whole one, however it states its end and its connection ends. */
    @ParameterizedTest
    @CsvSource({
        "LENGTH, RESET",
        "LENGTH, CLOSED_UNREAD",
        "LENGTH, HALF_CLOSED",
        "LENGTH, CLOSED_UNREAD_AFTER_ITS_OUTPUT",
        "CHUNKS, RESET",
        "CHUNKS, CLOSED_UNREAD",
        "CHUNKS, HALF_CLOSED",
        "CHUNKS, CLOSED_UNREAD_AFTER_ITS_OUTPUT",
        "NOTHING, RESET",
        "NOTHING, CLOSED_UNREAD",
        "NOTHING, CLOSED_UNREAD_AFTER_ITS_OUTPUT"
    })
    void takesNoHalfResponseForAWholeOneWhileTheRequestIsBeingWritten(StatedBy statedBy, Ending ending)
            throws Exception {
        RecordedExchange exchange = receiveHalf(statedBy, ending);
        assertThatThrownBy(() -> exchange.body.get(LIMIT_SECONDS, TimeUnit.SECONDS))
                .isInstanceOf(ExecutionException.class)
                .hasCauseInstanceOf(IOException.class);
    }

    /** Guards against the same with a request that the system has taken as a whole and the upstream hasn't read. */
    @ParameterizedTest
    @ValueSource(ints = {25_000, 60_000, 400_000, 2_000_000})
    void takesNoHalfResponseForAWholeOneWhileTheRequestIsUnread(int requestBytes) throws Exception {
        RecordedExchange exchange = receiveHalf(StatedBy.NOTHING, Ending.CLOSED_UNREAD_AFTER_ITS_OUTPUT, requestBytes);
        assertThatThrownBy(() -> exchange.body.get(LIMIT_SECONDS, TimeUnit.SECONDS))
                .isInstanceOf(ExecutionException.class)
                .hasCauseInstanceOf(IOException.class);
    }

    /** Guards against a response without a length that is lost although its upstream has sent and closed all in order. */
    @ParameterizedTest
    @ValueSource(ints = {0, 5_000, 60_000, 400_000, 2_000_000})
    void takesAnOrderlyCloseBehindAReadRequestForTheEndOfAResponse(int requestBytes) throws Exception {
        try (ServerSocket upstream = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            RecordedExchange exchange = exchange(UpstreamPaths.DirectOnly.INSTANCE, requestBytes);
            CompletableFuture.runAsync(() -> answerAndClose(upstream));
            exchange.open("127.0.0.1:" + upstream.getLocalPort());
            assertThat(exchange.body.get(LIMIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("whole");
        }
    }

    /** Guards against a response without a length that is lost, as its upstream ends its output before it has read all. */
    @Test
    void takesAnOrderlyCloseForTheEndOfAResponseOnceTheRequestIsWritten() throws Exception {
        RecordedExchange exchange = receiveHalf(StatedBy.NOTHING, Ending.HALF_CLOSED_AND_READING_ON);
        assertThat(exchange.body.get(LIMIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("half");
    }

    /** Guards against half a response that counts as a whole one before the reset has come which shows that it isn't. */
    @Test
    void takesNoOrderlyCloseForTheEndOfAResponseWhileTheRequestIsBeingWritten() throws Exception {
        RecordedExchange exchange = receiveHalf(StatedBy.NOTHING, Ending.HALF_CLOSED);
        assertThatThrownBy(() -> exchange.body.get(SILENCE_MILLIS, TimeUnit.MILLISECONDS))
                .isInstanceOf(TimeoutException.class);
    }

    /** Sends a long request to an upstream that answers in the middle of it and ends the connection. */
    private RecordedExchange receiveHalf(StatedBy statedBy, Ending ending) throws IOException {
        return receiveHalf(statedBy, ending, LONG_BODY_BYTES);
    }

    private RecordedExchange receiveHalf(StatedBy statedBy, Ending ending, int requestBytes) throws IOException {
        try (ServerSocketChannel upstream = ServerSocketChannel.open()) {
            upstream.setOption(StandardSocketOptions.SO_RCVBUF, SMALL_WINDOW_BYTES);
            upstream.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            RecordedExchange exchange = exchange(UpstreamPaths.DirectOnly.INSTANCE, requestBytes);
            exchange.open("127.0.0.1:" + upstream.socket().getLocalPort());
            Socket accepted = upstream.accept().socket();
            accepted.getInputStream().readNBytes(SMALL_WINDOW_BYTES);
            accepted.getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\n" + statedBy.half).getBytes(StandardCharsets.US_ASCII));
            exchange.begun.orTimeout(LIMIT_SECONDS, TimeUnit.SECONDS).join();
            ending.end(accepted);
            return exchange;
        }
    }

    /** What states the end of a response of which half is sent. */
    private enum StatedBy {
        LENGTH("Content-Length: 8\r\n\r\nhalf"),
        CHUNKS("Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
        NOTHING("\r\nhalf");

        private final String half;

        StatedBy(String half) {
            this.half = half;
        }
    }

    /** How an upstream ends a connection with a request that it hasn't read as a whole. */
    private enum Ending {
        RESET {
            @Override
            void end(Socket connection) throws IOException {
                connection.setSoLinger(true, 0);
                connection.close();
            }
        },
        /**
         * The system resets a connection that is closed before all that has come is read. The socket of a channel closes at
         * once, whereas one of a server socket ends its output in order first.
         */
        CLOSED_UNREAD {
            @Override
            void end(Socket connection) throws IOException {
                awaitUnread(connection);
                connection.close();
            }
        },
        HALF_CLOSED {
            @Override
            void end(Socket connection) throws IOException {
                connection.shutdownOutput();
            }
        },
        HALF_CLOSED_AND_READING_ON {
            @Override
            void end(Socket connection) throws IOException {
                connection.shutdownOutput();
                CompletableFuture.runAsync(() -> readToTheEnd(connection));
            }
        },
        CLOSED_UNREAD_AFTER_ITS_OUTPUT {
            @Override
            void end(Socket connection) throws IOException {
                awaitUnread(connection);
                connection.shutdownOutput();
                connection.close();
            }
        };

        abstract void end(Socket connection) throws IOException;

        private static void readToTheEnd(Socket connection) {
            try {
                connection.getInputStream().transferTo(OutputStream.nullOutputStream());
            } catch (IOException exception) {
                throw new IllegalStateException(exception);
            }
        }

        private static void awaitUnread(Socket connection) throws IOException {
            long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
            while (connection.getInputStream().available() == 0) {
                assertThat(System.nanoTime()).isLessThan(deadline);
                Thread.onSpinWait();
            }
        }
    }

    private static String refusingAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    /** Accepts one relayed connection, and sends messages on it. */
    private static void relay(ServerSocket relay, RelayMessage... messages) {
        try (Socket accepted = relay.accept()) {
            accepted.getInputStream().read();
            for (RelayMessage message : messages) {
                accepted.getOutputStream().write(frame(message));
            }
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
}
