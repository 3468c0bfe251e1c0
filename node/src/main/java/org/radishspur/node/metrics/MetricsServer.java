package org.radishspur.node.metrics;

import java.nio.charset.StandardCharsets;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.radishspur.node.settings.HostPort;
import org.radishspur.node.supervise.Child;
import org.radishspur.node.transport.ServerSocketBinder;

/**
 * Serves the metrics of a process as text over HTTP, on every path of an address used for nothing else.
 */
public final class MetricsServer implements Child {
    /** Maximum size of a request's body, which is ignored. */
    private static final int MAX_BODY_BYTES = 8_192;

    private final HostPort address;
    private final EventLoopGroup group;
    private final MetricRegistry registry;
    private Channel channel;

    /**
     * Creates a server that doesn't listen yet.
     *
     * @param address the address to listen on.
     * @param group the threads that serve the connections.
     * @param registry the metrics to serve.
     */
    public MetricsServer(HostPort address, EventLoopGroup group, MetricRegistry registry) {
        this.address = address;
        this.group = group;
        this.registry = registry;
    }

    /** {@inheritDoc} */
    @Override
    public void start(FailureListener listener) {
        channel = ServerSocketBinder.INSTANCE.bind(address, group, accepted -> {
            accepted.pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                    .addLast(new RequestHandler());
        });
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        if (channel != null) {
            channel.close();
        }
    }

    /**
     * Answers the first request of a connection with all metrics, then closes the connection.
     */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        /** {@inheritDoc} */
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.OK,
                    Unpooled.copiedBuffer(MetricsText.INSTANCE.write(registry), StandardCharsets.UTF_8));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
            HttpUtil.setContentLength(response, response.content().readableBytes());
            HttpUtil.setKeepAlive(response, false);
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }

        /** {@inheritDoc} */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
