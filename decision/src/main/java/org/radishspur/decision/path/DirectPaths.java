package org.radishspur.decision.path;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks what the direct connections of one host to upstreams show, and decides which paths are broken.
 *
 * <p>One upstream that fails says nothing about the host's own links. The host counts as cut off while at least two
 * upstreams fail, and more of them fail than answer from the same time on. Then the upstreams of which nothing is known
 * count as unreachable too. While it isn't cut off, no path counts as broken. A broken path is tried again by one
 * request at a time.
 */
public final class DirectPaths {
    /** The time without any byte on all direct connections after which unanswered upstreams fail, in milliseconds. */
    static final long SILENCE_MILLIS = 600;

    /**
     * The time without a byte from an upstream after which it fails although others answer, in milliseconds. It is
     * longer than the silence of a second or so that a sound upstream may show.
     */
    static final long PARTIAL_SILENCE_MILLIS = 1_500;

    /** The time for which a failure counts unless another one renews it, in milliseconds. */
    static final long FAILURE_MILLIS = 3_000;

    /**
     * The time after the first failures in which other upstreams may answer before the host counts as cut off, in
     * milliseconds. Upstreams that end together must not look like a cut.
     */
    static final long CONFIRMATION_MILLIS = 150;

    /** The time between two trials of broken paths while they fail, in milliseconds. */
    static final long TRIAL_INTERVAL_MILLIS = 1_000;

    /** The time without a trial after which a request that can't be sent again is the next trial, in milliseconds. */
    static final long MAX_TRIAL_DELAY_MILLIS = 2_500;

    /** The number of upstreams that have to fail. */
    private static final int MIN_FAILED = 2;

    private static final long NEVER = Long.MIN_VALUE / 2;

    /** A time before {@link #NEVER}, so that an upstream that never answered counts as not answering since a failure. */
    private static final long BEFORE_ALL = Long.MIN_VALUE;

    private final Map<String, Path> paths = new HashMap<>();
    private final Set<String> ended = new HashSet<>();
    private long latestFailureAt = NEVER;
    private String trialUpstream = "";
    private long lastTrialAt = NEVER;
    private boolean lastTrialAnswered = true;

    /**
     * Records that a request was sent on a direct connection.
     *
     * @param upstream the address of the upstream.
     * @param now the current time in milliseconds.
     */
    public void recordSent(String upstream, long now) {
        Path path = pathTo(upstream);
        if (path.unanswered++ == 0) {
            path.waitingSince = now;
        }
    }

    /**
     * Records that bytes of a response were received on a direct connection.
     *
     * @param upstream the address of the upstream.
     * @param now the current time in milliseconds.
     */
    public void recordBytes(String upstream, long now) {
        if (upstream.equals(trialUpstream)) {
            trialUpstream = "";
            lastTrialAnswered = true;
        }
        ended.remove(upstream);
        Path path = pathTo(upstream);
        path.answeredAt = now;
        path.waitingSince = now;
        path.silentUntil = NEVER;
        path.loss.clear();
    }

    /**
     * Records that a request on a direct connection has ended in any way.
     *
     * @param upstream the address of the upstream.
     * @param now the current time in milliseconds.
     */
    public void recordEnded(String upstream, long now) {
        Path path = pathTo(upstream);
        // An attempt that was given up for its silence is evidence for some time after its end, as other failures are:
        // a host with one request at a time has no two upstreams that are silent at the same moment.
        if (path.isWaiting(SILENCE_MILLIS, now)) {
            path.silentMillis = now - path.waitingSince;
            path.silentUntil = now + FAILURE_MILLIS;
        }
        path.unanswered = Math.max(0, path.unanswered - 1);
    }

    /**
     * Records that an established direct connection was lost while a request was on it.
     *
     * @param upstream the address of the upstream.
     * @param now the current time in milliseconds.
     */
    public void recordLoss(String upstream, long now) {
        if (!ended.contains(upstream)) {
            pathTo(upstream).loss.record(now);
            latestFailureAt = now;
        }
        endFailedTrial(upstream, now);
    }

