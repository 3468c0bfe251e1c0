package org.radishspur.node.entry;

import java.nio.charset.StandardCharsets;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.radishspur.node.metrics.MetricsText;
import org.radishspur.node.settings.HostPort;
import org.radishspur.node.supervise.Child;
import org.radishspur.node.transport.ServerSocketBinder;

/**
 * Serves the ready check of the load balancer and, on the same address under {@code /metrics}, the metrics.
 */
final class ReadyServer implements Child {
    /** The maximum size of the body of a request, in bytes. */
    private static final int MAX_BODY_BYTES = 8_192;

    private final HostPort address;
    private final EventLoop loop;
    private final EntryServices services;
    private Channel channel;

    ReadyServer(HostPort address, EventLoop loop, EntryServices services) {
        this.address = address;
        this.loop = loop;
        this.services = services;
    }

    /** {@inheritDoc} */
    @Override
    public void start(FailureListener listener) {
        channel = ServerSocketBinder.INSTANCE.bind(address, loop, accepted -> {
            accepted.pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                    .addLast(new StatusHandler());
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
     * Responds to the requests of one connection.
     */
    private final class StatusHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        /** {@inheritDoc} */
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean metrics = request.uri().startsWith("/metrics");
            boolean ok = metrics || services.isReady();
            ByteBuf body = metrics
                    ? Unpooled.copiedBuffer(MetricsText.INSTANCE.write(registry()), StandardCharsets.UTF_8)
                    : Unpooled.EMPTY_BUFFER;
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, ok ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, body);
            HttpUtil.setContentLength(response, body.readableBytes());
            HttpUtil.setKeepAlive(response, HttpUtil.isKeepAlive(request));
            var future = context.writeAndFlush(response);
            if (!HttpUtil.isKeepAlive(request)) {
                future.addListener(io.netty.channel.ChannelFutureListener.CLOSE);
            }
        }

        private MetricRegistry registry() {
            return services.metrics().registry();
        }

        /** {@inheritDoc} */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
