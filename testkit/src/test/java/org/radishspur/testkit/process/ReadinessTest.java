package org.radishspur.testkit.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.radishspur.model.table.PoolKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that a node reports readiness only while it can accept requests from callers.
 */
class ReadinessTest {
    private static final int HEALTH_CHECKS = 40;
    private static final long CHECK_INTERVAL_MILLIS = 100;

    @TempDir
    Path folder;

    /** Guards against a load balancer that sends callers to a node whose caller address another process listens on. */
    @Test
    void aNodeIsNotReadyUntilItListensOnItsCallerAddress() throws IOException {
        try (ProcessCluster cluster = new ProcessCluster(folder)) {
            cluster.installTables(List.of(cluster.startUpstream("engine", PoolKind.ENGINE, 100)), List.of());
            cluster.kill("c");
            try (ServerSocket other =
                    new ServerSocket(cluster.callerPort("c"), 1, InetAddress.getByName("127.0.0.1"))) {
                cluster.startNode("c");
                ProcessCluster.await(() -> !cluster.getAdmin("c", "/health").isEmpty());
                for (int check = 0; check < HEALTH_CHECKS; check++) {
                    assertThat(cluster.getAdmin("c", "/health"))
                            .as("while the caller address is bound by " + other)
                            .doesNotContain("\"ready\":true");
                    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(CHECK_INTERVAL_MILLIS));
                }
            }
            ProcessCluster.await(() -> cluster.revision("c") >= 1);
        }
    }
}
