import java.util.Random;

/** Manifests in the form of the pages, with a few routes that carry traffic and some more beside them. */
final class Manifests {
    private Manifests() {}

    /** Builds a manifest with two kinds of requests, a number of further routes and one tenant. */
    static String of(long version, int moreRoutes, String keys) {
        StringBuilder text = new StringBuilder(300 * moreRoutes + 2_000);
        text.append("{\"version\":").append(version).append(",\"routes\":[");
        text.append(route("r-look", "ficu95.example", "/look/", "safe", 2));
        text.append(',').append(route("r-file", "ficu95.example", "/file/", "unsafe", 1));
        Random random = new Random(7);
        for (int number = 0; number < moreRoutes; number++) {
            String word = Integer.toString(1_000_000 + random.nextInt(100_000_000), 36);
            text.append(',')
                    .append(route("r-" + word + number, "ficu95.example", "/" + word + number + "/", "safe", 2));
        }
        text.append("],\"services\":[{\"name\":\"review-api\",\"healthPath\":\"/health\",\"maxConns\":110,"
                + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":["
                + keys + "],\"priority\":1}]}");
        return text.toString();
    }

    private static String route(String name, String host, String prefix, String kind, int attempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + host + "\",\"pathPrefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"timeoutMs\":5000,\"targetLatencyMs\":1200,\"priority\":1,\"service\":\"review-api\","
                + "\"maxAttempts\":" + attempts + ",\"public\":false,\"sticky\":false,\"streamResume\":false,\"gapAimMs\":300}";
    }
}
