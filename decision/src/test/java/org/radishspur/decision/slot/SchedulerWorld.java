package org.radishspur.decision.slot;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.radishspur.decision.dispatch.QuotaLedger;
import org.radishspur.decision.dispatch.RetryAfterPolicy;
import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.model.catalogue.Upstream;

/**
 * Plays engines, entries and schedulers in virtual time: what a request needs is drawn from the shares, lengths and spreads of
 * model requests, what becomes of it is decided by the real schedulers.
 */
final class SchedulerWorld {
    private static final long SHARE_MILLIS = 40;
    private static final long LOST_MILLIS = 900;

    /** After this time without a reply an entry asks another scheduler. */
    private static final long REPLY_MILLIS = 150;

    /** How long a caller waits for a slot that was refused before. */
    private static final long LATE_WAIT_MILLIS = 1_200;

    private static final double TOKENS_PER_MILLI = 157;

    /** One plain call in a hundred takes five times as long. */
    private static final double LONG_CALL_SHARE = 0.01;

    private static final double LONG_CALL_FACTOR = 5;

    private final Workload workload;
    private final Random random;
    private final Map<String, Engine> engines = new HashMap<>();
    private final Cell[] cells;
    private final Map<Long, Request> undecided = new HashMap<>();
    private final PriorityQueue<Due> due = new PriorityQueue<>((one, other) -> Long.compare(one.at, other.at));
    private final int[] asked;
    private final int[] onTime;
    private final int[] askedByDomain;
    private final int[] onTimeByDomain;
    private final long[] lastGrantAt;
    private final long[] longestStop;
    private int refused;
    private int refusedTwice;
    private int mostBeyondSlots;
    private long nextId;
    private long now;

    SchedulerWorld(long seed, Workload workload) {
        this.workload = workload;
        random = new Random(seed);
        cells = new Cell[workload.schedulers()];
        asked = new int[workload.tiers().size()];
        onTime = new int[workload.tiers().size()];
        askedByDomain = new int[workload.domains()];
        onTimeByDomain = new int[workload.domains()];
        lastGrantAt = new long[workload.schedulers()];
        longestStop = new long[workload.schedulers()];
        List<Upstream> listed = new ArrayList<>();
        for (int number = 0; number < workload.upstreams(); number++) {
            Upstream upstream = PlayedPools.engine(number, domain(number), workload.slots());
            listed.add(upstream);
            engines.put(
                    upstream.run(),
                    new Engine(number % 3 == 2 ? workload.slowEventMillis() : workload.fastEventMillis()));
        }
        for (int number = 0; number < cells.length; number++) {
            cells[number] = new Cell(number);
            cells[number].pools.upstreams(listed, cells.length);
        }
        for (int entry = 0; entry < workload.entries(); entry++) {
            cells[entry % cells.length].scheduler.attach(name(entry), List.of(), 0);
        }
    }

    private String domain(int number) {
        return "domain-" + number % workload.domains();
    }

    private static String name(int entry) {
        return "entry-" + entry;
    }

    void play(double requestsPerSecond, long millis) {
        for (long end = now + millis; now < end; now++) {
            while (!due.isEmpty() && due.peek().at <= now) {
                due.poll().action.run();
            }
            for (double expected = requestsPerSecond / 1_000; expected > 0; expected--) {
                if (random.nextDouble() < expected) {
                    arrive();
                }
            }
            if (now % SHARE_MILLIS == 0) {
                share();
            }
        }
    }

    /** Takes the upstreams of a failure domain out of service. */
    void evacuate(int number) {
        for (Cell cell : cells) {
            cell.pools.upstreams().evacuate(Set.of(domain(number)), now);
        }
    }

    /** Ends a scheduler; its entries notice when a reply is overdue. */
    void loseScheduler(int number) {
        Cell lost = cells[number];
        lost.lost = true;
        lastGrantAt[number] = now;
        longestStop[number] = 0;
        after(REPLY_MILLIS, () -> moveEntries(number));
        after(LOST_MILLIS, () -> forget(lost));
    }

