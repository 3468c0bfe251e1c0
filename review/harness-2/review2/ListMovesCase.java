package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** The platform's list moves to another address, which the settings files state, and a worker is emptied after that. */
final class ListMovesCase {
    private static final String HOST = "shop.example";
    private static final String SERVICE = "review-api";
    private static final int WORKERS = 3;
    private static final int ENTRIES = 3;
    private static final long OLD_LIST_STAYS_MILLIS = 5_000;
    private static final long DRAIN_MILLIS = 3_000;
    private static final long LINGER_MILLIS = 8_000;
    private static final long REQUEST_INTERVAL_MILLIS = 20;

    private final Record record;
    private final boolean trouble;
    private final List<Worker> workers = new CopyOnWriteArrayList<>();
    private final Map<Worker, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final AtomicInteger lateRuns = new AtomicInteger();
    private volatile Worker drainingWorker;
    private volatile long drainingSince = Long.MAX_VALUE;
    private volatile boolean stopped;

    private ListMovesCase(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    static int run(Path repository, Record record, boolean trouble) throws Exception {
        return new ListMovesCase(record, trouble).run(repository);
    }

    private int run(Path repository) throws Exception {
        try (Deployment system = new Deployment(repository, ENTRIES);
                Platform first = new Platform(system.standInIp(), this::entries);
                Platform second = new Platform(system.standInIp(), this::entries)) {
            for (int number = 0; number < WORKERS; number++) {
                Worker worker = new Worker(system.standInIp(), "i-" + number, "v1", 6, running -> 20, this::onRun);
                runs.put(worker, new AtomicInteger());
                workers.add(worker);
            }
            system.start(first.address(), List.of());
            publish(new Operator(system.controls(), record));
            if (!system.awaitReady(20_000)) {
                return 2;
            }
            Thread load = new Thread(() -> load(system), "load");
            load.setDaemon(true);
            load.start();
            Thread.sleep(3_000);
            if (trouble) {
                record.line("the list moves from %s to %s; all processes get SIGHUP", first.address(), second.address());
                system.changeSetting("cloud.address", second.address());
            }
            Thread.sleep(OLD_LIST_STAYS_MILLIS);
            if (trouble) {
                record.line("the old address of the list ends");
                first.close();
            }
            Thread.sleep(1_000);
            Worker busiest = Collections.max(workers, Comparator.comparingInt(worker -> runs.get(worker).get()));
            drainingSince = record.millis();
            drainingWorker = busiest;
            record.line("%s is draining from now on, and works for %d ms more", busiest.id(), LINGER_MILLIS);
            Thread.sleep(LINGER_MILLIS);
            record.line("%d requests reached %s later than %d ms after the list showed it as draining",
                    lateRuns.get(), busiest.id(), DRAIN_MILLIS);
            return lateRuns.get() > 0 ? 1 : 0;
        } finally {
            stopped = true;
            for (Worker worker : workers) {
                worker.close();
            }
        }
    }

    private void onRun(Worker worker, Http.Message request, boolean failed) {
        long now = record.millis();
        runs.get(worker).incrementAndGet();
        boolean late = worker == drainingWorker && now > drainingSince + DRAIN_MILLIS;
        record.line("run %s at %s%s", request.header("X-Request-Id"), worker.id(), late ? " too late" : "");
        if (late) {
            lateRuns.incrementAndGet();
        }
    }

    private void load(Deployment system) {
        for (int number = 0; !stopped; number++) {
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Host", HOST);
            headers.put("X-Request-Id", "request-" + number);
            headers.put("X-Deadline-Ms", "2500");
            try {
                int status = Http.send(system.entry(number % ENTRIES), "GET", "/read/1", headers, new byte[0], 3_000).status();
                record.line("answer request-%d status %d", number, status);
                Thread.sleep(REQUEST_INTERVAL_MILLIS);
            } catch (IOException exception) {
                record.line("answer request-%d none: %s", number, exception);
            } catch (InterruptedException exception) {
                return;
            }
        }
    }

    private static void publish(Operator operator) throws InterruptedException {
        String manifest = "{\"version\":3,\"routes\":[{\"name\":\"read\",\"host\":\"" + HOST
                + "\",\"pathPrefix\":\"/read/\",\"kind\":\"safe\",\"timeoutMs\":2500,\"targetLatencyMs\":193,\"priority\":2,"
                + "\"service\":\"" + SERVICE + "\",\"maxAttempts\":2,\"public\":true}],"
                + "\"services\":[{\"name\":\"" + SERVICE + "\",\"healthPath\":\"/health\",\"maxConns\":110,"
                + "\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
        if (operator.call("PUT", "/config", manifest).status() != 200) {
            throw new IllegalStateException("the manifest was refused");
        }
    }

    private List<String> entries() {
        List<String> entries = new ArrayList<>();
        for (Worker worker : workers) {
            String state = worker == drainingWorker ? "draining" : "ready";
            entries.add(worker.listEntry(SERVICE, Deployment.ZONES[entries.size() % Deployment.ZONES.length], state));
        }
        return entries;
    }
}