    /**
     * Records that a direct connection could not be established.
     *
     * @param upstream the address of the upstream.
     * @param now the current time in milliseconds.
     */
    public void recordConnectFailure(String upstream, long now) {
        if (!ended.contains(upstream)) {
            pathTo(upstream).connectFailure.record(now);
            latestFailureAt = now;
        }
        endFailedTrial(upstream, now);
    }

    /** Renews what is known of all broken paths when the trial of one of them has failed. */
    private void endFailedTrial(String upstream, long now) {
        if (!upstream.equals(trialUpstream)) {
            return;
        }
        trialUpstream = "";
        if (isCutOff(now)) {
            paths.values().forEach(path -> {
                path.loss.renew(now);
                path.connectFailure.renew(now);
            });
        }
    }

    /**
     * Records that a direct connection was established. It shows that new connections work, not that they carry data.
     *
     * @param upstream the address of the upstream.
     */
    public void recordConnected(String upstream) {
        pathTo(upstream).connectFailure.clear();
    }

    /**
     * Records that another host can't reach an upstream either, so that its failures are its own.
     *
     * @param upstream the address of the upstream.
     */
    public void recordUpstreamDown(String upstream) {
        paths.remove(upstream);
    }

    /**
     * Records that an upstream has ended by what it ran, so that its failures show nothing about the links of this host
     * until it answers again or has left the host list.
     *
     * @param upstream the address of the upstream.
     */
    public void recordEnd(String upstream) {
        paths.remove(upstream);
        ended.add(upstream);
    }

    /**
     * Forgets all upstreams but the given ones.
     *
     * @param upstreams the addresses of the upstreams in the host list.
     */
    public void retain(Collection<String> upstreams) {
        paths.keySet().retainAll(Set.copyOf(upstreams));
        ended.retainAll(Set.copyOf(upstreams));
    }

    /**
     * Finds upstreams that have fallen silent together, and counts them as failed.
     *
     * @param now the current time in milliseconds.
     * @return their addresses.
     */
    public Set<String> findSilent(long now) {
        Path trial = paths.getOrDefault(trialUpstream, Path.UNKNOWN);
        // Requests from before the trial may still wait on the same path.
        if (trial.isSilent(SILENCE_MILLIS, now) && now - lastTrialAt > SILENCE_MILLIS) {
            recordLoss(trialUpstream, now);
        }
        boolean anyAnswered = paths.values().stream().anyMatch(path -> now - path.answeredAt <= SILENCE_MILLIS);
        long limit = anyAnswered ? PARTIAL_SILENCE_MILLIS : SILENCE_MILLIS;
        Set<String> silent = new HashSet<>();
        paths.forEach((upstream, path) -> {
            if (path.isSilent(limit, now)) {
                silent.add(upstream);
            }
        });
        if (silent.size() < MIN_FAILED) {
            return Set.of();
        }
        silent.forEach(upstream -> pathTo(upstream).loss.record(now));
        latestFailureAt = now;
        return silent;
    }

    /**
     * Returns whether a kept direct connection to an upstream should not be used.
     *
     * @param upstream the address of the upstream.
     * @param now the current time in milliseconds.
     * @return whether the path is broken for established connections.
     */
    public boolean isBroken(String upstream, long now) {
        long since = cutOffSince(now, Path::lostSince);
        Path path = paths.getOrDefault(upstream, Path.UNKNOWN);
        return since > BEFORE_ALL && (path.loss.isRecent(now) || path.answeredAt <= since);
    }

    /**
     * Returns whether no new direct connection to an upstream should be made.
     *
     * @param upstream the address of the upstream.
     * @param now the current time in milliseconds.
     * @return whether the path is broken for new connections.
     */
    public boolean isBrokenForNew(String upstream, long now) {
        long since = cutOffSince(now, Path::failedSince);
        Path path = paths.getOrDefault(upstream, Path.UNKNOWN);
        return since > BEFORE_ALL && (path.isBroken(now) || path.answeredAt <= since);
    }

