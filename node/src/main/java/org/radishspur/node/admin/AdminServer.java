package org.radishspur.node.admin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.function.BooleanSupplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import org.radishspur.model.codec.Json;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;
import org.radishspur.node.control.NodeCore;
import org.radishspur.node.http.RequestHeadCheck;
import org.radishspur.node.metrics.NodeMetrics;
import org.radishspur.node.settings.NodeSettings;
import org.radishspur.node.supervise.Child;

/**
 * Accepts operators' connections and serves their calls. Every path except health, readiness and metrics requires the
 * token.
 */
public final class AdminServer implements Child {
    private static final int MAX_BODY_BYTES = 16 << 20;
    private static final int IDLE_TIMEOUT_SECONDS = 60;
    private static final String BEARER_PREFIX = "Bearer ";

    private final NodeSettings settings;
    private final byte[] token;
    private final AdminCalls calls;
    private final NodeMetrics metrics;
    private final EventLoopGroup group;
    private Channel channel;

    /**
     * Creates a server, which doesn't listen before its start.
     *
     * @param settings the settings of the node.
     * @param token the bearer token that operators must send.
     * @param core the core of the node, which executes the calls.
     * @param metrics the metrics of the node.
     * @param readiness returns whether the node is ready to serve.
     * @param group the event loops that serve the connections.
     */
    public AdminServer(
            NodeSettings settings,
            String token,
            NodeCore core,
            NodeMetrics metrics,
            BooleanSupplier readiness,
            EventLoopGroup group) {
        this.settings = settings;
        this.token = token.getBytes(StandardCharsets.UTF_8);
        this.calls = new AdminCalls(settings, core, metrics, readiness);
        this.metrics = metrics;
        this.group = group;
    }

    /** {@inheritDoc} */
    @Override
    public void start(FailureListener listener) {
        channel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        accepted.pipeline()
                                .addLast(new ReadTimeoutHandler(IDLE_TIMEOUT_SECONDS))
                                .addLast(new HttpServerCodec())
                                .addLast(new RequestHeadCheck())
                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                .addLast(new ConnectionHandler());
                    }
                })
                .bind(settings.adminAddress().toSocketAddress())
                .syncUninterruptibly()
                .channel();
        channel.closeFuture()
                .addListener(future -> listener.onFailure(
                        new RadishspurException(ErrorCode.CALL_INVALID, "the admin address stopped listening")));
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        if (channel != null) {
            channel.close();
        }
    }

    private boolean isAuthorised(FullHttpRequest request) {
        String header = request.headers().get(HttpHeaderNames.AUTHORIZATION, "");
        byte[] sentToken = header.startsWith(BEARER_PREFIX)
                ? header.substring(BEARER_PREFIX.length()).getBytes(StandardCharsets.UTF_8)
                : new byte[0];
        return MessageDigest.isEqual(sentToken, token);
    }

    /**
     * Serves one operator's connection.
     */
    private final class ConnectionHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        /** {@inheritDoc} */
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            String path = request.uri().split("\\?", 2)[0];
            if (request.decoderResult().isFailure()) {
                send(
                        context,
                        AdminAnswer.failure(HttpResponseStatus.BAD_REQUEST, ErrorCode.CALL_INVALID.code(), "not HTTP"),
                        false);
            } else if (!AdminCalls.isPublicPath(path) && !isAuthorised(request)) {
                metrics.countError(ErrorCode.TOKEN_REFUSED);
                send(
                        context,
                        AdminAnswer.failure(
                                HttpResponseStatus.UNAUTHORIZED,
                                ErrorCode.TOKEN_REFUSED.code(),
                                "the token is missing or wrong"),
                        keepAlive);
            } else {
                calls.handle(
                        request.method(),
                        path,
                        request.content().toString(StandardCharsets.UTF_8),
                        answer -> context.executor().execute(() -> send(context, answer, keepAlive)));
            }
        }

        private void send(ChannelHandlerContext context, AdminAnswer answer, boolean keepAlive) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    answer.status(),
                    Unpooled.copiedBuffer(Json.INSTANCE.write(answer.body()), StandardCharsets.UTF_8));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            response.headers()
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            HttpUtil.setKeepAlive(response, keepAlive);
            var written = context.writeAndFlush(response);
            if (!keepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
