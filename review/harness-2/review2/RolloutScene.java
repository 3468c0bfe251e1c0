package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/** A small deployment with an even load on one service, whose versions an operator rolls out. */
final class RolloutScene implements AutoCloseable {
    static final long PERIOD_MILLIS = 12_000;
    static final String SECOND_ROUTE = "/look/";
    static final long WORK_MILLIS = 40;
    private static final String HOST = "shop.example";
    private static final String SERVICE = "review-api";
    private static final int ENTRIES = 3;
    private static final int WORKERS_PER_VERSION = 3;
    private static final int SLOTS = 6;
    private static final int PER_SECOND = 190;

    /** Every so many requests, one is on the second route. */
    private static final int SECOND_ROUTE_EVERY = 6;

    private static final double EXPOSE_SHARE = 0.1;
    private static final int EXPOSURE_SLACK = 50;

    private final Record record;
    private final Deployment system;
    private final Platform platform;
    private final Operator operator;
    private final List<Listed> listed = new CopyOnWriteArrayList<>();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<Integer, AtomicInteger> answers = new ConcurrentHashMap<>();
    private final AtomicInteger lastRequest = new AtomicInteger();
    private volatile long orderedAt = Long.MAX_VALUE;
    private volatile boolean stopped;

    RolloutScene(Path repository, Record record) throws IOException {
        this.record = record;
        system = new Deployment(repository, ENTRIES);
        platform = new Platform(system.standInIp(), this::entries);
        operator = new Operator(system.controls(), record);
    }

    /** Starts the system before workers of version v1, and the load; returns whether it serves. */
    boolean start() throws Exception {
        addWorkers("v1", running -> WORK_MILLIS);
        system.start(platform.address(), List.of());
        publish();
        if (!system.awaitReady(20_000)) {
            return false;
        }
        Thread load = new Thread(this::load, "load");
        load.setDaemon(true);
        load.start();
        Thread.sleep(6_000);
        return true;
    }

    /** Orders a version, whose workers start alongside the others; the first order begins the count. */
    void order(String target, Worker.Behaviour behaviour) throws Exception {
        String body = "{\"service\":\"" + SERVICE + "\",\"target\":\"" + target + "\",\"periodS\":" + PERIOD_MILLIS / 1_000 + '}';
        long now = record.millis();
        if (operator.call("POST", "/rollouts", body).status() != 200) {
            throw new IllegalStateException("the order of " + target + " was refused");
        }
        record.line("ordered %s", target);
        orderedAt = Math.min(orderedAt, now);
        addWorkers(target, behaviour);
    }

    /** Waits until the latest rollout has ended, and returns its state; the state is running after the deadline. */
    String awaitEnd() throws Exception {
        while (record.millis() < orderedAt + PERIOD_MILLIS) {
            String answer = operator.call("GET", "/rollouts/" + SERVICE, "").text();
            for (String state : List.of("rolled_back", "completed")) {
                if (answer.contains(state)) {
                    record.line("%s after %d ms; requests run since the order: %s", state, record.millis() - orderedAt, runs);
                    return state;
                }
            }
            Thread.sleep(200);
        }
        return "running";
    }

    void awaitDeadline() throws InterruptedException {
        Thread.sleep(Math.max(0, orderedAt + PERIOD_MILLIS - record.millis()) + 200);
    }

    void setDraining(String version) {
        record.line("%s is draining", version);
        listed.stream().filter(each -> each.worker.version().equals(version)).forEach(each -> each.state = "draining");
    }

    /** Ends the workers of a version, as the platform does with the old ones of a completed rollout. */
    void stop(String version) throws IOException {
        for (Listed each : listed) {
            if (each.worker.version().equals(version)) {
                listed.remove(each);
                each.worker.close();
            }
        }
        record.line("%s has stopped", version);
    }

    /** Returns whether a bad version got more requests between its order and its deadline than the rule allows. */
    boolean isExposed(String version) {
        int all = runs.values().stream().mapToInt(AtomicInteger::get).sum();
        int bad = runs.getOrDefault(version, new AtomicInteger()).get();
        double allowed = all * EXPOSE_SHARE + EXPOSURE_SLACK;
        record.line("%d of %d requests reached %s between its order and its deadline, %.0f are allowed; by version %s; answers %s",
                bad, all, version, allowed, new TreeMap<>(runs), answers);
        return bad > allowed;
    }

    private void addWorkers(String version, Worker.Behaviour behaviour) throws IOException {
        for (int number = 0; number < WORKERS_PER_VERSION; number++) {
            Worker worker = new Worker(system.standInIp(), version + '-' + number, version, SLOTS, behaviour, this::onRun);
            listed.add(new Listed(worker, Deployment.ZONES[number]));
        }
    }

    private void onRun(Worker worker, Http.Message request, boolean failed) {
        long now = record.millis();
        record.line("run %s at %s%s", request.header("X-Request-Id"), worker.version(), failed ? " fails" : "");
        if (now >= orderedAt && now < orderedAt + PERIOD_MILLIS) {
            runs.computeIfAbsent(worker.version(), key -> new AtomicInteger()).incrementAndGet();
        }
    }

    private void load() {
        ExecutorService clients = Executors.newCachedThreadPool(action -> {
            Thread thread = new Thread(null, action, "client", 256 << 10);
            thread.setDaemon(true);
            return thread;
        });
        long nanos = System.nanoTime();
        while (!stopped) {
            nanos += 1_000_000_000L / PER_SECOND;
            LockSupport.parkNanos(nanos - System.nanoTime());
            int number = lastRequest.incrementAndGet();
            String path = number % SECOND_ROUTE_EVERY == 0 ? SECOND_ROUTE : "/file/";
            clients.execute(() -> ask(system.entry(number / SECOND_ROUTE_EVERY % ENTRIES), path + number, "request-" + number));
        }
    }

    private void ask(String entry, String path, String id) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("X-Request-Id", id);
        headers.put("X-Deadline-Ms", "3000");
        try {
            int status = Http.send(entry, "POST", path, headers, new byte[] {'x'}, 4_000).status();
            answers.computeIfAbsent(status, key -> new AtomicInteger()).incrementAndGet();
            if (status != 200) {
                record.line("answer %s status %d", id, status);
            }
        } catch (IOException exception) {
            if (!stopped) {
                record.line("answer %s none: %s", id, exception);
            }
        }
    }

    private void publish() throws InterruptedException {
        String manifest = "{\"version\":3,\"routes\":[" + route("file") + ',' + route("look") + "],"
                + "\"services\":[{\"name\":\"" + SERVICE + "\",\"healthPath\":\"/health\",\"maxConns\":110,"
                + "\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
        if (operator.call("PUT", "/config", manifest).status() != 200) {
            throw new IllegalStateException("the manifest was refused");
        }
    }

    private static String route(String name) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/" + name
                + "/\",\"kind\":\"unsafe\",\"timeoutMs\":3000,\"targetLatencyMs\":386,\"priority\":2,\"service\":\"" + SERVICE
                + "\",\"maxAttempts\":1,\"public\":true}";
    }

    private List<String> entries() {
        return listed.stream().map(each -> each.worker.listEntry(SERVICE, each.zone, each.state)).toList();
    }

    @Override
    public void close() throws IOException {
        stopped = true;
        system.close();
        platform.close();
        for (Listed each : listed) {
            each.worker.close();
        }
    }

    /** A worker in the platform's list. */
    private static final class Listed {
        private final Worker worker;
        private final String zone;
        private volatile String state = "ready";

        Listed(Worker worker, String zone) {
            this.worker = worker;
            this.zone = zone;
        }
    }
}
