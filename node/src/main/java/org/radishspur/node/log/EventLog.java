package org.radishspur.node.log;

import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

/**
 * Writes structured events as JSON, one object per line, without ever blocking the thread that reports them.
 *
 * <p>Under overload, logging every request could cost more than the requests themselves. Events of single requests are
 * therefore limited to a rate, and those beyond it are dropped and counted. Events of the process are dropped only when
 * the queue is full.
 */
public final class EventLog implements AutoCloseable {
    /** Maximum number of lines that wait to be written; about 2 MB. */
    private static final int QUEUE_CAPACITY_LINES = 8_192;

    /** Maximum rate of request events, in lines per second; at 150 bytes a line, less than 0.1 MB/s. */
    private static final int REQUEST_LINES_PER_SECOND = 400;

    /** How long the writer waits for a line before it checks whether lines were dropped, in milliseconds. */
    private static final long POLL_MILLIS = 1_000;

    /** One in this many successful requests is logged, chosen by its id so that all processes log the same ones. */
    private static final int SAMPLING_INTERVAL_REQUESTS = 16;

    private final String node;
    private final PrintStream out;
    private final JsonFactory json = new JsonFactory();
    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);
    private final AtomicLong suppressedLines = new AtomicLong();
    private final AtomicLong currentSecond = new AtomicLong();
    private final AtomicLong requestLinesInSecond = new AtomicLong();
    private final Thread writer;
    private volatile boolean closed;

    /**
     * Creates a log and starts the thread that writes it.
     *
     * @param node the name of the process.
     * @param out where the lines go.
     */
    public EventLog(String node, PrintStream out) {
        this.node = node;
        this.out = out;
        writer = new Thread(this::write, "event-log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Logs an event of the process, unless the queue is full.
     *
     * @param code the event.
     * @param values the values of its fields, in the order of {@link EventCode#fields()}.
     */
    public void emit(EventCode code, Object... values) {
        enqueue(line(code, "", values));
    }

    /**
     * Logs an event of a request, unless the rate limit is exceeded or the queue is full.
     *
     * @param code the event.
     * @param request the caller's id of the request.
     * @param values the values of its fields, in the order of {@link EventCode#fields()}.
     */
    public void emitForRequest(EventCode code, String request, Object... values) {
        if (isWithinRate()) {
            enqueue(line(code, request, values));
        } else {
            suppressedLines.incrementAndGet();
        }
    }

    /**
     * Returns whether a request is in the sample that is logged even if it succeeds.
     *
     * @param request the caller's id of the request.
     * @return whether it is in the sample.
     */
    public boolean isSampled(String request) {
        return Math.floorMod(request.hashCode(), SAMPLING_INTERVAL_REQUESTS) == 0;
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        closed = true;
        writer.interrupt();
        try {
            writer.join(POLL_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean isWithinRate() {
        long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
        if (currentSecond.getAndSet(now) != now) {
            requestLinesInSecond.set(0);
        }
        return requestLinesInSecond.incrementAndGet() <= REQUEST_LINES_PER_SECOND;
    }

    private void enqueue(String text) {
        if (!queue.offer(text)) {
            suppressedLines.incrementAndGet();
        }
    }

    private String line(EventCode code, String request, Object... values) {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = json.createGenerator(text)) {
            generator.writeStartObject();
            generator.writeNumberField("at", System.currentTimeMillis());
            generator.writeStringField("node", node);
            generator.writeStringField("event", code.name());
            if (!request.isEmpty()) {
                generator.writeStringField("request", request);
            }
            for (int index = 0; index < values.length; index++) {
                write(generator, code.fields().get(index), values[index]);
            }
            generator.writeEndObject();
        } catch (IOException exception) {
            throw new java.io.UncheckedIOException(exception);
        }
        return text.toString();
    }

    private static void write(JsonGenerator generator, String field, Object value) throws IOException {
        if (value instanceof Long || value instanceof Integer) {
            generator.writeNumberField(field, ((Number) value).longValue());
        } else if (value instanceof Boolean flag) {
            generator.writeBooleanField(field, flag);
        } else {
            generator.writeStringField(field, String.valueOf(value));
        }
    }

    private void write() {
        while (!closed || !queue.isEmpty()) {
            try {
                String text = closed ? queue.poll() : queue.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
                long dropped = suppressedLines.getAndSet(0);
                if (dropped > 0) {
                    out.println(line(EventCode.SUPPRESSED, "", dropped));
                }
                if (text != null) {
                    out.println(text);
                }
                if (queue.isEmpty()) {
                    out.flush();
                }
            } catch (InterruptedException exception) {
                // Only close() interrupts this thread; lines in the queue are still written.
                closed = true;
            }
        }
    }
}