    /**
     * Returns whether this host is cut off from upstreams.
     *
     * @param now the current time in milliseconds.
     * @return whether it is.
     */
    public boolean isCutOff(long now) {
        return cutOffSince(now, Path::failedSince) > BEFORE_ALL;
    }

    /**
     * Returns the first failure from which on enough upstreams have failed and fewer have answered, or a time before all
     * others if there is none.
     */
    private long cutOffSince(long now, FailureTime failedSince) {
        if (now - latestFailureAt >= FAILURE_MILLIS) {
            return BEFORE_ALL;
        }
        List<Path> failed = paths.values().stream()
                .filter(path -> failedSince.of(path, now) > BEFORE_ALL)
                .sorted(Comparator.comparingLong(path -> failedSince.of(path, now)))
                .toList();
        for (int index = 0; index <= failed.size() - MIN_FAILED; index++) {
            long from = failedSince.of(failed.get(index), now);
            long answers = paths.values().stream()
                    .filter(path -> path.answeredAt > from && !failed.contains(path))
                    .count();
            if (now - from >= CONFIRMATION_MILLIS && failed.size() - index > answers) {
                return from;
            }
        }
        return BEFORE_ALL;
    }

    /**
     * Returns whether a request should try a broken path, and notes the trial if so. The next trial is due at once after
     * one that was answered, and otherwise some time later.
     *
     * @param upstream the address of the upstream.
     * @param repeatable whether the request may be sent again; a trial that fails may have run it. Any other request is a
     *     trial only if there was none for a longer time since this host is cut off.
     * @param now the current time in milliseconds.
     * @return whether to try.
     */
    public boolean takeTrial(String upstream, boolean repeatable, long now) {
        boolean due = repeatable
                ? lastTrialAnswered || now - lastTrialAt >= TRIAL_INTERVAL_MILLIS
                : now - Math.max(lastTrialAt, cutOffSince(now, Path::failedSince)) >= MAX_TRIAL_DELAY_MILLIS;
        if (due) {
            trialUpstream = upstream;
            lastTrialAt = now;
            lastTrialAnswered = false;
        }
        return due;
    }

    private Path pathTo(String upstream) {
        return paths.computeIfAbsent(upstream, key -> new Path());
    }

    /** Returns since when a path has failed in some way. */
    private interface FailureTime {
        long of(Path path, long now);
    }

    /** Holds what the direct connections to one upstream show. */
    private static final class Path {
        private static final Path UNKNOWN = new Path();

        private int unanswered;
        private long waitingSince = NEVER;
        private long answeredAt = NEVER;
        private final Failure loss = new Failure();
        private final Failure connectFailure = new Failure();
        private long silentMillis;
        private long silentUntil = NEVER;

        boolean isBroken(long now) {
            return loss.isRecent(now) || connectFailure.isRecent(now);
        }

        boolean isSilent(long limit, long now) {
            return isWaiting(limit, now) || now < silentUntil && silentMillis > limit;
        }

        boolean isWaiting(long limit, long now) {
            return unanswered > 0 && now - waitingSince > limit;
        }

        /** Returns since when established connections have failed, or a time before all others if they have not. */
        long lostSince(long now) {
            return loss.isRecent(now) ? loss.since : BEFORE_ALL;
        }

        /** Returns since when connections of any kind have failed, or a time before all others if they have not. */
        long failedSince(long now) {
            long connectFailedSince = connectFailure.isRecent(now) ? connectFailure.since : BEFORE_ALL;
            return loss.isRecent(now) && connectFailure.isRecent(now)
                    ? Math.min(loss.since, connectFailedSince)
                    : Math.max(lostSince(now), connectFailedSince);
        }
    }

    /** Holds the first and the latest of several failures of one kind. */
    private static final class Failure {
        private long since = NEVER;
        private long latestAt = NEVER;

        void record(long now) {
            since = isRecent(now) ? since : now;
            latestAt = now;
        }

        void renew(long now) {
            latestAt = isRecent(now) ? now : latestAt;
        }

        void clear() {
            since = NEVER;
            latestAt = NEVER;
        }

        boolean isRecent(long now) {
            return now - latestAt < FAILURE_MILLIS;
        }
    }
}
