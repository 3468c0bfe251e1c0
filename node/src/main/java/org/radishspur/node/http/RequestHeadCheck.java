package org.radishspur.node.http;

import java.util.Optional;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;

/**
 * Marks requests as malformed that Netty's decoder accepts and that can't be passed on as they were sent, and discards what
 * follows them on the connection. Stands behind the decoder, which is strict about fields, lengths and chunks of requests.
 */
public final class RequestHeadCheck extends ChannelInboundHandlerAdapter {
    private static final int MAJOR_VERSION = 1;
    private static final char FIRST_VISIBLE = '!';
    private static final char LAST_VISIBLE = '~';

    private boolean failed;

    /** {@inheritDoc} */
    @Override
    public void channelRead(ChannelHandlerContext context, Object part) {
        if (failed) {
            ReferenceCountUtil.release(part);
            return;
        }
        if (part instanceof HttpRequest request && request.decoderResult().isSuccess()) {
            check(request).ifPresent(fault -> fail(request, fault));
        }
        context.fireChannelRead(part);
    }

    private void fail(HttpRequest request, MessageFault fault) {
        failed = true;
        request.setDecoderResult(DecoderResult.failure(new MalformedMessageException(fault)));
    }

    /**
     * Checks the head of a request.
     *
     * @param request the decoded head.
     * @return what is wrong with it, if anything is.
     */
    static Optional<MessageFault> check(HttpRequest request) {
        if (request.protocolVersion().majorVersion() != MAJOR_VERSION) {
            return Optional.of(MessageFault.VERSION);
        }
        // Other bytes than visible ones of ASCII would be sent on as they are, or as two bytes each.
        if (!isVisible(request.uri())) {
            return Optional.of(MessageFault.TARGET);
        }
        return TransferCodings.INSTANCE.areKnown(request)
                ? Optional.empty()
                : Optional.of(MessageFault.TRANSFER_CODING);
    }

    private static boolean isVisible(String text) {
        for (int index = 0; index < text.length(); index++) {
            char found = text.charAt(index);
            if (found < FIRST_VISIBLE || found > LAST_VISIBLE) {
                return false;
            }
        }
        return true;
    }
}
