package org.radishspur.testkit.upstream;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.radishspur.node.upstream.UpstreamHeaders;

/**
 * Simulates a model engine or a plain service, and logs each request that it runs. The answer depends only on the
 * request, so that a test can check that a caller received the complete answer to its own request.
 */
public final class StandInUpstream implements AutoCloseable {
    /** The request header with the number of tokens in the answer; 1 if it is missing. */
    public static final String TOKENS_HEADER = "Stand-In-Tokens";

    /** The request header with the name under which the request is logged. */
    public static final String NAME_HEADER = "Stand-In-Name";

    /** The request header whose presence ends the process without cleanup, as a crash does. */
    public static final String CRASH_HEADER = "Stand-In-Crash";

    private static final int MAXIMUM_BODY_BYTES = 16 << 20;
    private static final int CRASH_EXIT_CODE = 42;

    /** Tokens in each write of an engine without a token time; one write for each token would dominate the run time. */
    private static final int TOKENS_PER_CHUNK = 64;

    private final Kind kind;
    private final long tokenMicros;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Channel channel;
    private final Writer log;
    private final AtomicBoolean draining = new AtomicBoolean();
    private final AtomicBoolean failing = new AtomicBoolean();
    private final AtomicInteger runningRequests = new AtomicInteger();

    /**
     * Starts to listen on the loopback address and opens the log file.
     *
     * @param port the port, or 0 to let the system choose one.
     * @param kind the kind of upstream.
     * @param tokenMicros the time for each token of an engine's answer, or for the complete answer of a service, in
     *     microseconds; 0 for no delay.
     * @param logFile the file to which a line is appended when a request starts, ends or is cancelled.
     */
    public StandInUpstream(int port, Kind kind, long tokenMicros, Path logFile) {
        this.kind = kind;
        this.tokenMicros = tokenMicros;
        try {
            log = Files.newBufferedWriter(logFile, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        channel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        accepted.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                                .addLast(new RequestHandler());
                    }
                })
                .bind("127.0.0.1", port)
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Returns the server-sent event that carries one token.
     *
     * @param body the body of the request.
     * @param index the position of the token in the answer, from 0.
     * @return the event.
     */
    public static String tokenEvent(String body, int index) {
        return "data: " + Integer.toHexString(body.hashCode() * 31 + index) + "\n\n";
    }

    /**
     * Returns the complete answer of a service.
     *
     * @param body the body of the request.
     * @return the answer, as JSON.
     */
    public static String serviceAnswer(String body) {
        return "{\"recorded\":\"" + Integer.toHexString(body.hashCode()) + "\"}";
    }

    /**
     * Sets whether requests fail with status 500 from now on.
     *
     * @param fails whether requests fail.
     */
    public void failing(boolean fails) {
        failing.set(fails);
    }

    /** Refuses further requests with status 503, as an engine does that drains before it stops. */
    public void drain() {
        draining.set(true);
    }

    /**
     * Returns the address that the upstream listens on.
     *
     * @return the IP address and the port.
     */
    public String address() {
        return "127.0.0.1:" + ((java.net.InetSocketAddress) channel.localAddress()).getPort();
    }

    /**
     * Waits until the upstream is closed.
     *
     * @throws InterruptedException if the waiting thread is interrupted.
     */
    public void awaitClosed() throws InterruptedException {
        channel.closeFuture().sync();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        channel.close().syncUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private synchronized void record(String line) {
        try {
            log.write(line + '\n');
            log.flush();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Names the kinds of upstream.
     */
    public enum Kind {
        /** A model engine, which streams tokens. */
        ENGINE,
        /** A plain service, which sends its complete answer in one part. */
        SERVICE
    }

    /**
     * Answers the requests of one connection.
     */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private String identifier = "";

        /** {@inheritDoc} */
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            String body = request.content().toString(StandardCharsets.UTF_8);
            identifier = request.headers().get(UpstreamHeaders.REQUEST, "");
            if (draining.get()) {
                sendDrainingRefusal(context);
                return;
            }
            String name = request.headers().get(NAME_HEADER, "-");
            record("start " + name + ' ' + request.headers().get(UpstreamHeaders.REQUEST, "-"));
            if (request.headers().contains(CRASH_HEADER)) {
                Runtime.getRuntime().halt(CRASH_EXIT_CODE);
            }
            if (failing.get()) {
                sendFailure(context);
                return;
            }
            int tokens = request.headers().getInt(TOKENS_HEADER, 1);
            if (kind == Kind.SERVICE) {
                long delay = tokenMicros;
                context.executor().schedule(() -> sendServiceAnswer(context, name, body), delay, TimeUnit.MICROSECONDS);
            } else {
                HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                identify(head);
                head.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
                HttpUtil.setTransferEncodingChunked(head, true);
                head.headers().setInt(UpstreamHeaders.LOAD_RUNNING, runningRequests.incrementAndGet());
                head.headers().setInt(UpstreamHeaders.LOAD_WAITING, 0);
                context.write(head);
                streamTokens(context, name, body, 0, tokens);
            }
        }

        /** Repeats the identifier of the request, so that its response is distinguished from others. */
        private void identify(HttpResponse response) {
            response.headers().set(UpstreamHeaders.REQUEST, identifier);
        }

        private void streamTokens(ChannelHandlerContext context, String name, String body, int index, int tokens) {
            if (!context.channel().isActive()) {
                runningRequests.decrementAndGet();
                record("cancelled " + name);
                return;
            }
            if (index == tokens) {
                runningRequests.decrementAndGet();
                record("end " + name);
                context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
                return;
            }
            int until = Math.min(tokens, index + (tokenMicros == 0 ? TOKENS_PER_CHUNK : 1));
            StringBuilder text = new StringBuilder();
            for (int token = index; token < until; token++) {
                text.append(tokenEvent(body, token));
            }
            var content = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
            context.writeAndFlush(new DefaultHttpContent(content)).addListener(written -> {
                if (written.isSuccess()) {
                    runAfterTokenTime(context, () -> streamTokens(context, name, body, until, tokens));
                } else {
                    runningRequests.decrementAndGet();
                    record("cancelled " + name);
                }
            });
        }

        private void runAfterTokenTime(ChannelHandlerContext context, Runnable action) {
            if (tokenMicros == 0) {
                context.executor().execute(action);
            } else {
                context.executor().schedule(action, tokenMicros, TimeUnit.MICROSECONDS);
            }
        }

        private void sendServiceAnswer(ChannelHandlerContext context, String name, String body) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.OK,
                    Unpooled.copiedBuffer(serviceAnswer(body), StandardCharsets.UTF_8));
            identify(response);
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            response.headers()
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            record("end " + name);
            context.writeAndFlush(response);
        }

        private void sendFailure(ChannelHandlerContext context) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.INTERNAL_SERVER_ERROR);
            identify(response);
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 0);
            context.writeAndFlush(response);
        }

        private void sendDrainingRefusal(ChannelHandlerContext context) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
            identify(response);
            response.headers().set(UpstreamHeaders.ADMISSION, UpstreamHeaders.ADMISSION_DRAINING);
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 0);
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        }

        /** {@inheritDoc} */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
