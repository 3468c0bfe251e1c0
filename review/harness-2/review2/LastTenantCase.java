package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Keys are taken away from tenants one after the other, until the manifest holds no tenant. */
final class LastTenantCase {
    private static final long REVOKE_MILLIS = 5_000;
    private static final String HOST = "shop.example";

    private final Path repository;
    private final Record record;
    private final boolean trouble;
    private final Map<String, String> runs = new ConcurrentHashMap<>();
    private int lastRequest;

    LastTenantCase(Path repository, Record record, boolean trouble) {
        this.repository = repository;
        this.record = record;
        this.trouble = trouble;
    }

    int run() throws Exception {
        List<Worker> workers = new ArrayList<>();
        try (Deployment system = new Deployment(repository, 2);
                Platform platform = new Platform(system.standInIp(), () -> entries(workers))) {
            for (int number = 0; number < 3; number++) {
                workers.add(new Worker(system.standInIp(), "i-" + number, "v1", 6, running -> 20, (worker, request, failed) -> {
                    runs.put(request.header("X-Request-Id"), request.header("X-Tenant"));
                    record.line("run %s tenant '%s'", request.header("X-Request-Id"), request.header("X-Tenant"));
                }));
            }
            system.start(platform.address(), List.of());
            Operator operator = new Operator(system.controls(), record);
            publish(operator, 3, tenant("anna", "key-of-anna") + ',' + tenant("bert", "key-of-bert"));
            if (!system.awaitReady(20_000)) {
                return 2;
            }
            Thread.sleep(1_000);
            boolean served = ask(system, "key-of-anna") == 2 && ask(system, "key-of-bert") == 2;
            boolean refused = ask(system, "key-that-never-was") == 0;
            if (!served || !refused) {
                record.line("the system doesn't serve as expected before the change");
                return 2;
            }
            if (trouble) {
                publish(operator, 5, tenant("bert", "key-of-bert"));
                Thread.sleep(REVOKE_MILLIS + 500);
                if (ask(system, "key-of-anna") > 0) {
                    return 1;
                }
                publish(operator, 8, "");
                Thread.sleep(REVOKE_MILLIS + 500);
            } else {
                Thread.sleep(2 * REVOKE_MILLIS);
                return ask(system, "key-of-bert") == 2 && ask(system, "key-that-never-was") == 0 ? 0 : 1;
            }
            int broken = 0;
            for (String key : List.of("key-of-anna", "key-of-bert", "key-that-never-was")) {
                int ran = ask(system, key);
                record.line("%s, which no tenant holds: %d of 2 requests ran", key, ran);
                broken += ran;
            }
            return broken > 0 ? 1 : 0;
        } finally {
            for (Worker worker : workers) {
                worker.close();
            }
        }
    }

    /** Sends a request with a key to each entry, and returns how many of them ran. */
    private int ask(Deployment system, String key) throws IOException {
        int ran = 0;
        for (String entry : system.entries()) {
            String id = "request-" + ++lastRequest;
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Host", HOST);
            headers.put("X-Request-Id", id);
            headers.put("X-Deadline-Ms", "2500");
            headers.put("Authorization", "Bearer " + key);
            record.line("sent %s to %s with %s", id, entry, key);
            Http.Message answer = Http.send(entry, "GET", "/read/1", headers, new byte[0], 3_000);
            record.line("answer %s status %d", id, answer.status());
            ran += runs.containsKey(id) ? 1 : 0;
        }
        return ran;
    }

    private static void publish(Operator operator, int version, String tenants) throws InterruptedException {
        String manifest = "{\"version\":" + version + ",\"routes\":[{\"name\":\"read\",\"host\":\"" + HOST
                + "\",\"pathPrefix\":\"/read/\",\"kind\":\"safe\",\"timeoutMs\":2500,\"targetLatencyMs\":193,\"priority\":2,"
                + "\"service\":\"review-api\",\"maxAttempts\":2,\"public\":false}],"
                + "\"services\":[{\"name\":\"review-api\",\"healthPath\":\"/health\",\"maxConns\":110,"
                + "\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"tenants\":[" + tenants + "]}";
        int status = operator.call("PUT", "/config", manifest).status();
        if (status != 200) {
            throw new IllegalStateException("version " + version + " was answered " + status);
        }
    }

    private static String tenant(String name, String key) {
        return "{\"name\":\"" + name + "\",\"apiKeys\":[\"" + key + "\"],\"priority\":1,\"ratePerS\":0,\"burst\":0}";
    }

    private static List<String> entries(List<Worker> workers) {
        List<String> entries = new ArrayList<>();
        for (Worker worker : List.copyOf(workers)) {
            entries.add(worker.listEntry("review-api", Deployment.ZONES[entries.size() % 3], "ready"));
        }
        return entries;
    }
}
