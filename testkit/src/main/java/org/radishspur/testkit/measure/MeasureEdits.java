package org.radishspur.testkit.measure;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Callable;

import org.radishspur.model.codec.Json;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.PoolRow;
import org.radishspur.model.table.RowChange;
import org.radishspur.model.table.TableEdit;
import org.radishspur.node.settings.SecretFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures the time from sending an edit until it is answered, and until it is in force on every node.
 */
@Command(name = "edits", mixinStandardHelpOptions = true)
final class MeasureEdits implements Callable<Integer> {
    @Option(
            names = "--admins",
            required = true,
            split = ",",
            description = "The administration addresses of all nodes.")
    private List<String> adminAddresses;

    @Option(names = "--token-file", required = true, description = "The file with the administration token.")
    private Path tokenFile;

    @Option(names = "--count", defaultValue = "300", description = "How many edits to send.")
    private int count;

    private final HttpClient client = HttpClient.newHttpClient();

    /** {@inheritDoc} */
    @Override
    public Integer call() throws IOException, InterruptedException {
        Samples answered = new Samples();
        Samples inForce = new Samples();
        String name = "measured-" + UUID.randomUUID().toString().substring(0, 8);
        long revision = 0;
        for (int edit = 0; edit < count; edit++) {
            PoolRow row = new PoolRow(name, PoolKind.SERVICE, List.of(), edit + 1, 1, Map.of());
            TableEdit change = new TableEdit(name + '-' + edit, List.of(new RowChange.PutPool(row, revision)));
            long beganAt = System.nanoTime();
            String answer = send(
                    adminAddresses.get(edit % adminAddresses.size()),
                    "/v1/edits",
                    HttpRequest.BodyPublishers.ofString(Json.INSTANCE.write(change)));
            answered.add(System.nanoTime() - beganAt);
            revision = Json.INSTANCE
                    .readTree(answer, ErrorCode.CALL_INVALID)
                    .path("revision")
                    .asLong();
            for (String admin : adminAddresses) {
                while (revisionOf(admin) < revision) {
                    Thread.onSpinWait();
                }
            }
            inForce.add(System.nanoTime() - beganAt);
        }
        System.out.printf(
                Locale.ROOT,
                "%d edits: answered p50 %.1f ms, p99 %.1f ms; in force on all %d nodes p50 %.1f ms, p99 %.1f ms%n",
                count,
                answered.medianMicros() / 1_000,
                answered.p99Micros() / 1_000,
                adminAddresses.size(),
                inForce.medianMicros() / 1_000,
                inForce.p99Micros() / 1_000);
        return 0;
    }

    private long revisionOf(String admin) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + admin + "/health"))
                .GET()
                .build();
        String body = client.send(request, HttpResponse.BodyHandlers.ofString()).body();
        return Json.INSTANCE
                .readTree(body, ErrorCode.CALL_INVALID)
                .path("revision")
                .asLong();
    }

    private String send(String admin, String path, HttpRequest.BodyPublisher body)
            throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + admin + path))
                .header("Authorization", "Bearer " + SecretFile.INSTANCE.read(tokenFile))
                .POST(body)
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
    }
}
