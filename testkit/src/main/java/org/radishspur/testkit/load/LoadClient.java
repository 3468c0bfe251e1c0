package org.radishspur.testkit.load;

import java.nio.charset.StandardCharsets;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.radishspur.node.settings.HostPort;
import org.radishspur.testkit.upstream.StandInUpstream;

/**
 * Generates load over several connections, each of which waits for an answer before it sends its next request.
 */
public final class LoadClient implements AutoCloseable {
    private static final int THREADS = 2;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());

    /**
     * Sends all requests of a plan and waits until every connection is closed.
     *
     * @param address the address to call.
     * @param plan the path to call and the number of requests.
     * @return the latencies and the failures.
     * @throws InterruptedException if the waiting thread is interrupted.
     */
    public LoadResult run(String address, Plan plan) throws InterruptedException {
        LoadResult result = new LoadResult();
        AtomicInteger remainingRequests = new AtomicInteger(plan.requests());
        CountDownLatch openConnections = new CountDownLatch(plan.connections());
        long beganAt = System.nanoTime();
        for (int connection = 0; connection < plan.connections(); connection++) {
            new Bootstrap()
                    .group(group)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel channel) {
                            channel.pipeline()
                                    .addLast(new HttpClientCodec())
                                    .addLast(
                                            new RequestLoop(address, plan, remainingRequests, result, openConnections));
                        }
                    })
                    .connect(HostPort.parse(address).toSocketAddress())
                    .addListener(connected -> {
                        if (!connected.isSuccess()) {
                            result.recordFailure();
                            openConnections.countDown();
                        }
                    });
        }
        openConnections.await();
        result.addElapsedNanos(System.nanoTime() - beganAt);
        return result;
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /**
     * Describes one run of requests.
     *
     * @param path the path to call.
     * @param connections the number of connections.
     * @param requests the number of requests over all connections.
     * @param tokens the number of tokens to request for each answer.
     * @param idempotencyKeys whether each request has an idempotency key of its own.
     */
    public record Plan(String path, int connections, int requests, int tokens, boolean idempotencyKeys) {}

    /**
     * Sends requests over one connection until none remains.
     */
    private static final class RequestLoop extends SimpleChannelInboundHandler<HttpObject> {
        private final String address;
        private final Plan plan;
        private final AtomicInteger remainingRequests;
        private final LoadResult result;
        private final CountDownLatch openConnections;
        private long sentAt;
        private boolean statusOk;
        private boolean awaitingAnswer;

        RequestLoop(
                String address,
                Plan plan,
                AtomicInteger remainingRequests,
                LoadResult result,
                CountDownLatch openConnections) {
            this.address = address;
            this.plan = plan;
            this.remainingRequests = remainingRequests;
            this.result = result;
            this.openConnections = openConnections;
        }

        /** {@inheritDoc} */
        @Override
        public void channelActive(ChannelHandlerContext context) {
            sendNextRequest(context);
        }

        private void sendNextRequest(ChannelHandlerContext context) {
            if (remainingRequests.getAndDecrement() <= 0) {
                awaitingAnswer = false;
                context.close();
                return;
            }
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.POST,
                    plan.path(),
                    Unpooled.copiedBuffer("load", StandardCharsets.UTF_8));
            request.headers()
                    .set(HttpHeaderNames.HOST, address)
                    .set("Radishspur-Organisation", "load")
                    .set(StandInUpstream.TOKENS_HEADER, plan.tokens())
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
            if (plan.idempotencyKeys()) {
                request.headers().set("Idempotency-Key", UUID.randomUUID().toString());
            }
            sentAt = System.nanoTime();
            awaitingAnswer = true;
            context.writeAndFlush(request);
        }

        /** {@inheritDoc} */
        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (message instanceof HttpResponse response) {
                statusOk = response.status().equals(HttpResponseStatus.OK);
            }
            if (message instanceof LastHttpContent) {
                if (statusOk) {
                    result.recordSuccess(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sentAt));
                } else {
                    result.recordFailure();
                }
                sendNextRequest(context);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (awaitingAnswer) {
                result.recordFailure();
            }
            openConnections.countDown();
        }

        /** {@inheritDoc} */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
