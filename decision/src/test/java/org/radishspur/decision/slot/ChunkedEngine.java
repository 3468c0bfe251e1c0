package org.radishspur.decision.slot;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

/**
 * Simulates an engine that reads prompts in chunks, one in each step of the streams that run beside. Each step adds a
 * token to each stream whose prompt is read; an event has several tokens. Now and then the engine is slow for a while.
 *
 * @param <R> the type of requests.
 */
final class ChunkedEngine<R> {
    private static final int TOKENS_PER_EVENT = 4;
    private static final double CHUNK_TOKENS = 1_024;

    /** The time for reading a token as a share of the time of a step. */
    private static final double READING_RATIO = 1 / (38 * 4.6);

    /** The share by which each further stream prolongs a step. */
    private static final double STEP_GROWTH = 0.1;

    private static final double SLOW_FACTOR = 2.5;
    private static final double SLOW_MILLIS = 300;
    private static final double MEAN_USUAL_MILLIS = 15_000;

    private final int slots;
    private final double stepMillis;
    private final Listener<R> listener;
    private final Random random;
    private final Deque<Stream<R>> waiting = new ArrayDeque<>();
    private final List<Stream<R>> running = new ArrayList<>();
    private double stepEndsAt;
    private double nextSlowAt;
    private double chunk;

    ChunkedEngine(int slots, double eventMillis, Random random, Listener<R> listener) {
        this.slots = slots;
        this.stepMillis = eventMillis / TOKENS_PER_EVENT;
        this.random = random;
        this.listener = listener;
        nextSlowAt = random.nextDouble() * MEAN_USUAL_MILLIS;
    }

    /** Accepts a request and returns how many wait inside the engine. */
    int accept(R request, double promptTokens, int events, long now) {
        waiting.add(new Stream<>(request, promptTokens, events, now));
        if (running.isEmpty()) {
            startStep(now);
        }
        return waiting.size();
    }

    /** Completes all steps that end by now. */
    void advance(long now) {
        while (!running.isEmpty() && stepEndsAt <= now) {
            double endedAt = stepEndsAt;
            running.forEach(stream -> stream.advance(endedAt));
            running.stream().filter(stream -> stream.chunk > 0).forEach(Stream::endChunk);
            List.copyOf(running).forEach(stream -> report(stream, endedAt));
            startStep(endedAt);
        }
    }

    private void report(Stream<R> stream, double at) {
        if (stream.firstIsNew) {
            stream.firstIsNew = false;
            listener.onFirstEvent(stream.request, Math.round(at - stream.sentAt));
        }
        if (stream.isComplete()) {
            running.remove(stream);
            listener.onEnd(
                    stream.request,
                    new Timing(
                            Math.round(at - stream.sentAt),
                            (at - stream.firstAt) / Math.max(1, stream.events - 1),
                            Math.round(stream.longestPause)));
        }
    }

    private void startStep(double at) {
        while (running.size() < slots && !waiting.isEmpty()) {
            running.add(waiting.poll());
        }
        chunk = 0;
        running.stream().filter(stream -> stream.unread > 0).findFirst().ifPresent(stream -> {
            stream.chunk = Math.min(CHUNK_TOKENS, stream.unread);
            chunk = stream.chunk;
        });
        stepEndsAt = at + stepMillis * (1 + STEP_GROWTH * (running.size() - 1) + chunk * READING_RATIO) * slowness(at);
    }

    private double slowness(double at) {
        if (at > nextSlowAt + SLOW_MILLIS) {
            nextSlowAt = at - Math.log(1 - random.nextDouble()) * MEAN_USUAL_MILLIS;
        }
        return at >= nextSlowAt ? SLOW_FACTOR : 1;
    }

    /** Receives the answers of an engine. */
    interface Listener<R> {
        void onFirstEvent(R request, long elapsedMillis);

        void onEnd(R request, Timing timing);
    }

    /**
     * Holds the times of a complete stream.
     *
     * @param heldMillis the time from the arrival of the request to the last event, in milliseconds.
     * @param eventMillis the mean time between events, in milliseconds.
     * @param longestPauseMillis the longest time between two events, in milliseconds.
     */
    record Timing(long heldMillis, double eventMillis, long longestPauseMillis) {}

    private static final class Stream<R> {
        private final R request;
        private final int events;
        private final double sentAt;
        private double unread;
        private double chunk;
        private int tokens;
        private boolean firstIsNew;
        private double firstAt;
        private double lastAt;
        private double longestPause;

        Stream(R request, double promptTokens, int events, double sentAt) {
            this.request = request;
            this.unread = promptTokens;
            this.events = events;
            this.sentAt = sentAt;
        }

        void endChunk() {
            unread -= chunk;
            chunk = 0;
        }

        void advance(double at) {
            if (unread > 0 || ++tokens % TOKENS_PER_EVENT > 0) {
                return;
            }
            if (tokens == TOKENS_PER_EVENT) {
                firstIsNew = true;
                firstAt = at;
            } else {
                longestPause = Math.max(longestPause, at - lastAt);
            }
            lastAt = at;
        }

        boolean isComplete() {
            return tokens >= events * TOKENS_PER_EVENT;
        }
    }
}
