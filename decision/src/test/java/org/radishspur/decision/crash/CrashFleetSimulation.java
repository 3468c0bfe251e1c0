package org.radishspur.decision.crash;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Simulates entries that exchange notes through one scheduler, and upstreams that a part of prompts ends, in virtual time.
 */
final class CrashFleetSimulation {
    static final long CRASHING_PART = RequestSignatures.ofPart("crashing");
    static final long EVERYBODY = RequestSignatures.ofPart("everybody");
    private static final String POOL = "pool";
    private static final int UPSTREAMS = 8;
    private static final int SLOTS = 8;
    private static final int SESSIONS = 30;
    private static final int MAX_ATTEMPTS = 2;
    private static final long RESTART_MILLIS = 3_000;
    private static final long MESSAGE_MILLIS = 5;
    private static final double SOUND_INTERVAL_MILLIS = 25;

    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final List<Entry> entries = new ArrayList<>();
    private final List<Upstream> upstreams = new ArrayList<>();
    private final CrashLedger scheduler = new CrashLedger();
    private final double crashingIntervalMillis;
    private final int maxCheckMillis;
    private long now = 1_000_000;
    private long lastNumber;
    private int soundRequests;
    private int soundRefused;
    private final List<Long> crashingRuns = new ArrayList<>();
    private final List<Long> crashingEnds = new ArrayList<>();

    CrashFleetSimulation(long seed, int entryCount, double crashingIntervalMillis) {
        this(seed, entryCount, crashingIntervalMillis, 0);
    }

    /** Creates a fleet as above whose checks whether an upstream has ended take up to a time. */
    CrashFleetSimulation(long seed, int entryCount, double crashingIntervalMillis, int maxCheckMillis) {
        random = new Random(seed);
        this.maxCheckMillis = maxCheckMillis;
        this.crashingIntervalMillis = crashingIntervalMillis;
        for (int number = 0; number < entryCount; number++) {
            entries.add(new Entry(number, entryCount));
        }
        for (int number = 0; number < UPSTREAMS; number++) {
            upstreams.add(new Upstream());
        }
    }

    /** Runs the simulation; requests with the part begin after some time. */
    void run(long seconds, long crashingAfterMillis) {
        long until = now + seconds * 1_000;
        at(now, this::arriveSound);
        at(now + crashingAfterMillis, this::arriveCrashing);
        while (!events.isEmpty() && events.peek().at() <= until) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
    }

    /** Returns when upstreams ended by the part, in milliseconds. */
    List<Long> crashingEnds() {
        return crashingEnds;
    }

    /** Returns when requests with the part reached upstreams, in milliseconds. */
    List<Long> crashingRuns() {
        return crashingRuns;
    }

    /** Returns the share of sound requests that were refused because of a suspect. */
    double soundRefusedShare() {
        return (double) soundRefused / Math.max(1, soundRequests);
    }

    private void at(long time, Runnable action) {
        events.add(new Event(time, ++lastNumber, action));
    }

    private long delay(double meanMillis) {
        return 1 + (long) (-Math.log(1 - random.nextDouble()) * meanMillis);
    }

    private List<Long> soundParts() {
        long session = random.nextInt(SESSIONS);
        return List.of(EVERYBODY, 100 + session % 4, 1_000 + session);
    }

    private void arriveSound() {
        at(now + delay(SOUND_INTERVAL_MILLIS), this::arriveSound);
        soundRequests++;
        randomEntry().arrive(new Request(new RequestSignatures(random.nextLong(), soundParts()), false));
    }

    private void arriveCrashing() {
        at(now + delay(crashingIntervalMillis), this::arriveCrashing);
        List<Long> parts = new ArrayList<>(soundParts());
        parts.add(random.nextInt(parts.size() + 1), CRASHING_PART);
        randomEntry().arrive(new Request(new RequestSignatures(random.nextLong(), parts), true));
    }

    private Entry randomEntry() {
        return entries.get(random.nextInt(entries.size()));
    }

