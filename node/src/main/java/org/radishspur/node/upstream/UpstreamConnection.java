package org.radishspur.node.upstream;

import java.net.ProtocolException;
import java.nio.channels.ClosedChannelException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.radishspur.node.http.MalformedMessageException;
import org.radishspur.node.http.MessageFault;
import org.radishspur.node.upstream.UpstreamConnections.Target;

/**
 * A connection to an upstream, which carries one exchange at a time.
 *
 * <p>An upstream may send a response a second time, where the response to a later request is due, and only the identifier of
 * the request distinguishes them. So that it always does, a connection carries each request once only, carries no further one
 * after a response without an identifier, and goes back to the idle ones only when the read that has completed a response
 * holds nothing else. Bytes while no response is due close it, and so does an exchange that did not end cleanly.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject>
        implements UpstreamExchange, InputGuard.Connection {
    private static final Pattern KEEP_ALIVE_SECONDS = Pattern.compile("timeout=(\\d{1,6})");

    /** How long before its timeout an idle connection is no longer reused, in milliseconds; covers network delay. */
    private static final long KEEP_ALIVE_MARGIN_MILLIS = 1_000;

    /**
     * The size of a body, in bytes, up to which an upstream reads it together with the head, so that no bytes of the request
     * are unread when it responds.
     */
    private static final int READ_WITH_HEAD_BYTES = 4 << 10;

    private final UpstreamConnections connections;
    private final int number;
    private final SentRequests sentRequests = new SentRequests();
    private final InputGuard inputGuard = new InputGuard(this);
    private final UpstreamResponseDecoder decoder = new UpstreamResponseDecoder();
    private int exchanges;
    private Target target;
    private Channel channel;
    private UpstreamListener listener;
    private RequestIdentity identity = RequestIdentity.NONE;
    private HttpMethod method = HttpMethod.GET;
    private Phase phase = Phase.UNSENT;
    private ResponseEnd responseEnd = ResponseEnd.STATED;
    private boolean unanswered;
    private boolean requestComplete;
    private boolean requestWritten;
    private long requestBytes;
    private boolean reusable;
    private boolean inputEnded;
    private boolean paused;
    private boolean wasPaused;
    private long maxIdleMillis;

    UpstreamConnection(UpstreamConnections connections, int number, Target target) {
        super(false);
        this.connections = connections;
        this.number = number;
        this.target = target;
    }

    /** Adds the handlers of a connection to a new channel. */
    void install(Channel connected) {
        connected
                .pipeline()
                .addLast(inputGuard)
                .addLast(decoder)
                .addLast(new HttpRequestEncoder())
                .addLast(this);
    }

    /** Returns whether the response to a request could be distinguished from all others on this connection. */
    boolean mayCarry(RequestIdentity request) {
        return request.isStated() && !sentRequests.mayContain(request);
    }

    /** Starts an exchange on a new or idle connection. */
    void begin(Channel connected, RequestIdentity request, UpstreamListener receiver) {
        channel = connected;
        identity = request;
        listener = receiver;
        exchanges++;
        phase = Phase.UNSENT;
        requestComplete = false;
        requestWritten = false;
        requestBytes = 0;
        reusable = true;
        paused = false;
        wasPaused = false;
        maxIdleMillis = Long.MAX_VALUE;
    }

    /** {@inheritDoc} */
    @Override
    public ChannelFuture write(HttpObject part) {
        if (part instanceof HttpRequest request) {
            method = request.method();
            decoder.setMethod(method);
            phase = Phase.AWAITING_RESPONSE;
            sentRequests.add(identity);
            unanswered = true;
            if (isDirect()) {
                connections.paths().recordSent(target.address());
            }
        }
        if (part instanceof HttpContent content) {
            requestBytes += content.content().readableBytes();
        }
        boolean last = part instanceof LastHttpContent;
        requestComplete |= last;
        ChannelFuture written = channel.writeAndFlush(part);
        if (last) {
            int exchange = exchanges;
            written.addListener(future -> onRequestWritten(exchange, future.isSuccess()));
        }
        return written;
    }

    /** Records that the request of an exchange has been written, or not; the response may have ended that exchange before. */
    private void onRequestWritten(int exchange, boolean succeeded) {
        if (exchange == exchanges) {
            requestWritten = succeeded;
            inputGuard.endIfRequestWritten();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void read() {
        if (paused) {
            paused = false;
            if (unanswered && isDirect()) {
                connections.paths().recordSent(target.address());
            }
        }
        channel.read();
    }

    /** {@inheritDoc} */
    @Override
    public void pauseReading() {
        if (!paused) {
            if (unanswered && isDirect()) {
                connections.paths().recordEnded(target.address());
            }
            paused = true;
            wasPaused = true;
        }
    }

    /** {@inheritDoc} */
    @Override
    public boolean isDirect() {
        return !target.relayed();
    }

    /** {@inheritDoc} */
    @Override
    public String name() {
        return (isDirect() ? "" : "r") + number + '.' + exchanges;
    }

    /** {@inheritDoc} */
    @Override
    public boolean isRequestWritten() {
        return requestWritten;
    }

    /** {@inheritDoc} */
    @Override
    public void abort() {
        listener = null;
        recordEnded();
        if (channel != null) {
            channel.close();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void channelInactive(ChannelHandlerContext context) {
        connections.remove(target, this);
        fail(new ClosedChannelException());
    }

    /** {@inheritDoc} */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(cause);
        context.close();
    }

    /** {@inheritDoc} */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (listener == null) {
            return;
        }
        if (phase == Phase.COMPLETE) {
            endExchange();
        } else {
            listener.onReadComplete();
        }
    }

    /** {@inheritDoc} */
    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (unanswered && isDirect() && context.channel().isActive()) {
            connections.paths().recordBytes(target.address());
        }
        if (!isResponseDue()) {
            ReferenceCountUtil.release(part);
            onUnexpectedBytes();
        } else if (part.decoderResult().isFailure()) {
            ReferenceCountUtil.release(part);
            failMalformed(part.decoderResult().cause());
        } else {
            receive(part);
        }
    }

    /** {@inheritDoc} */
    @Override
    public boolean isResponseDue() {
        return listener != null && phase != Phase.UNSENT && phase != Phase.COMPLETE;
    }

    /** {@inheritDoc} */
    @Override
    public void onUnexpectedBytes() {
        reusable = false;
        if (listener == null || phase == Phase.UNSENT) {
            fail(new ProtocolException("bytes from the upstream while no response was due"));
            channel.close();
        }
    }

    /** {@inheritDoc} */
    @Override
    public boolean isEndUnproved() {
        return endsWithInput() && !requestWritten;
    }

    /** {@inheritDoc} */
    @Override
    public boolean mayBeResetAfterEnd() {
        // A relaying host reports the end of the input only after it has waited itself.
        return isDirect() && endsWithInput() && requestBytes > READ_WITH_HEAD_BYTES;
    }

    private boolean endsWithInput() {
        return phase == Phase.RECEIVING && responseEnd == ResponseEnd.CONNECTION_CLOSED;
    }

    /** {@inheritDoc} */
    @Override
    public void onOrderlyEnd() {
        inputEnded = true;
    }

    private void receive(HttpObject part) {
        if (part instanceof HttpResponse response) {
            receiveHead(response);
        }
        if (part instanceof HttpContent content) {
            receiveContent(content);
        }
    }

    private void receiveHead(HttpResponse response) {
        RequestIdentity.Owner owner = identity.ownerOf(response);
        if (owner == RequestIdentity.Owner.SEVERAL_REQUESTS) {
            failMalformed(new MalformedMessageException(MessageFault.JOINED));
            return;
        }
        if (owner == RequestIdentity.Owner.OTHER_REQUEST) {
            phase = Phase.SKIPPING;
            reusable = false;
            listener.onExtraResponse(response);
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            phase = Phase.SKIPPING;
            return;
        }
        phase = Phase.RECEIVING;
        responseEnd = ResponseEnd.of(method, response);
        reusable &= HttpUtil.isKeepAlive(response)
                && responseEnd == ResponseEnd.STATED
                && owner == RequestIdentity.Owner.THIS_REQUEST
                && !sentRequests.isFull();
        maxIdleMillis = keepAliveMillis(response);
        listener.onResponseHead(response);
    }

    private void receiveContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (listener == null) {
            content.release();
            return;
        }
        if (phase == Phase.SKIPPING) {
            content.release();
            phase = last ? Phase.AWAITING_RESPONSE : Phase.SKIPPING;
            return;
        }
        listener.onContent(content.content());
        if (!last || listener == null) {
            return;
        }
        if (responseEnd == ResponseEnd.CONNECTION_CLOSED && !inputEnded) {
            fail(new ClosedChannelException());
            return;
        }
        phase = Phase.COMPLETE;
        reusable &= !decoder.hasUndecodedBytes();
        recordEnded();
    }

    /**
     * Returns how long the idle connection may be reused, in milliseconds: the stated Keep-Alive timeout less a margin.
     */
    private static long keepAliveMillis(HttpResponse response) {
        Matcher timeout = KEEP_ALIVE_SECONDS.matcher(response.headers().get("Keep-Alive", ""));
        return timeout.find()
                ? Math.max(0, Long.parseLong(timeout.group(1)) * 1_000 - KEEP_ALIVE_MARGIN_MILLIS)
                : Long.MAX_VALUE;
    }

    /** Ends the exchange after a complete response, and keeps the connection for reuse where that is safe. */
    private void endExchange() {
        UpstreamListener receiver = listener;
        listener = null;
        if (requestComplete && reusable && channel.isActive()) {
            connections.returnIdle(target, this, channel, maxIdleMillis);
        } else {
            channel.close();
        }
        receiver.onResponseComplete(responseEnd);
    }

    /** Records once that the request that was sent has ended, for the direct path that it was sent on. */
    private void recordEnded() {
        if (unanswered && isDirect() && !paused) {
            connections.paths().recordEnded(target.address());
        }
        unanswered = false;
    }

    /** Ends the exchange after bytes that are no response; they show that the path to the upstream works. */
    private void failMalformed(Throwable cause) {
        UpstreamListener receiver = listener;
        listener = null;
        recordEnded();
        channel.close();
        receiver.onMalformedResponse(cause);
    }

    /** Ends the exchange without a response, unless that is complete. */
    private void fail(Throwable cause) {
        if (listener != null && phase == Phase.COMPLETE) {
            reusable = false;
            endExchange();
            return;
        }
        UpstreamListener receiver = listener;
        listener = null;
        // An upstream may cut off a response that remains unread.
        if (unanswered && isDirect() && !wasPaused) {
            connections.paths().recordLoss(target.address());
        }
        recordEnded();
        if (receiver != null) {
            receiver.onConnectionLost(cause);
        }
    }

    Channel channel() {
        return channel;
    }

    Target target() {
        return target;
    }

    /** Sets where the connection leads, before it is established. */
    void setTarget(Target newTarget) {
        target = newTarget;
    }

    /** The phases of an exchange. */
    private enum Phase {
        /** Nothing was sent, so that no response can be due. */
        UNSENT,
        /** The request is being sent or was sent, and the head of its response is due. */
        AWAITING_RESPONSE,
        /** A response that isn't the final one of this request is discarded. */
        SKIPPING,
        /** The body of the response is due. */
        RECEIVING,
        /** The response is complete; the current read may hold more. */
        COMPLETE
    }
}
