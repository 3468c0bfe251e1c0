package org.radishspur.node.group;

import java.nio.charset.StandardCharsets;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;
import org.radishspur.node.http.RequestHeadCheck;
import org.radishspur.node.log.ComponentLog;
import org.radishspur.node.settings.HostPort;
import org.radishspur.node.supervise.Child;
import org.radishspur.node.transport.ServerSocketBinder;

/**
 * Serves operators' calls over HTTP.
 */
final class OperatorServer implements Child {
    /** The maximum size of the bodies of all calls that are received or being answered, in bytes. */
    private static final long CALL_BUDGET_BYTES = OperatorService.MAX_DOCUMENT_BYTES;

    private final CallBudget budget = new CallBudget(CALL_BUDGET_BYTES);
    private final AnswerEncoder encoder = new AnswerEncoder();
    private final HostPort address;
    private final EventLoopGroup group;
    private final OperatorService service;
    private Channel channel;

    OperatorServer(HostPort address, EventLoopGroup group, OperatorService service) {
        this.address = address;
        this.group = group;
        this.service = service;
    }

    /** {@inheritDoc} */
    @Override
    public void start(FailureListener listener) {
        channel = ServerSocketBinder.INSTANCE.bind(address, group, accepted -> {
            CallReader reader = new CallReader(budget, OperatorService.MAX_DOCUMENT_BYTES);
            accepted.pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new RequestHeadCheck())
                    .addLast(reader)
                    .addLast(new CallHandler(reader));
        });
        channel.closeFuture()
                .addListener(future -> listener.onFailure(
                        new RadishspurException(ErrorCode.CALL_INVALID, "the operators' address stopped listening")));
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        if (channel != null) {
            channel.close();
        }
    }

    /**
     * Handles the calls of one connection.
     */
    private final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final CallReader reader;

        CallHandler(CallReader reader) {
            this.reader = reader;
        }

        /** {@inheritDoc} */
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            String body = request.content().toString(StandardCharsets.UTF_8);
            service.handle(
                    request.method().name(),
                    request.uri(),
                    body,
                    answer -> context.executor().execute(() -> write(context, answer, keepAlive)));
        }

        private void write(ChannelHandlerContext context, OperatorService.Answer answer, boolean keepAlive) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()), encoder.encode(answer.body()));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            HttpUtil.setContentLength(response, response.content().readableBytes());
            HttpUtil.setKeepAlive(response, keepAlive);
            answer.location().ifPresent(location -> response.headers().set(HttpHeaderNames.LOCATION, location));
            var written = context.writeAndFlush(response);
            if (!keepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
            reader.onAnswered();
        }

        /** {@inheritDoc} */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            ComponentLog.ADMIN.info("Closed an operator's connection: " + cause + '.');
            context.close();
        }
    }
}
