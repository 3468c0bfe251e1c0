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
import org.radishspur.node.control.ReplicaRunner;
import org.radishspur.node.dialect.HostListDialect;
import org.radishspur.node.dialect.SkippedEntries;
import org.radishspur.node.fleet.HostList;
import org.radishspur.node.log.EventCode;
import org.radishspur.node.log.EventLog;
import org.radishspur.node.settings.HostPort;
import org.radishspur.node.upstream.RequestIdentity;
import org.radishspur.node.upstream.ResponseEnd;
import org.radishspur.node.upstream.UpstreamCall;
import org.radishspur.node.upstream.UpstreamConnections;
import org.radishspur.node.upstream.UpstreamExchange;
import org.radishspur.node.upstream.UpstreamListener;

/**
 * Reads the platform's host list while this replica leads. All entries share one reader, so that the platform's limit
 * on calls is kept whatever the number of entries. After a change of leadership the new leader reads the list.
 */
final class HostListReader {
    /**
     * The interval between readings, in milliseconds. Together with the polls of the entries it puts a change into
     * effect within a second, a third of the allowed time, at about four calls in three seconds.
     */
    private static final long READ_INTERVAL_MILLIS = 750;

    /** The timeout of the call for one page, in milliseconds. */
    private static final long PAGE_TIMEOUT_MILLIS = 1_200;

    /**
     * The number of pages after which a reading stops, because more are considered a fault; 50 hosts a page make 50,000
     * hosts.
     */
    private static final int MAX_PAGES = 1_000;

    /** The maximum size of a page, in bytes; 20 KB for each of 50 hosts. It bounds the memory for a reading. */
    private static final int MAX_PAGE_BYTES = 1 << 20;

    /** The maximum age at which a list that was read before this replica led is still published, in milliseconds. */
    private static final long MAX_PREFETCHED_AGE_MILLIS = READ_INTERVAL_MILLIS;

    private static final long CONNECT_TIMEOUT_MILLIS = 500;
    private static final long KEEP_ALIVE_MILLIS = 10_000;

    private final ControlLoop loop;
    private final EventLoop transport;
    private final ReplicaRunner replica;
    private final HostListDialect dialect;
    private final HostPort address;
    private final EventLog events;
    private final HostListLog log;
    private final UpstreamConnections connections;
    private HostList latest = HostList.NONE;
    private List<Upstream> prefetched = List.of();
    private long prefetchedAt = Long.MIN_VALUE / 2;
    private long publishedReadings;
    private boolean readInProgress;

    HostListReader(
            ControlLoop loop,
            EventLoop transport,
            ReplicaRunner replica,
            HostListDialect dialect,
            HostPort address,
            EventLog events,
            ControlMetrics metrics) {
        this.loop = loop;
        this.transport = transport;
        this.replica = replica;
        this.dialect = dialect;
        this.address = address;
        this.events = events;
        this.log = new HostListLog(events, metrics, loop::nowMillis);
        this.connections = new UpstreamConnections(transport, CONNECT_TIMEOUT_MILLIS, KEEP_ALIVE_MILLIS);
        loop.repeat(this::readIfLeading, READ_INTERVAL_MILLIS);
    }

    HostList latest() {
        return latest;
    }

    /**
     * Reads the list right after the start, before any leader is known. Shortens the outage after a restart of all
     * control hosts: the first reading takes a newly started process a fifth of a second, during which entries have no
     * upstreams. This way it overlaps with the election.
     */
    void prefetch() {
        read();
    }

    /**
     * Handles the election of this replica as leader: publishes a list that was read just before, and reads the list
     * again.
     */
    void onElected() {
        if (loop.nowMillis() - prefetchedAt < MAX_PREFETCHED_AGE_MILLIS) {
            publish(prefetched);
        }
        readIfLeading();
    }

    /** Reads the list if this replica leads and no reading is in progress. */
    void readIfLeading() {
        if (replica.isLeader()) {
            read();
        }
    }

    private void read() {
        if (!readInProgress) {
            readInProgress = true;
            readPage(Optional.empty(), new Reading(), 1);
        }
    }

    private void readPage(Optional<String> page, Reading reading, int pageNumber) {
        transport.execute(() -> new PageCall(
                        dialect.pagePath(page),
                        body -> loop.execute(() -> {
                            try {
                                onPage(dialect.decodePage(body), reading, pageNumber);
                            } catch (RadishspurException exception) {
                                onFailure(exception.getMessage());
                            }
                        }))
                .start());
    }

    private void onPage(HostListDialect.Page page, Reading reading, int pageNumber) {
        reading.add(page);
        if (page.nextPage().isPresent() && pageNumber < MAX_PAGES) {
            readPage(page.nextPage(), reading, pageNumber + 1);
            return;
        }
        readInProgress = false;
        log.record(reading.skipped);
        if (replica.isLeader()) {
            publish(reading.upstreams);
        } else {
            prefetched = reading.upstreams;
            prefetchedAt = loop.nowMillis();
        }
    }

    private void publish(List<Upstream> upstreams) {
        publishedReadings++;
        boolean changed = latest.term() != replica.term() || !latest.upstreams().equals(upstreams);
        if (changed) {
            latest = new HostList(replica.term(), publishedReadings, upstreams);
            long draining = upstreams.stream().filter(Upstream::draining).count();
            events.emit(EventCode.HOST_LIST, latest.term(), publishedReadings, upstreams.size(), draining);
        }
    }

    private void onFailure(String cause) {
        readInProgress = false;
        log.recordFailure(cause);
    }

    /** What the pages of one reading have given so far. */
    private static final class Reading {
        private final List<Upstream> upstreams = new ArrayList<>();
        private SkippedEntries skipped = SkippedEntries.NONE;

        void add(HostListDialect.Page page) {
            upstreams.addAll(page.upstreams());
            skipped = skipped.plus(page.skipped());
        }
    }

    /**
     * Receives the body of a page, on the transport thread.
     */
    private interface BodyListener {
        void onBody(String body);
    }

    /**
     * Requests one page, on the transport thread.
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
            exchange = connections.open(new UpstreamCall(address.toString(), RequestIdentity.NONE), this);
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
        public void onResponseHead(HttpResponse response) {
            status = response.status();
        }

        /** {@inheritDoc} */
        @Override
        public void onContent(ByteBuf content) {
            if (!ended && body.readableBytes() + content.readableBytes() > MAX_PAGE_BYTES) {
                fail("a page that is too large");
            }
            if (!ended) {
                body.writeBytes(content);
            }
            content.release();
        }

        /** {@inheritDoc} */
        @Override
        public void onReadComplete() {
            exchange.read();
        }

        /** {@inheritDoc} */
        @Override
        public void onResponseComplete(ResponseEnd end) {
            if (!HttpResponseStatus.OK.equals(status)) {
                fail("status " + status);
            } else if (markEnded()) {
                listener.onBody(body.toString(StandardCharsets.UTF_8));
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onConnectionLost(Throwable cause) {
            fail("broken: " + cause);
        }

        private void fail(String cause) {
            if (markEnded()) {
                exchange.abort();
                loop.execute(() -> onFailure(cause));
            }
        }

        /** Marks the call as ended, and returns whether it had not ended before. */
        private boolean markEnded() {
            boolean first = !ended;
            ended = true;
            timeout.cancel(false);
            return first;
        }
    }
}
