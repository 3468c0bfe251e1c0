package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A manifest adds a route of much lower rank to a service that is hardly used. */
final class AddedRouteCase {
    private static final String HOST = "shop.example";
    private static final String SERVICE = "review-api";
    private static final int WORKERS = 3;
    private static final int ENTRIES = 2;
    private static final int LOW_PRIORITY = 30;
    private static final long CONFIG_APPLY_MILLIS = 2_000;
    private static final long REQUEST_INTERVAL_MILLIS = 200;
    private static final int REQUESTS_PER_ROUTE = 100;
    private static final int MIN_REQUESTS = 20;

    private final Record record;
    private final boolean trouble;
    private final List<Worker> workers = new ArrayList<>();
    private final Map<String, AtomicInteger> served = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();

    private AddedRouteCase(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    static int run(Path repository, Record record, boolean trouble) throws Exception {
        return new AddedRouteCase(record, trouble).run(repository);
    }

    private int run(Path repository) throws Exception {
        ExecutorService clients = Executors.newCachedThreadPool();
        try (Deployment system = new Deployment(repository, ENTRIES);
                Platform platform = new Platform(system.standInIp(), this::entries)) {
            for (int number = 0; number < WORKERS; number++) {
                workers.add(new Worker(system.standInIp(), "i-" + number, "v1", 6, running -> 40,
                        (worker, request, failed) -> record.line("run %s at %s", request.header("X-Request-Id"), worker.id())));
            }
            system.start(platform.address(), List.of());
            Operator operator = new Operator(system.controls(), record);
            publish(operator, 3, route("first", 0));
            if (!system.awaitReady(20_000)) {
                return 2;
            }
            Thread.sleep(1_000);
            publish(operator, 5, route("first", 0) + ',' + route("added", trouble ? LOW_PRIORITY : 1));
            Thread.sleep(CONFIG_APPLY_MILLIS + 500);
            for (int number = 0; number < REQUESTS_PER_ROUTE; number++) {
                String entry = system.entry(number % ENTRIES);
                String suffix = "-" + number;
                clients.execute(() -> ask(entry, "first", suffix));
                clients.execute(() -> ask(entry, "added", suffix));
                Thread.sleep(REQUEST_INTERVAL_MILLIS);
            }
            clients.shutdown();
            clients.awaitTermination(10, TimeUnit.SECONDS);
            int first = count("first");
            int added = count("added");
            record.line("served of %d requests each: %d on the first route, %d on the added one; answers %s",
                    REQUESTS_PER_ROUTE, first, added, answers);
            return REQUESTS_PER_ROUTE >= MIN_REQUESTS && 4 * added < first ? 1 : 0;
        } finally {
            clients.shutdownNow();
            for (Worker worker : workers) {
                worker.close();
            }
        }
    }

    private int count(String route) {
        return served.getOrDefault(route, new AtomicInteger()).get();
    }

    private void ask(String entry, String route, String suffix) {
        String id = route + suffix;
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("X-Request-Id", id);
        headers.put("X-Deadline-Ms", "2500");
        record.line("sent %s", id);
        try {
            int status = Http.send(entry, "GET", "/" + route + "/1", headers, new byte[0], 4_000).status();
            record.line("answer %s status %d", id, status);
            answers.computeIfAbsent(route + ' ' + status, key -> new AtomicInteger()).incrementAndGet();
            if (status == 200) {
                served.computeIfAbsent(route, key -> new AtomicInteger()).incrementAndGet();
            }
        } catch (IOException exception) {
            record.line("answer %s none: %s", id, exception);
        }
    }

    private static void publish(Operator operator, int version, String routes) throws InterruptedException {
        String manifest = "{\"version\":" + version + ",\"routes\":[" + routes + "],"
                + "\"services\":[{\"name\":\"" + SERVICE + "\",\"healthPath\":\"/health\",\"maxConns\":110,"
                + "\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
        if (operator.call("PUT", "/config", manifest).status() != 200) {
            throw new IllegalStateException("version " + version + " was refused");
        }
    }

    private static String route(String name, int priority) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/" + name
                + "/\",\"kind\":\"safe\",\"timeoutMs\":2500,\"targetLatencyMs\":193,\"priority\":" + priority
                + ",\"service\":\"" + SERVICE + "\",\"maxAttempts\":2,\"public\":true}";
    }

    private List<String> entries() {
        List<String> entries = new ArrayList<>();
        for (Worker worker : List.copyOf(workers)) {
            entries.add(worker.listEntry(SERVICE, Deployment.ZONES[entries.size() % Deployment.ZONES.length], "ready"));
        }
        return entries;
    }
}
