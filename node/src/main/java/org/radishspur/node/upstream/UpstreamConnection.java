package org.radishspur.node.upstream;

import java.net.ProtocolException;
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
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.radishspur.node.upstream.UpstreamConnections.Target;

/**
 * A connection to an upstream, which carries one exchange at a time.
 *
 * <p>A connection whose exchange did not end cleanly is closed, so that a late response can't reach another caller.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> implements UpstreamExchange {
    private static final Pattern KEEP_ALIVE_SECONDS = Pattern.compile("timeout=(\\d{1,6})");

    /** How long before its timeout an idle connection is no longer reused, in milliseconds; covers network delay. */
    private static final long KEEP_ALIVE_MARGIN_MILLIS = 1_000;

    private final UpstreamConnections connections;
    private final int number;
    private int exchanges;
    private Target target;
    private Channel channel;
    private UpstreamListener listener;
    private HttpMethod method = HttpMethod.GET;
    private ResponseEnd responseEnd = ResponseEnd.STATED;
    private boolean unanswered;
    private boolean requestComplete;
    private boolean requestWritten;
    private boolean responseComplete;
    private boolean reusable;
    private boolean skippingResponse;
    private boolean paused;
    private boolean wasPaused;
    private long maxIdleMillis;

    UpstreamConnection(UpstreamConnections connections, int number, Target target) {
        super(false);
        this.connections = connections;
        this.number = number;
        this.target = target;
    }

    /** Starts an exchange on a new or idle connection. */
    void begin(Channel connected, UpstreamListener receiver) {
        channel = connected;
        listener = receiver;
        exchanges++;
        requestComplete = false;
        requestWritten = false;
        responseComplete = false;
        reusable = true;
        skippingResponse = false;
        paused = false;
        wasPaused = false;
        maxIdleMillis = Long.MAX_VALUE;
    }

    /** {@inheritDoc} */
    @Override
    public ChannelFuture write(HttpObject part) {
        if (part instanceof HttpRequest request) {
            method = request.method();
            unanswered = true;
            if (isDirect()) {
                connections.paths().recordSent(target.address());
            }
        }
        boolean last = part instanceof LastHttpContent;
        requestComplete |= last;
        ChannelFuture written = channel.writeAndFlush(part);
        if (last) {
            written.addListener(future -> requestWritten = future.isSuccess());
        }
        return written;
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
    public void skipResponse() {
        skippingResponse = true;
        reusable = false;
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
        fail(new java.nio.channels.ClosedChannelException());
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
        if (listener != null) {
            listener.onReadComplete();
        }
    }

    /** {@inheritDoc} */
    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (unanswered && isDirect() && context.channel().isActive()) {
            connections.paths().recordBytes(target.address());
        }
        if (listener == null || part.decoderResult().isFailure()) {
            ReferenceCountUtil.release(part);
            failMalformed();
            context.close();
            return;
        }
        if (part instanceof HttpResponse response) {
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                return;
            }
            responseEnd = ResponseEnd.of(method, response);
            reusable &= HttpUtil.isKeepAlive(response) && responseEnd == ResponseEnd.STATED;
            maxIdleMillis = keepAliveMillis(response);
            listener.onResponseHead(response);
        }
        if (part instanceof HttpContent content) {
            boolean last = part instanceof LastHttpContent;
            if (listener != null && !skippingResponse) {
                listener.onContent(content.content());
            } else {
                content.release();
            }
            if (last && skippingResponse) {
                skippingResponse = false;
            } else if (last && listener != null) {
                complete();
            }
        }
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

    /** Ends the exchange, and keeps the connection for reuse where request and response are complete. */
    private void complete() {
        responseComplete = true;
        recordEnded();
        UpstreamListener receiver = listener;
        listener = null;
        if (requestComplete && responseComplete && reusable) {
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
    private void failMalformed() {
        UpstreamListener receiver = listener;
        listener = null;
        recordEnded();
        if (receiver != null) {
            receiver.onMalformedResponse(new ProtocolException("unexpected bytes from the upstream"));
        }
    }

    private void fail(Throwable cause) {
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
}
