package org.radishspur.testkit.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.UpstreamRow;
import org.radishspur.node.upstream.UpstreamHeaders;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Sends requests through a cluster to a plain service that sends each answer a second time, before the next answer on the
 * connection.
 */
class RepeatedAnswerTest {
    private static final int REQUESTS = 8;

    private final AtomicInteger connections = new AtomicInteger();

    @TempDir
    Path folder;

    private ProcessCluster cluster;
    private ConnectionServer upstream;
    private volatile boolean namesRequests;
    private volatile boolean repeats;

    @BeforeEach
    void start() throws IOException {
        cluster = new ProcessCluster(folder);
        upstream = new ConnectionServer(this::serve);
        UpstreamRow row = new UpstreamRow("service", upstream.address(), "a", "plain", false);
        cluster.install(
                ProcessCluster.poolRow("services", PoolKind.SERVICE, List.of(row)),
                ProcessCluster.routeRow("record", "services", false));
    }

    @AfterEach
    void stop() throws IOException {
        cluster.close();
        upstream.close();
    }

    /** Answers each request with its own body. */
    private void serve(Socket socket) throws IOException {
        connections.incrementAndGet();
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        String copy = "";
        for (String answer = answer(reader); !answer.isEmpty(); answer = answer(reader)) {
            socket.getOutputStream().write((copy + answer).getBytes(StandardCharsets.ISO_8859_1));
            copy = repeats ? answer : "";
        }
    }

    private String answer(BufferedReader reader) throws IOException {
        int length = -1;
        String name = "";
        for (String line = reader.readLine(); line != null && !line.isEmpty(); line = reader.readLine()) {
            String header = line.substring(0, Math.max(0, line.indexOf(':')));
            if (header.equalsIgnoreCase("content-length")) {
                length = Integer.parseInt(line.substring(header.length() + 1).strip());
            } else if (header.equalsIgnoreCase(UpstreamHeaders.REQUEST) && namesRequests) {
                name = line + "\r\n";
            }
        }
        StringBuilder body = new StringBuilder();
        for (int read = 0; read < length; read++) {
            body.append((char) reader.read());
        }
        return length < 0 ? "" : "HTTP/1.1 200 OK\r\n" + name + "Content-Length: " + length + "\r\n\r\n" + body;
    }

    private String send(String body) {
        HttpRequest request = HttpRequest.newBuilder(cluster.callerUri("a", "/record"))
                .header("Radishspur-Organisation", "crew")
                .header("Idempotency-Key", body)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return cluster.client()
                .sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .exceptionally(failure -> new UnansweredResponse())
                .join()
                .body();
    }

    /** Guards against an answer that reaches the caller of a later request on the connection to the upstream. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void reachesNoOtherCaller(boolean named) {
        namesRequests = named;
        repeats = true;
        for (int number = 0; number < REQUESTS; number++) {
            assertThat(send("text-" + number)).isEqualTo("text-" + number);
        }
    }

    /** Guards against a new connection for each request to an upstream that names the requests that it answers. */
    @Test
    void costsNoConnectionsWhereAnswersComeOnce() {
        namesRequests = true;
        for (int number = 0; number < REQUESTS; number++) {
            assertThat(send("text-" + number)).isEqualTo("text-" + number);
        }
        assertThat(connections.get()).isEqualTo(1);
    }
}