    private record Event(long at, long number, Runnable action) {}

    private static final class Request {
        private final RequestSignatures signatures;
        private final boolean crashing;
        private int attempts;
        private boolean trial;

        Request(RequestSignatures signatures, boolean crashing) {
            this.signatures = signatures;
            this.crashing = crashing;
        }
    }

    /** An upstream that is started again under another run after its end. */
    private final class Upstream {
        private final Map<Request, Entry> inFlight = new HashMap<>();
        private int run = random.nextInt();
        private boolean running = true;

        void start(Request request, Entry entry) {
            inFlight.put(request, entry);
            int startedRun = run;
            if (request.crashing) {
                crashingRuns.add(now);
                at(now + 60 + random.nextInt(70), () -> crash(startedRun));
            } else {
                at(now + 100 + random.nextInt(800), () -> {
                    if (running && run == startedRun && inFlight.remove(request) != null) {
                        entry.onAnswer(request);
                    }
                });
            }
        }

        private void crash(int startedRun) {
            if (!running || run != startedRun) {
                return;
            }
            running = false;
            crashingEnds.add(now);
            long checkMillis = maxCheckMillis == 0 ? 0 : random.nextInt(maxCheckMillis);
            inFlight.forEach((request, entry) ->
                    at(now + 2 + random.nextInt(5), () -> entry.onLoss(request, startedRun, checkMillis)));
            inFlight.clear();
            at(now + RESTART_MILLIS, () -> {
                run = random.nextInt();
                running = true;
            });
        }
    }

    /** An entry that decides by its own ledger. */
    private final class Entry {
        private final CrashLedger ledger = new CrashLedger();
        private final CrashGuard guard;
        private long published;
        private long received;

        Entry(int number, int entryCount) {
            guard = new CrashGuard(ledger, number * 7_919L);
            guard.setProcesses(entryCount);
        }

        void arrive(Request request) {
            at(now + MESSAGE_MILLIS, () -> dispatch(request));
        }

        private void dispatch(Request request) {
            CrashLedger.Changes changes = scheduler.changesSince(received, now);
            received = changes.position();
            if (guard.merge(changes.notes(), now)) {
                publish();
            }
            Admission admission = guard.admit(request.signatures, now);
            if (admission.isRefused()) {
                soundRefused += request.crashing ? 0 : 1;
                return;
            }
            upstreams.stream()
                    .filter(upstream -> upstream.running && upstream.inFlight.size() < SLOTS)
                    .min(Comparator.comparingInt(upstream -> upstream.inFlight.size()))
                    .ifPresent(upstream -> {
                        if (admission.verdict() == Admission.Verdict.TRIAL) {
                            request.trial = true;
                            guard.beginTrial(request.signatures, now);
                        }
                        request.attempts++;
                        upstream.start(request, this);
                    });
        }

        private void onAnswer(Request request) {
            endTrial(request);
            guard.recordAnswer(request.signatures.parts(), POOL, now);
            guard.clear(request.signatures);
            publish();
        }

        private void onLoss(Request request, int run, long checkMillis) {
            endTrial(request);
            if (checkMillis == 0) {
                onCrash(request, run);
            } else {
                guard.beginCheck(request.signatures, run);
                at(now + checkMillis, () -> {
                    guard.endCheck(run);
                    onCrash(request, run);
                });
            }
        }

        private void onCrash(Request request, int run) {
            guard.recordCrash(request.signatures, POOL, run, now);
            publish();
            if (request.attempts < MAX_ATTEMPTS && guard.mayRetry(request.signatures, now)) {
                dispatch(request);
            }
        }

        private void endTrial(Request request) {
            if (request.trial) {
                request.trial = false;
                guard.endTrial(request.signatures);
            }
        }

        private void publish() {
            CrashLedger.Changes changes = ledger.changesSince(published, now);
            published = changes.position();
            at(now + MESSAGE_MILLIS, () -> scheduler.merge(changes.notes(), now));
        }
    }
}
