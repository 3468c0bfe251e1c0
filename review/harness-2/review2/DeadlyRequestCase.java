package review2;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReferenceArray;

/** One caller of a quiet service repeats a request that crashes each worker that begins to run it. */
final class DeadlyRequestCase {
    private static final String HOST = "shop.example";
    private static final String SERVICE = "review-api";
    private static final byte[] BODY = "the same body each time".getBytes(StandardCharsets.UTF_8);
    private static final int WORKERS = 4;
    private static final int ENTRIES = 5;
    private static final long BACK_AFTER_MILLIS = 2_000;
    private static final long REPEAT_MILLIS = 300;
    private static final long DURATION_MILLIS = 95_000;
    private static final int COUNTED_CRASHES = 3;
    private static final long STABILITY_WINDOW_MILLIS = 3_000;
    private static final int ALLOWED_RETRIES = 3;

    private final Record record;
    private final boolean trouble;
    private final AtomicReferenceArray<Worker> workers = new AtomicReferenceArray<>(WORKERS);
    private final AtomicInteger started = new AtomicInteger();
    private final Map<String, Long> sentAt = new ConcurrentHashMap<>();
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger lateRuns = new AtomicInteger();
    private volatile long thirdCrashAt = Long.MAX_VALUE / 2;
    private volatile boolean stopped;

    private DeadlyRequestCase(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    static int run(Path repository, Record record, boolean trouble) throws Exception {
        return new DeadlyRequestCase(record, trouble).run(repository);
    }

    private int run(Path repository) throws Exception {
        try (Deployment system = new Deployment(repository, ENTRIES);
                Platform platform = new Platform(system.standInIp(), this::entries)) {
            for (int slot = 0; slot < WORKERS; slot++) {
                startWorker(system.standInIp(), slot);
            }
            system.start(platform.address(), List.of());
            publish(new Operator(system.controls(), record));
            if (!system.awaitReady(20_000)) {
                return 2;
            }
            Thread.sleep(1_000);
            long until = record.millis() + DURATION_MILLIS;
            for (int number = 0; record.millis() < until; number++) {
                ask(system.entry(number % ENTRIES), "request-" + number);
                Thread.sleep(REPEAT_MILLIS);
            }
            record.line("%d crashes; the request reached workers %d times that was sent over %d ms after its third crash, %d are allowed",
                    crashes.get(), lateRuns.get(), STABILITY_WINDOW_MILLIS, ALLOWED_RETRIES);
            return lateRuns.get() > ALLOWED_RETRIES ? 1 : 0;
        } finally {
            stopped = true;
            for (int slot = 0; slot < WORKERS; slot++) {
                workers.get(slot).close();
            }
        }
    }

    private void startWorker(String ip, int slot) throws IOException {
        String id = "i-" + started.incrementAndGet();
        workers.set(slot, new Worker(ip, id, "v1", 6, running -> 20, (worker, request, failed) -> onRun(ip, slot, worker, request)));
        record.line("%s runs", id);
    }

    private void onRun(String ip, int slot, Worker worker, Http.Message request) {
        long now = record.millis();
        String id = request.header("X-Request-Id");
        record.line("run %s at %s", id, worker.id());
        if (!trouble) {
            return;
        }
        if (sentAt.get(id) > thirdCrashAt + STABILITY_WINDOW_MILLIS) {
            lateRuns.incrementAndGet();
        }
        if (crashes.incrementAndGet() == COUNTED_CRASHES) {
            thirdCrashAt = now;
        }
        record.line("%s crashes", worker.id());
        try {
            worker.close();
        } catch (IOException exception) {
            record.line("can't close: %s", exception);
        }
        Thread back = new Thread(() -> comeBack(ip, slot), "back");
        back.setDaemon(true);
        back.start();
    }

    private void comeBack(String ip, int slot) {
        try {
            Thread.sleep(BACK_AFTER_MILLIS);
            if (!stopped) {
                startWorker(ip, slot);
            }
        } catch (InterruptedException | IOException exception) {
            record.line("a worker didn't come back: %s", exception);
        }
    }

    private void ask(String entry, String id) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("X-Request-Id", id);
        headers.put("X-Deadline-Ms", "2500");
        sentAt.put(id, record.millis());
        try {
            record.line("answer %s status %d", id, Http.send(entry, "POST", "/file/1", headers, BODY, 3_000).status());
        } catch (IOException exception) {
            record.line("answer %s none: %s", id, exception);
        }
    }

    private static void publish(Operator operator) throws InterruptedException {
        String manifest = "{\"version\":3,\"routes\":[{\"name\":\"file\",\"host\":\"" + HOST
                + "\",\"pathPrefix\":\"/file/\",\"kind\":\"unsafe\",\"timeoutMs\":2500,\"targetLatencyMs\":193,\"priority\":2,"
                + "\"service\":\"" + SERVICE + "\",\"maxAttempts\":1,\"public\":true}],"
                + "\"services\":[{\"name\":\"" + SERVICE + "\",\"healthPath\":\"/health\",\"maxConns\":110,"
                + "\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
        if (operator.call("PUT", "/config", manifest).status() != 200) {
            throw new IllegalStateException("the manifest was refused");
        }
    }

    private List<String> entries() {
        List<String> entries = new ArrayList<>();
        for (int slot = 0; slot < WORKERS; slot++) {
            entries.add(workers.get(slot).listEntry(SERVICE, Deployment.ZONES[slot % Deployment.ZONES.length], "ready"));
        }
        return entries;
    }
}
