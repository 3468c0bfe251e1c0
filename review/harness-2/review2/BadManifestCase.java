package review2;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** An operator sends a manifest that can't be read in full: its file is encoded in Latin-1 instead of UTF-8. */
final class BadManifestCase {
    private BadManifestCase() {}

    static int run(Path repository, Record record, boolean trouble) throws Exception {
        List<Worker> workers = new ArrayList<>();
        try (Deployment system = new Deployment(repository, 1);
                Platform platform = new Platform(system.standInIp(), List::of)) {
            system.start(platform.address(), List.of());
            Operator operator = new Operator(system.controls(), record);
            operator.call("PUT", "/config", manifest(3, "anna", "r", "\"service\":\"review-api\""));
            byte[] sent = manifest(5, "J\u00f8rgen", "r", "\"service\":\"review-api\"")
                    .getBytes(trouble ? StandardCharsets.ISO_8859_1 : StandardCharsets.UTF_8);
            int status = operator.call("PUT", "/config", sent).status();
            byte[] read = operator.call("GET", "/config", "").body();
            record.line("acknowledged with %d; read back as sent: %s; read back: %s", status, Arrays.equals(sent, read), new String(read, StandardCharsets.UTF_8));
            int other = operator.call("PUT", "/config", manifest(8, "anna", "r", "\"service\":\"no-such-service\",\"trafficSplit\":[{\"service\":\"review-api\",\"weight\":1}]")).status();
            record.line("unknown service beside a split: %d", other);
            int other2 = operator.call("PUT", "/config", manifest(9, "anna", "r", "\"service\":\"review-api\",\"trafficSplit\":[{\"service\":\"no-such\",\"weight\":0},{\"service\":\"review-api\",\"weight\":1}]")).status();
            record.line("unknown service with weight 0: %d", other2);
            for (String v : List.of("{\"version\":11}", "{\"version\":12,\"routes\":[],\"services\":[],\"tenants\":[{\"name\":\"a\",\"apiKeys\":[null]}]}", "{\"version\":13,\"routes\":[],\"services\":[],\"tenants\":null}","{\"version\":14,\"version\":15,\"routes\":[],\"services\":[],\"services\":3}","{\"version\":16,\"routes\":[],\"services\":[]}\u0000")) {
                record.line("%s: %d", v, operator.call("PUT", "/config", v).status());
            }
            return !trouble || status >= 400 ? 0 : 1;
        }
    }

    private static String manifest(int version, String tenant, String route, String target) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"" + route + "\",\"host\":\"shop.example\","
                + "\"pathPrefix\":\"/read/\",\"kind\":\"safe\",\"timeoutMs\":2500,\"targetLatencyMs\":193,\"priority\":2,"
                + target + ",\"maxAttempts\":2,\"public\":false}],"
                + "\"services\":[{\"name\":\"review-api\",\"healthPath\":\"/health\",\"maxConns\":110}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"tenants\":[{\"name\":\"" + tenant + "\",\"apiKeys\":[\"key-1\"],\"priority\":1,\"ratePerS\":0,\"burst\":0}]}";
    }
}
