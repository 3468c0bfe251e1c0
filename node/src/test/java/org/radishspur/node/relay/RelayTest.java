package org.radishspur.node.relay;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.radishspur.node.peer.PeerCodec;
import org.radishspur.node.relay.RelayMessage.Result;
import org.radishspur.node.settings.HostPort;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Connects to an upstream through another host, all on the loopback address.
 */
class RelayTest {
    private static final long CONNECT_MILLIS = 1_000;
    private static final long LIMIT_SECONDS = 20;
    private static final int SMALL_WINDOW_BYTES = 16 << 10;
    private static final int LONG_BODY_BYTES = 16 << 20;

    /** How long a sound upstream may send nothing, in milliseconds. */
    private static final long SILENCE_MILLIS = 1_300;

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final EventLoop relayLoop = loops.next();
    private final EventLoop loop = loops.next();
    private final List<RelayServer> relays = new ArrayList<>();
    private final Queue<String> connectFailures = new ConcurrentLinkedQueue<>();
    private ServerSocket upstream;

    @BeforeEach
    void listen() throws IOException {
        upstream = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    private final AtomicLong nowMillis = new AtomicLong();

    @AfterEach
    void close() throws IOException {
        upstream.close();
        relays.forEach(RelayServer::close);
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private static String freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    private String upstreamAddress() {
        return "127.0.0.1:" + upstream.getLocalPort();
    }

    /** Starts a host that relays, or doesn't, and returns its address. */
    private String relay(boolean relaying) throws IOException {
        String address = freeAddress();
        RelayServer relay = new RelayServer(
                HostPort.parse(address),
                relayLoop,
                CONNECT_MILLIS,
                target -> relaying,
                connectFailures::add,
                nowMillis::get);
        relay.start(cause -> {});
        relays.add(relay);
        return address;
    }

    private Received dial(String target, String... hosts) {
        Received received = new Received();
        loop.execute(() -> new RelayDialer(loop, CONNECT_MILLIS).dial(List.of(hosts), target, received));
        return received;
    }

    private static <T> T get(CompletableFuture<T> future) {
        try {
            return future.get(LIMIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(exception);
        } catch (ExecutionException | TimeoutException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static byte[] frame(RelayMessage message) {
        ByteBuf encoded = PeerCodec.encode(message, RelayMessage.class);
        byte[] bytes = ByteBufUtil.getBytes(encoded);
        encoded.release();
        return bytes;
    }

    @Nested
    class Opening {
        @Test
        void passesOverHostsThatDoNotRelay() throws IOException {
            Received received = dial(upstreamAddress(), freeAddress(), relay(false), relay(true));
            assertThat(get(received.opened).isActive()).isTrue();
        }

        /** Guards against an upstream that has ended and counts as one that only this host can't reach. */
        @Test
        void reportsThatTheUpstreamRefuses() throws IOException {
            String ended = freeAddress();
            assertThat(get(dial(ended, relay(true), relay(true)).failed)).isEqualTo(Result.REFUSED);
            assertThat(connectFailures).containsExactly(ended, ended);
        }

        /** Guards against a relaying host that is cut off itself and whose report alone shows the upstream's end. */
        @Test
        void asksAnotherHostWhenOneCanNotConnect() throws IOException {
            String cutOff = freeAddress();
            try (ServerSocket host = new ServerSocket()) {
                host.bind(HostPort.parse(cutOff).toSocketAddress());
                Received received = dial(upstreamAddress(), cutOff, relay(true));
                Socket accepted = host.accept();
                accepted.getInputStream().read();
                accepted.getOutputStream().write(frame(new RelayMessage.Opened(Result.REFUSED)));
                assertThat(get(received.opened).isActive()).isTrue();
            }
        }

        @Test
        void reportsThatNoHostRelays() throws IOException {
            assertThat(get(dial(upstreamAddress(), freeAddress(), relay(false)).failed))
                    .isEqualTo(Result.DECLINED);
            assertThat(get(dial(upstreamAddress()).failed)).isEqualTo(Result.DECLINED);
        }
    }

    @Nested
    class Passing {
        private Received received;
        private Channel channel;
        private Socket upstreamSide;

        private void connect(String host) throws IOException {
            received = dial(upstreamAddress(), host);
            channel = get(received.opened);
            upstreamSide = upstream.accept();
        }

        /** Guards against a body that is cut or mixed up because it is larger than a message or the sockets' buffers. */
        @Test
        void carriesLargeBodiesBothWaysWhole() throws IOException {
            connect(relay(true));
            byte[] sent = new byte[3 << 20];
            for (int index = 0; index < sent.length; index++) {
                sent[index] = (byte) (index * 31 + index / 255);
            }
            CompletableFuture<byte[]> atUpstream = CompletableFuture.supplyAsync(() -> readExactly(sent.length));
            channel.writeAndFlush(Unpooled.wrappedBuffer(sent));
            assertThat(get(atUpstream)).isEqualTo(sent);
            CompletableFuture.runAsync(() -> writeAndClose(sent));
            get(received.ended);
            assertThat(received.bytes()).isEqualTo(sent);
            assertThat(received.lost).isFalse();
        }

        private byte[] readExactly(int count) {
            try {
                InputStream in = upstreamSide.getInputStream();
                return in.readNBytes(count);
            } catch (IOException exception) {
                throw new IllegalStateException(exception);
            }
        }

        private void writeAndClose(byte[] bytes) {
            try (OutputStream out = upstreamSide.getOutputStream()) {
                out.write(bytes);
            } catch (IOException exception) {
                throw new IllegalStateException(exception);
            }
        }

        /** Guards against a response without a length that looks complete although its upstream was reset. */
        @Test
        void reportsAResetOfTheUpstreamAsALoss() throws IOException {
            connect(relay(true));
            upstreamSide.getOutputStream().write("half".getBytes(StandardCharsets.US_ASCII));
            upstreamSide.setSoLinger(true, 0);
            upstreamSide.close();
            get(received.ended);
            assertThat(received.lost).isTrue();
        }

        /** Guards against half a response that looks complete, as its reset shows at the relaying host as a failed write only. */
        @Test
        void reportsAResetWhileTheRequestIsBeingWrittenAsALoss() throws IOException {
            upstream.setReceiveBufferSize(SMALL_WINDOW_BYTES);
            connect(relay(true));
            channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[LONG_BODY_BYTES]));
            readExactly(SMALL_WINDOW_BYTES);
            upstreamSide.getOutputStream().write("half".getBytes(StandardCharsets.US_ASCII));
            get(received.begun);
            upstreamSide.setSoLinger(true, 0);
            upstreamSide.close();
            get(received.ended);
            assertThat(received.lost).isTrue();
        }

        /** Guards against half a response that looks complete, as its reset follows the end of the upstream's output. */
        @ParameterizedTest
        @ValueSource(ints = {100_000, 400_000, LONG_BODY_BYTES})
        void reportsAResetBehindTheEndOfTheInputAsALoss(int requestBytes) throws IOException {
            upstream.setReceiveBufferSize(SMALL_WINDOW_BYTES);
            connect(relay(true));
            channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[requestBytes]));
            readExactly(SMALL_WINDOW_BYTES);
            upstreamSide.getOutputStream().write("half".getBytes(StandardCharsets.US_ASCII));
            get(received.begun);
            upstreamSide.setSoLinger(true, 0);
            upstreamSide.shutdownOutput();
            upstreamSide.close();
            get(received.ended);
            assertThat(received.lost).isTrue();
            assertThat(received.inputEnded).isNotDone();
        }

        /** Guards against a whole response that is lost, as its upstream ends its output before it has read all. */
        @Test
        void passesTheRestOfARequestOnBehindTheEndOfTheInput() throws IOException {
            upstream.setReceiveBufferSize(SMALL_WINDOW_BYTES);
            connect(relay(true));
            received.closesAtEnd = false;
            channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[LONG_BODY_BYTES]));
            upstreamSide.getOutputStream().write("whole".getBytes(StandardCharsets.US_ASCII));
            upstreamSide.shutdownOutput();
            assertThat(readExactly(LONG_BODY_BYTES)).hasSize(LONG_BODY_BYTES);
            get(received.inputEnded);
            assertThat(received.lost).isFalse();
        }

