package org.radishspur.testkit.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.UpstreamRow;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Sends requests through a cluster to a plain service whose answers have neither a length nor chunks.
 */
class UnframedAnswerTest {
    private static final int LONG_BODY_BYTES = 600_000;
    private static final long ARRIVAL_MILLIS = 200;
    private static final String WHOLE_EVENT = "id: 1\ndata: a\n\n";
    private static final String PARTIAL_EVENT = "id: 2\nda";

    @TempDir
    Path folder;

    private ProcessCluster cluster;
    private ServerSocket upstream;
    private volatile String answer = "";
    private volatile int runs;
    private volatile boolean readsBodies = true;

    @BeforeEach
    void start() throws IOException {
        cluster = new ProcessCluster(folder);
        upstream = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread server = new Thread(this::serve, "unframed-upstream");
        server.setDaemon(true);
        server.start();
        UpstreamRow row = new UpstreamRow("service", "127.0.0.1:" + upstream.getLocalPort(), "a", "plain", false);
        cluster.install(
                ProcessCluster.poolRow("services", PoolKind.SERVICE, List.of(row)),
                ProcessCluster.routeRow("record", "services", false));
    }

    @AfterEach
    void stop() throws IOException {
        cluster.close();
        upstream.close();
    }

    /** Answers one request after the other, and closes the connection after each. */
    private void serve() {
        try {
            while (true) {
                try (Socket socket = upstream.accept()) {
                    BufferedReader reader = new BufferedReader(
                            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
                    int length = 0;
                    for (String line = reader.readLine(); line != null && !line.isEmpty(); line = reader.readLine()) {
                        if (line.regionMatches(true, 0, "content-length:", 0, 15)) {
                            length = Integer.parseInt(line.substring(15).strip());
                        }
                    }
                    for (int read = 0; read < length && readsBodies; read++) {
                        reader.read();
                    }
                    if (!readsBodies) {
                        // Lets the whole request arrive at the sockets of this host.
                        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ARRIVAL_MILLIS));
                    }
                    runs++;
                    socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                    // A close with bytes unread resets the connection behind that.
                    socket.shutdownOutput();
                }
            }
        } catch (IOException exception) {
            // The test has ended.
        }
    }

    private HttpResponse<String> send(String key) {
        return send(key, "hello");
    }

    private HttpResponse<String> send(String key, String body) {
        HttpRequest request = HttpRequest.newBuilder(cluster.callerUri("a", "/record"))
                .header("Radishspur-Organisation", "crew")
                .header("Idempotency-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return cluster.client()
                .sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .exceptionally(failure -> new UnansweredResponse())
                .join();
    }

    private static String eventStream(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + body;
    }

    /** Guards against a stream that an upstream broke off inside an event and that its caller gets as complete. */
    @Test
    void streamCutInsideAnEventIsNotComplete() {
        answer = eventStream(WHOLE_EVENT + PARTIAL_EVENT);
        HttpResponse<String> first = send("cut");
        assertThat(first.statusCode()).as("status with body %s", first.body()).isZero();
        HttpResponse<String> again = send("cut");
        assertThat(again.statusCode()).isNotEqualTo(200);
        assertThat(runs).isEqualTo(1);
    }

    /** Guards against a request that ends its upstreams and is never suspected, because its streams seem complete. */
    @Test
    void requestWhoseStreamsAreCutIsSuspected() {
        answer = eventStream(WHOLE_EVENT + PARTIAL_EVENT);
        int[] sent = {0};
        ProcessCluster.await(() -> send("cut-" + sent[0]++).body().contains("crash-suspect"));
        assertThat(runs).isGreaterThanOrEqualTo(2);
    }

    @Test
    void streamThatEndsBetweenEventsIsComplete() {
        answer = eventStream(WHOLE_EVENT);
        HttpResponse<String> response = send("whole");
        assertThat(response.statusCode())
                .as("status with body %s", response.body())
                .isEqualTo(200);
        assertThat(response.body()).isEqualTo(WHOLE_EVENT);
    }

    /** Guards against a stored answer that is replayed with a length although its end was uncertain. */
    @Test
    void plainAnswerIsPassedOnButNotReplayed() {
        answer = "HTTP/1.1 200 OK\r\n\r\ndone";
        assertThat(send("plain").body()).isEqualTo("done");
        HttpResponse<String> again = send("plain");
        assertThat(again.statusCode()).isNotEqualTo(200);
        assertThat(again.body()).contains("answer-not-stored");
        assertThat(runs).isEqualTo(1);
    }

    /** Guards against half an answer that its caller gets as a whole one, as it came before the request was read. */
    @Test
    void answerToAnUnreadRequestIsNotComplete() {
        answer = "HTTP/1.1 200 OK\r\n\r\nhalf";
        readsBodies = false;
        HttpResponse<String> response = send("unread", "x".repeat(LONG_BODY_BYTES));
        assertThat(response.statusCode())
                .as("status with body %s", response.body())
                .isNotEqualTo(200);
        assertThat(response.body()).doesNotContain("not-run");
        assertThat(runs).isEqualTo(1);
    }

    @Test
    void answerToALongRequestThatIsReadIsComplete() {
        answer = "HTTP/1.1 200 OK\r\n\r\nwhole";
        HttpResponse<String> response = send("read", "x".repeat(LONG_BODY_BYTES));
        assertThat(response.body()).isEqualTo("whole");
    }

    /**
     * Guards against a broken answer that looks complete to a caller of HTTP 1.0, whose answers end with the connection.
     */
    @Test
    void brokenAnswerIsResetForACallerWithoutChunks() throws IOException {
        answer = eventStream(WHOLE_EVENT + PARTIAL_EVENT);
        String request =
                "GET /record HTTP/1.0\r\nHost: h\r\nRadishspur-Organisation: crew\r\nIdempotency-Key: old\r\n\r\n";
        try (Socket caller = new Socket("127.0.0.1", cluster.callerPort("a"))) {
            caller.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            assertThatThrownBy(() -> caller.getInputStream().readAllBytes()).isInstanceOf(IOException.class);
        }
        assertThat(runs).isEqualTo(1);
    }
}