    private void moveEntries(int number) {
        for (int entry = number; entry < workload.entries(); entry += cells.length) {
            cellOf(entry).scheduler.attach(name(entry), cells[number].scheduler.held(name(entry)), now);
        }
        List.copyOf(undecided.values()).stream()
                .filter(request -> request.cell == cells[number])
                .forEach(this::ask);
    }

    private void forget(Cell lost) {
        for (Cell cell : cells) {
            cell.pools.upstreams().loads().forEach(load -> load.recordPeerInProgress(lost.name, 0));
        }
    }

    private Cell cellOf(int entry) {
        Cell own = cells[entry % cells.length];
        return own.lost ? cells[1 + entry / cells.length % (cells.length - 1)] : own;
    }

    double onTime(int tier) {
        return (double) onTime[tier] / asked[tier];
    }

    /** Returns the share of requests on time of those that came to entries of a failure domain. */
    double onTimeInDomain(int number) {
        return (double) onTimeByDomain[number] / askedByDomain[number];
    }

    double refusedShare() {
        return (double) refused / Arrays.stream(asked).sum();
    }

    double refusedTwiceShare() {
        return (double) refusedTwice / Arrays.stream(asked).sum();
    }

    int mostBeyondSlots() {
        return mostBeyondSlots;
    }

    /** Returns the longest time in which no entry of a failure domain was granted anything. */
    long longestStopMillis(int number) {
        return Math.max(longestStop[number], now - lastGrantAt[number]);
    }

    private void arrive() {
        int tier = workload.tierOf(random.nextDouble());
        asked[tier]++;
        double events = workload.tiers().get(tier).drawEvents(random);
        double tokens = workload.tiers().get(tier).drawTokens(random);
        long estimate = Math.max(1, (long) (events * 4 * Math.exp(random.nextGaussian() * 0.5)));
        Request request = new Request(tier, random.nextInt(workload.entries()), events, (long) tokens, estimate, now);
        askedByDomain[request.entry % workload.domains()]++;
        ask(request);
    }

    private void ask(Request request) {
        undecided.remove(request.id);
        request.id = ++nextId;
        request.cell = cellOf(request.entry);
        undecided.put(request.id, request);
        if (cells[request.entry % cells.length].lost && request.cell.lost) {
            return;
        }
        long left = deadlineOf(request) - now;
        long targetLeft = request.returning ? 0 : targetOf(request) - now;
        long usualWait = workload.tiers().get(request.tier).targetMillis() / 2;
        long waitUntil = request.askedAt + (request.returning ? LATE_WAIT_MILLIS : usualWait);
        request.cell.scheduler.request(
                name(request.entry),
                request.id,
                new SlotRequest(
                        PlayedPools.POOL,
                        domain(request.entry),
                        "",
                        0,
                        0,
                        request.returning,
                        true,
                        Math.max(0, waitUntil - now),
                        Math.max(0, targetLeft),
                        left,
                        new SlotRequest.Work(request.tokens, request.estimate, 0, request.tier, "", 0),
                        List.of()),
                now);
    }

    private long targetOf(Request request) {
        return request.arrivedAt + workload.tiers().get(request.tier).targetMillis();
    }

    private long deadlineOf(Request request) {
        return request.arrivedAt + workload.tiers().get(request.tier).deadlineMillis();
    }

    private void refuse(Request request, long roomAfter) {
        if (request.returning) {
            refusedTwice++;
            return;
        }
        refused++;
        long left = deadlineOf(request) - now;
        long back = RetryAfterPolicy.INSTANCE.spread(left, roomAfter, random.nextDouble());
        request.returning = true;
        request.askedAt = now + back;
        after(back, () -> ask(request));
    }

    private void after(long millis, Runnable action) {
        due.add(new Due(now + millis, action));
    }

    private void share() {
        for (Cell from : cells) {
            for (Cell to : cells) {
                if (from != to && !from.lost && !to.lost) {
                    from.pools
                            .upstreams()
                            .loads()
                            .forEach(load -> to.pools
                                    .upstreams()
                                    .find(load.upstream().run())
                                    .ifPresent(known -> {
                                        known.recordPeerInProgress(from.name, load.own());
                                        known.recordPeerUnread(from.name, load.ownUnreadTokens());
                                        known.recordPeerEventTime(load.ownEventMillis());
                                    }));
                }
            }
        }
        for (Cell cell : cells) {
            if (!cell.lost) {
                cell.scheduler.advance(now);
            }
        }
    }

