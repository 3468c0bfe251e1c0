package org.radishspur.testkit.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.PoolRow;
import org.radishspur.model.table.UpstreamRow;
import org.radishspur.node.upstream.UpstreamHeaders;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Sends requests to an upstream with one slot that doesn't admit the first of them.
 */
class RefusedAdmissionTest {
    private static final String TIMEOUTS = "\"firstByteMillis\":2000,\"idleMillis\":2000";
    private static final long LONG_DEADLINE_MILLIS = 60_000;

    /** Makes the other request the first in the queue. */
    private static final long SHORT_DEADLINE_MILLIS = 20_000;

    private static final long ARRIVAL_SECONDS = 20;
    private static final long POLL_MILLIS = 100;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final long REFUSAL_DELAY_MILLIS = 1_000;
    private static final int PARTS = 25;
    private static final long PART_INTERVAL_MILLIS = 100;

    private final CountDownLatch firstArrived = new CountDownLatch(1);
    private final AtomicInteger requests = new AtomicInteger();
    private volatile Rejection rejection = Rejection.LATE;

    @TempDir
    Path folder;

    private ProcessCluster cluster;
    private ConnectionServer upstream;

    @BeforeEach
    void start() throws IOException {
        cluster = new ProcessCluster(folder, TIMEOUTS);
        upstream = new ConnectionServer(this::answer);
        UpstreamRow row = new UpstreamRow("service", upstream.address(), "a", "plain", false);
        PoolRow pool = new PoolRow("services", PoolKind.SERVICE, List.of(row), 5_000, 1, Map.of());
        cluster.install(pool, ProcessCluster.routeRow("record", "services", true));
    }

    @AfterEach
    void stop() throws IOException {
        cluster.close();
        upstream.close();
    }

    /** Rejects the first request; sends the answers to the others in parts, then closes. */
    private void answer(Socket socket) throws IOException {
        readRequest(socket);
        OutputStream output = socket.getOutputStream();
        if (requests.getAndIncrement() == 0) {
            firstArrived.countDown();
            rejection.send(output);
            return;
        }
        write(output, "HTTP/1.1 200 OK\r\nContent-Length: " + PARTS + "\r\nConnection: close\r\n\r\n");
        for (int part = 0; part < PARTS; part++) {
            pause(PART_INTERVAL_MILLIS);
            write(output, "x");
        }
    }

    private static void readRequest(Socket socket) throws IOException {
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        String line = reader.readLine();
        while (line != null && !line.isEmpty()) {
            line = reader.readLine();
        }
    }

    private static void pause(long millis) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    private CompletableFuture<HttpResponse<String>> send(long deadlineMillis) {
        HttpRequest request = HttpRequest.newBuilder(cluster.callerUri("a", "/record"))
                .header("Radishspur-Organisation", "crew")
                .header("Radishspur-Deadline-Millis", String.valueOf(deadlineMillis))
                .GET()
                .build();
        return cluster.client()
                .sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .exceptionally(failure -> new UnansweredResponse());
    }

    /** Sends a request until the upstream has received one; nodes that have just started refuse them as not run. */
    private CompletableFuture<HttpResponse<String>> sendUntilItArrives() throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(ARRIVAL_SECONDS);
        CompletableFuture<HttpResponse<String>> sent = send(LONG_DEADLINE_MILLIS);
        while (!firstArrived.await(POLL_MILLIS, TimeUnit.MILLISECONDS)) {
            assertThat(System.nanoTime()).as("time limit of the arrival").isLessThan(until);
            if (sent.isDone()) {
                assertThat(sent.join().statusCode()).as(sent.join().body()).isEqualTo(SERVICE_UNAVAILABLE);
                sent = send(LONG_DEADLINE_MILLIS);
            }
        }
        return sent;
    }

    /** Guards against the timeout of an attempt that ended, which ends the next one while it waits for a permit. */
    @Test
    void requestThatWaitsForItsSecondAttemptIsServed() throws InterruptedException {
        CompletableFuture<HttpResponse<String>> refusedOnce = sendUntilItArrives();
        CompletableFuture<HttpResponse<String>> other = send(SHORT_DEADLINE_MILLIS);
        assertThat(other.join().body()).hasSize(PARTS);
        assertThat(refusedOnce.join().body()).hasSize(PARTS);
        assertThat(requests).hasValue(3);
    }

    /** Guards against a rejected request that waits until its deadline for the rest of the rejection. */
    @Test
    void requestIsSentOnWhereItsRejectionStalls() throws InterruptedException {
        rejection = Rejection.STALLED;
        assertThat(sendUntilItArrives().join().body()).hasSize(PARTS);
        assertThat(requests).hasValue(2);
    }

    /** Guards against a rejected request that counts as one that may have run, as its connection breaks. */
    @Test
    void requestIsSentOnWhereItsRejectionIsCutOff() throws InterruptedException {
        rejection = Rejection.CUT_OFF;
        assertThat(sendUntilItArrives().join().body()).hasSize(PARTS);
        assertThat(requests).hasValue(2);
    }

    /** How the upstream rejects a request. */
    private enum Rejection {
        LATE {
            @Override
            void send(OutputStream output) throws IOException {
                pause(REFUSAL_DELAY_MILLIS);
                write(output, HEAD + "Content-Length: 0\r\n\r\n");
            }
        },
        STALLED {
            @Override
            void send(OutputStream output) throws IOException {
                write(output, HEAD + HALF);
                pause(2 * LONG_DEADLINE_MILLIS);
            }
        },
        CUT_OFF {
            @Override
            void send(OutputStream output) throws IOException {
                write(output, HEAD + HALF);
            }
        };

        private static final String HEAD =
                "HTTP/1.1 503 No\r\nConnection: close\r\n" + UpstreamHeaders.ADMISSION + ": refused\r\n";
        private static final String HALF = "Content-Length: 8\r\n\r\nhalf";

        abstract void send(OutputStream output) throws IOException;
    }
}