        /** Guards against a response without a length that looks complete although the relaying host has ended. */
        @Test
        void reportsTheEndOfTheRelayingHostAsALoss() throws IOException {
            String address = freeAddress();
            try (ServerSocket host = new ServerSocket()) {
                host.bind(HostPort.parse(address).toSocketAddress());
                received = dial(upstreamAddress(), address);
                Socket accepted = host.accept();
                accepted.getInputStream().read();
                accepted.getOutputStream().write(frame(new RelayMessage.Opened(Result.CONNECTED)));
                accepted.getOutputStream()
                        .write(frame(new RelayMessage.Data("half".getBytes(StandardCharsets.US_ASCII))));
                get(received.opened);
                accepted.shutdownOutput();
                get(received.ended);
            }
            assertThat(received.lost).isTrue();
        }

        /** Guards against a planned stop of the relaying host that cuts off a response whose upstream is silent. */
        @Test
        void keepsTheRelayingHostBusyWhileTheUpstreamIsSilent() throws IOException {
            connect(relay(true));
            channel.writeAndFlush(Unpooled.copiedBuffer("request", StandardCharsets.US_ASCII));
            readExactly("request".length());
            nowMillis.addAndGet(SILENCE_MILLIS);
            assertThat(relays.get(0).isBusy()).as("before the response").isTrue();
            upstreamSide.getOutputStream().write("half".getBytes(StandardCharsets.US_ASCII));
            get(received.begun);
            nowMillis.addAndGet(SILENCE_MILLIS);
            assertThat(relays.get(0).isBusy()).as("within the response").isTrue();
        }

