package org.radishspur.node.group;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import org.radishspur.model.catalogue.Upstream;
import org.radishspur.model.error.RadishspurException;
import org.radishspur.node.control.ControlLoop;
import org.radishspur.node.control.ReplicaHost;
import org.radishspur.node.dialect.HostListDialect;
import org.radishspur.node.fleet.HostList;
import org.radishspur.node.log.EventCode;
import org.radishspur.node.log.EventLog;
import org.radishspur.node.settings.HostPort;
import org.radishspur.node.upstream.UpstreamConnections;
import org.radishspur.node.upstream.UpstreamExchange;
import org.radishspur.node.upstream.UpstreamListener;

/**
 * Reads the platform's host list while this replica leads, so that all entries share one reader and the platform's limit
 * on calls is kept whatever their number. A new leader takes the reading over.
 */
final class HostListReader {
    /**
     * The time from one reading to the next, in milliseconds: together with the entries' questions it puts a change in
     * force within a second, a third of what is allowed, at some four calls in three seconds.
     */
    private static final long READ_INTERVAL_MILLIS = 750;

    /** How long one page may take, in milliseconds. */
    private static final long PAGE_TIMEOUT_MILLIS = 1_200;

    /** More pages than this are taken for a fault of the list; 50 hosts on a page make some 50,000 hosts. */
    private static final int MAX_PAGES = 1_000;

    /** How old a list may be that was read before this replica led, in milliseconds; the period of reading it. */
    private static final long MAX_PREFETCHED_AGE_MILLIS = READ_INTERVAL_MILLIS;

    private static final long CONNECT_TIMEOUT_MILLIS = 500;
    private static final long KEEP_ALIVE_MILLIS = 10_000;

    private final ControlLoop loop;
    private final EventLoop transport;
    private final ReplicaHost replica;
    private final HostListDialect dialect;
    private final HostPort address;
    private final EventLog events;
    private final ControlMetrics metrics;
    private final UpstreamConnections connections;
    private HostList latest = HostList.NONE;
    private List<Upstream> prefetched = List.of();
    private long prefetchedAt = Long.MIN_VALUE / 2;
    private long publishedReadings;
    private boolean readInProgress;

    HostListReader(
            ControlLoop loop,
            EventLoop transport,
            ReplicaHost replica,
            HostListDialect dialect,
            HostPort address,
            EventLog events,
            ControlMetrics metrics) {
        this.metrics = metrics;
        this.loop = loop;
        this.transport = transport;
        this.replica = replica;
        this.dialect = dialect;
        this.address = address;
        this.events = events;
        this.connections = new UpstreamConnections(transport, CONNECT_TIMEOUT_MILLIS, KEEP_ALIVE_MILLIS);
        loop.repeat(this::readIfLeading, READ_INTERVAL_MILLIS);
    }

    HostList latest() {
        return latest;
    }

    /**
     * Reads the list before any leader is known, right after the start. Guards against a longer outage after all control
     * hosts have restarted: reading the list for the first time takes a fifth of a second of a cold process, in which
     * entries have nothing to serve with. Here it runs while the election does.
     */
    void prefetch() {
        read();
    }

    /** Takes the leadership over: what was read a moment ago is told at once, and the list is read again. */
    void onElected() {
        if (loop.nowMillis() - prefetchedAt < MAX_PREFETCHED_AGE_MILLIS) {
            publish(prefetched);
        }
        readIfLeading();
    }

    /** Reads the list if this replica leads and no reading is under way. */
    void readIfLeading() {
        if (replica.isLeader()) {
            read();
        }
    }

    private void read() {
        if (!readInProgress) {
            readInProgress = true;
            readPage(Optional.empty(), new ArrayList<>(), 1);
        }
    }

    private void readPage(Optional<String> page, List<Upstream> sofar, int number) {
        transport.execute(() -> new PageCall(
                        dialect.path(page),
                        body -> loop.execute(() -> {
                            try {
                                onPage(dialect.page(body), sofar, number);
                            } catch (RadishspurException exception) {
                                onFailure(exception.getMessage());
                            }
                        }))
                .start());
    }

    private void onPage(HostListDialect.Page page, List<Upstream> sofar, int number) {
        sofar.addAll(page.upstreams());
        if (page.next().isPresent() && number < MAX_PAGES) {
            readPage(page.next(), sofar, number + 1);
            return;
        }
        readInProgress = false;
        metrics.recordListRead();
        if (replica.isLeader()) {
            publish(sofar);
        } else {
            prefetched = sofar;
            prefetchedAt = loop.nowMillis();
        }
    }

    private void publish(List<Upstream> sofar) {
        publishedReadings++;
        boolean changed = latest.term() != replica.term() || !latest.upstreams().equals(sofar);
        if (changed) {
            latest = new HostList(replica.term(), publishedReadings, sofar);
            long leaving = sofar.stream().filter(Upstream::leaving).count();
            events.emit(EventCode.HOST_LIST, latest.term(), publishedReadings, sofar.size(), leaving);
        }
    }

    private void onFailure(String cause) {
        readInProgress = false;
        metrics.recordListFailure();
        events.emit(EventCode.LIST_FAILED, cause);
    }

    /**
     * Takes the body of a page, on the transport's thread.
     */
    private interface BodyListener {
        void onBody(String body);
    }

    /**
     * Makes one call, on the transport's thread.
     */
    private final class PageCall implements UpstreamListener {
        private final String path;
        private final BodyListener listener;
        private final ByteBuf body = Unpooled.buffer();
        private UpstreamExchange exchange;
        private ScheduledFuture<?> timeout;
        private HttpResponseStatus status;
        private boolean ended;

        PageCall(String path, BodyListener listener) {
            this.path = path;
            this.listener = listener;
        }

        void start() {
            timeout = transport.schedule(() -> fail("no answer in time"), PAGE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            exchange = connections.open(address.toString(), this);
        }

        /** {@inheritDoc} */
        @Override
        public void onConnected() {
            if (ended) {
                exchange.abort();
                return;
            }
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
            request.headers().set(HttpHeaderNames.HOST, address.toString());
            exchange.write(request);
            exchange.read();
        }

        /** {@inheritDoc} */
        @Override
        public void onConnectFailed() {
            fail("no connection");
        }

        /** {@inheritDoc} */
        @Override
        public void onHead(HttpResponse response) {
            status = response.status();
        }

        /** {@inheritDoc} */
        @Override
        public void onContent(ByteBuf content) {
            body.writeBytes(content);
            content.release();
        }

        /** {@inheritDoc} */
        @Override
        public void onPause() {
            exchange.read();
        }

        /** {@inheritDoc} */
        @Override
        public void onEnd() {
            if (!HttpResponseStatus.OK.equals(status)) {
                fail("status " + status);
            } else if (markEnded()) {
                listener.onBody(body.toString(StandardCharsets.UTF_8));
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onBroken(Throwable cause) {
            fail("broken: " + cause);
        }

        private void fail(String cause) {
            if (markEnded()) {
                exchange.abort();
                loop.execute(() -> onFailure(cause));
            }
        }

        private boolean markEnded() {
            boolean first = !ended;
            ended = true;
            timeout.cancel(false);
            return first;
        }
    }
}