    /** Holds what a request needs and where it was asked for. */
    private static final class Request {
        private final int tier;
        private final int entry;
        private final double events;
        private final long tokens;
        private final long estimate;
        private final long arrivedAt;
        private long askedAt;
        private boolean returning;
        private long id;
        private Cell cell;

        Request(int tier, int entry, double events, long tokens, long estimate, long arrivedAt) {
            this.tier = tier;
            this.entry = entry;
            this.events = events;
            this.tokens = tokens;
            this.estimate = estimate;
            this.arrivedAt = arrivedAt;
            this.askedAt = arrivedAt;
        }
    }

    /** Holds one scheduler. */
    private final class Cell implements SlotScheduler.Listener {
        private final String name;
        private final PlayedPools pools;
        private final SlotScheduler scheduler;
        private boolean lost;

        Cell(int number) {
            name = "scheduler-" + number;
            pools = new PlayedPools(name, domain(number), workload.slots());
            scheduler = new SlotScheduler(pools, new QuotaLedger(QuotaLedger.Tolerance.NONE), this);
        }

        /** {@inheritDoc} */
        @Override
        public void onReply(String entry, long id, SlotReply reply) {
            if (lost || reply instanceof SlotReply.Queued) {
                return;
            }
            Request request = undecided.remove(id);
            if (reply instanceof SlotReply.Granted granted) {
                int home = request.entry % cells.length;
                longestStop[home] = Math.max(longestStop[home], now - lastGrantAt[home]);
                lastGrantAt[home] = now;
                engines.get(granted.upstream().run()).take(request);
            } else if (reply instanceof SlotReply.Rejected rejected) {
                refuse(request, rejected.retryMillis());
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onAnswer(UpstreamLoad upstream, boolean good) {}

        /** {@inheritDoc} */
        @Override
        public void onEjected(UpstreamLoad upstream, String cause) {}
    }

    /** Runs as many requests as it has slots, in order of arrival, and reads one prompt after the other. */
    private final class Engine {
        private final double eventMillis;
        private final Deque<Request> queue = new ArrayDeque<>();
        private int running;
        private long readingUntil;

        Engine(double eventMillis) {
            this.eventMillis = eventMillis;
        }

        void take(Request request) {
            if (running < workload.slots()) {
                start(request, now);
            } else {
                queue.add(request);
                mostBeyondSlots = Math.max(mostBeyondSlots, queue.size());
            }
        }

        private void start(Request request, long sentAt) {
            running++;
            long read = (long) (request.tokens / TOKENS_PER_MILLI * eventMillis / workload.fastEventMillis());
            readingUntil = Math.max(readingUntil, now) + read;
            long firstAt = readingUntil + (long) (request.events == 0 ? callMillis() : 2 * eventMillis);
            long endsAt = firstAt + (long) (request.events * eventMillis);
            boolean inTime = firstAt <= targetOf(request) && endsAt <= deadlineOf(request);
            onTime[request.tier] += inTime ? 1 : 0;
            onTimeByDomain[request.entry % workload.domains()] += inTime ? 1 : 0;
            after(firstAt - now, () -> report(request, new SlotReport.FirstByte(now - sentAt)));
            after(endsAt - now, () -> end(request, sentAt));
        }

        private double callMillis() {
            double factor = random.nextDouble() < LONG_CALL_SHARE ? LONG_CALL_FACTOR : 1;
            return factor * eventMillis * Math.exp(random.nextGaussian() * 0.5 - 0.125);
        }

        private void end(Request request, long sentAt) {
            running--;
            double pace = request.events == 0 ? now - sentAt : eventMillis;
            report(
                    request,
                    new SlotReport.Ended(
                            SlotOutcome.SUCCESS, now - sentAt, pace, (long) request.events, request.estimate));
            if (!queue.isEmpty()) {
                start(queue.poll(), now);
            }
        }

        private void report(Request request, SlotReport report) {
            cellOf(request.entry).scheduler.report(name(request.entry), request.id, report, now);
        }
    }

    private record Due(long at, Runnable action) {}
}