        /** Guards against a planned stop that waits for a connection whose request has ended. */
        @Test
        void endsTheBusyTimeWithTheConnection() throws Exception {
            connect(relay(true));
            channel.writeAndFlush(Unpooled.copiedBuffer("request", StandardCharsets.US_ASCII));
            readExactly("request".length());
            channel.close().sync();
            assertThat(upstreamSide.getInputStream().read()).isEqualTo(-1);
            assertThat(relays.get(0).isBusy()).isFalse();
        }

        /** Guards against requests that run on after their callers have left. */
        @Test
        void closesTheUpstreamWhenTheOtherEndCloses() throws IOException {
            connect(relay(true));
            channel.close();
            assertThat(upstreamSide.getInputStream().read()).isEqualTo(-1);
        }
    }

    /** Receives what a relayed connection carries. */
    private static final class Received implements RelayDialer.Listener {
        private final CompletableFuture<Channel> opened = new CompletableFuture<>();
        private final CompletableFuture<Void> begun = new CompletableFuture<>();
        private final CompletableFuture<Result> failed = new CompletableFuture<>();
        private final CompletableFuture<Void> ended = new CompletableFuture<>();
        private final CompletableFuture<Void> inputEnded = new CompletableFuture<>();
        private final ByteBuf body = Unpooled.buffer();
        private volatile boolean closesAtEnd = true;
        private volatile boolean lost;

        byte[] bytes() {
            return ByteBufUtil.getBytes(body);
        }

        @Override
        public void onOpened(Channel channel) {
            channel.pipeline().addLast(new SimpleChannelInboundHandler<ByteBuf>() {
                @Override
                protected void channelRead0(ChannelHandlerContext context, ByteBuf part) {
                    body.writeBytes(part);
                    begun.complete(null);
                }

                @Override
                public void userEventTriggered(ChannelHandlerContext context, Object event) {
                    if (event instanceof ChannelInputShutdownEvent) {
                        inputEnded.complete(null);
                        if (closesAtEnd) {
                            context.close();
                        }
                    }
                }

                @Override
                public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                    lost = true;
                }

                @Override
                public void channelInactive(ChannelHandlerContext context) {
                    ended.complete(null);
                }
            });
            channel.config().setAutoRead(true);
            opened.complete(channel);
        }

        @Override
        public void onFailed(Result result) {
            failed.complete(result);
        }
    }
}
