package org.radishspur.testkit.process;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.UpstreamRow;
import org.radishspur.testkit.upstream.StandInUpstream;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Sends a request that crashes every engine that runs it, repeatedly and through every node.
 */
class CrashSuspectProcessTest {
    private static final List<String> ENGINES = List.of("first", "second", "third", "fourth");

    @TempDir
    Path folder;

    private static HttpResponse<String> send(ProcessCluster cluster, String node, String body, boolean crashes) {
        HttpRequest.Builder request = HttpRequest.newBuilder(cluster.callerUri(node, "/stream"))
                .header("Radishspur-Organisation", "crew")
                .header("Radishspur-Deadline-Millis", "5000")
                .header(StandInUpstream.TOKENS_HEADER, "2")
                .POST(HttpRequest.BodyPublishers.ofString(body));
        if (crashes) {
            request.header(StandInUpstream.CRASH_HEADER, "yes");
        }
        return cluster.client()
                .sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .join();
    }

    private static long countLiveEngines(ProcessCluster cluster) {
        return ENGINES.stream().filter(cluster::isAlive).count();
    }

    /** Guards against one request that crashes every engine of the pool, so that no other request can run. */
    @Test
    void aRequestIsRefusedAtEveryNodeAfterItCrashedTwoEngines() {
        try (ProcessCluster cluster = new ProcessCluster(folder)) {
            List<UpstreamRow> engines = ENGINES.stream()
                    .map(name -> cluster.startUpstream(name, PoolKind.ENGINE, 100))
                    .toList();
            cluster.installTables(engines, List.of());
            int[] attempts = {0};
            ProcessCluster.await(() -> send(cluster, ProcessCluster.NODES.get(attempts[0]++ % 3), "poison", true)
                    .body()
                    .contains("crash-suspect"));
            // A crashing engine closes its connections before its parent process detects its end, so the answer can
            // arrive while the second engine still counts as alive. No request is sent while the test waits.
            ProcessCluster.await(() -> countLiveEngines(cluster) == ENGINES.size() - 2);
            assertThat(countLiveEngines(cluster)).isEqualTo(ENGINES.size() - 2);
            for (String node : ProcessCluster.NODES) {
                ProcessCluster.await(
                        () -> send(cluster, node, "poison", true).body().contains("crash-suspect"));
                ProcessCluster.await(
                        () -> send(cluster, node, "innocent", false).statusCode() == 200);
            }
            assertThat(countLiveEngines(cluster)).isEqualTo(ENGINES.size() - 2);
        }
    }
}
