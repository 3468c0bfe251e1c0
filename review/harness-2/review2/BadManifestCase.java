package review2;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/** An operator sends a manifest that can't be read in full: a tenant's name in it is in Latin-1 instead of UTF-8. */
final class BadManifestCase {
    private static final int FIRST_VERSION = 3;
    private static final int BAD_VERSION = 5;

    private BadManifestCase() {}

    static int run(Path repository, Record record, boolean trouble) throws Exception {
        try (Deployment system = new Deployment(repository, 1);
                Platform platform = new Platform(system.standInIp(), List::of)) {
            system.start(platform.address(), List.of());
            Operator operator = new Operator(system.controls(), record);
            byte[] first = manifest(FIRST_VERSION, "anna").getBytes(StandardCharsets.UTF_8);
            if (operator.call("PUT", "/config", first).status() != 200) {
                return 2;
            }
            byte[] sent = manifest(BAD_VERSION, "J\u00f8rgen")
                    .getBytes(trouble ? StandardCharsets.ISO_8859_1 : StandardCharsets.UTF_8);
            record.line("sent version %d, %d bytes, %s", BAD_VERSION, sent.length, trouble ? "no valid UTF-8" : "valid");
            int status = operator.call("PUT", "/config", sent).status();
            byte[] read = operator.call("GET", "/config", new byte[0]).body();
            boolean readBackAsSent = Arrays.equals(sent, read);
            record.line("version %d was answered %d; read back: %s, %d bytes", BAD_VERSION, status,
                    readBackAsSent ? "what was sent" : Arrays.equals(first, read) ? "version " + FIRST_VERSION : "something else",
                    read.length);
            record.line("read back: %s", new String(read, StandardCharsets.UTF_8));
            boolean acknowledged = status < 300;
            return trouble == acknowledged || acknowledged && !readBackAsSent ? 1 : 0;
        }
    }

    private static String manifest(int version, String tenant) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"read\",\"host\":\"shop.example\","
                + "\"pathPrefix\":\"/read/\",\"kind\":\"safe\",\"timeoutMs\":2500,\"targetLatencyMs\":193,\"priority\":2,"
                + "\"service\":\"review-api\",\"maxAttempts\":2,\"public\":false}],"
                + "\"services\":[{\"name\":\"review-api\",\"healthPath\":\"/health\",\"maxConns\":110,"
                + "\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"tenants\":[{\"name\":\"" + tenant
                + "\",\"apiKeys\":[\"key-1\"],\"priority\":1,\"ratePerS\":0,\"burst\":0}]}";
    }
}
