package org.radishspur.node.upstream;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import org.radishspur.node.http.HeadReader;
import org.radishspur.node.http.MalformedMessageException;
import org.radishspur.node.http.MessageFault;
import org.radishspur.node.http.TransferCodings;

/**
 * Decodes the responses on one connection, on which one request at a time is in progress.
 *
 * <p>Netty's decoder accepts malformed heads. So it gets the bytes of a head only once all of them have come
 * and a {@link HeadReader} has found nothing wrong with them. Bytes that are no head are reported as an invalid response,
 * and nothing behind them is decoded.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {
    /** The beginning of a status line, which a head contains only at its own beginning. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

    private HttpMethod method = HttpMethod.GET;
    private HeadReader head = new HeadReader();
    private boolean failed;

    /** Sets the method of the request that is being sent, which decides whether its response has a body. */
    void setMethod(HttpMethod newMethod) {
        method = newMethod;
    }

    /** Returns whether bytes were received behind the part that was decoded last. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    /** {@inheritDoc} */
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> parts) throws Exception {
        if (failed) {
            bytes.skipBytes(bytes.readableBytes());
            return;
        }
        Optional<MessageFault> fault = head.read(bytes);
        if (fault.isPresent()) {
            fail(fault.get(), parts);
        } else if (head.isComplete()) {
            int decoded = parts.size();
            super.decode(context, bytes, parts);
            parts.subList(decoded, parts.size()).forEach(this::onDecoded);
        }
    }

    /** {@inheritDoc} */
    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf bytes, List<Object> parts) throws Exception {
        int decoded = parts.size();
        super.decodeLast(context, bytes, parts);
        parts.subList(decoded, parts.size()).forEach(this::onDecoded);
        if (head.isBegun() && !failed) {
            fail(MessageFault.INCOMPLETE, parts);
        }
    }

    private void fail(MessageFault fault, List<Object> parts) {
        HttpMessage invalid = createInvalidMessage();
        fail(fault, invalid);
        parts.add(invalid);
    }

    private void fail(MessageFault fault, HttpObject part) {
        failed = true;
        part.setDecoderResult(DecoderResult.failure(new MalformedMessageException(fault)));
    }

    private void onDecoded(Object part) {
        if (part instanceof HttpObject object && object.decoderResult().isFailure()) {
            // The decoder's own message repeats bytes of the upstream, and so has no bounds.
            fail(faultOf(object.decoderResult().cause()), object);
        }
        if (part instanceof HttpResponse response && !failed) {
            checkDecoded(response).ifPresent(fault -> fail(fault, response));
        }
        if (part instanceof LastHttpContent) {
            head = new HeadReader();
        }
    }

    private static MessageFault faultOf(Throwable cause) {
        if (cause instanceof MalformedMessageException malformed) {
            return malformed.fault();
        }
        return cause instanceof PrematureChannelClosureException
                ? MessageFault.INCOMPLETE
                : MessageFault.REFUSED_BY_DECODER;
    }

    /** Checks what can be seen only in the fields of a head together. */
    private static Optional<MessageFault> checkDecoded(HttpResponse response) {
        if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            return Optional.of(MessageFault.PROTOCOL_CHANGE);
        }
        if (!TransferCodings.INSTANCE.areKnown(response)) {
            return Optional.of(MessageFault.TRANSFER_CODING);
        }
        return isJoined(response) ? Optional.of(MessageFault.JOINED) : Optional.empty();
    }

    /**
     * Checks the names of the fields behind the last chunk as well, where the decoder would drop what stands between a space
     * and the colon. Those of heads are checked before.
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("no colon behind the name of a field");
        }
        return super.splitHeaderName(line, start, length);
    }

    /** {@inheritDoc} */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
    }

    /**
     * Returns whether a head consists of two: an upstream that breaks off within a head and goes on with another response
     * sends one that has the status of the first and the headers of the second.
     *
     * @param response the decoded head.
     * @return whether a status line stands within it.
     */
    private static boolean isJoined(HttpResponse response) {
        if (containsStatusLine(response.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> header : response.headers()) {
            if (containsStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(String text) {
        return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
    }
}
