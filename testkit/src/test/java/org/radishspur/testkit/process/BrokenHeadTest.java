package org.radishspur.testkit.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.UpstreamRow;
import org.radishspur.node.upstream.UpstreamHeaders;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Sends requests through a cluster to a plain service whose answers have malformed heads.
 */
class BrokenHeadTest {
    private static final int TIMEOUT_MILLIS = 20_000;
    private static final String OK = "HTTP/1.1 200 OK";

    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger runs = new AtomicInteger();

    @TempDir
    Path folder;

    private ProcessCluster cluster;
    private ConnectionServer upstream;
    private volatile String statusLine = OK;
    private volatile String line = "";
    private int lastKey;
    private int losses;

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

    /** Runs each request and answers it with the head that is due. */
    private void serve(Socket socket) throws IOException {
        connections.incrementAndGet();
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        for (String id = readRequest(reader); !id.isEmpty(); id = readRequest(reader)) {
            runs.incrementAndGet();
            String answer = statusLine + "\r\n" + UpstreamHeaders.REQUEST + ": " + id + "\r\n" + line
                    + "Content-Length: 4\r\n\r\ndone";
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    /** Reads a request without a body, and returns its identifier, empty at the end of the connection. */
    private static String readRequest(BufferedReader reader) throws IOException {
        String id = "";
        for (String read = reader.readLine(); read != null && !read.isEmpty(); read = reader.readLine()) {
            if (read.regionMatches(true, 0, UpstreamHeaders.REQUEST + ':', 0, UpstreamHeaders.REQUEST.length() + 1)) {
                id = read.substring(UpstreamHeaders.REQUEST.length() + 1).strip();
            }
        }
        return id;
    }

    /** Sends a request on a connection of its own, and returns the bytes of its answer. */
    private String send() throws IOException {
        String request = "POST /record HTTP/1.1\r\nHost: h\r\nRadishspur-Organisation: crew\r\nIdempotency-Key: key-"
                + ++lastKey + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        try (Socket caller = new Socket("127.0.0.1", cluster.callerPort("a"))) {
            caller.setSoTimeout(TIMEOUT_MILLIS);
            caller.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private void assertLost(String brokenStatusLine, String brokenLine) throws IOException {
        statusLine = brokenStatusLine;
        line = brokenLine;
        runs.set(0);
        String answer = send();
        assertThat(answer)
                .startsWith("HTTP/1.1 502 ")
                .contains("\"run\":\"unknown\"")
                .doesNotContain("done");
        assertThat(runs).as("runs").hasValue(1);
        losses++;
        ProcessCluster.await(() -> reasonsInLog() == losses);
    }

    /** Returns how many lines of the log name a malformed response. */
    private long reasonsInLog() {
        try {
            return Files.readAllLines(folder.resolve("a.out")).stream()
                    .filter(text -> text.contains("[upstream]") && text.contains("not HTTP/1.1: "))
                    .count();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Guards against a caller that gets an invalid status. */
    @Test
    void statusThatIsNoneIsALoss() throws IOException {
        for (String broken : List.of("HTTP/1.1 000 Zero", "HTTP/1.1 99", "HTTP/1.1 +200 OK", "HTTP/2.0 200 OK")) {
            assertLost(broken, "");
        }
    }

    /** Guards against a field that the upstream didn't send, and against a second run of a request that has run. */
    @Test
    void fieldWhoseNameIsNoneIsALoss() throws IOException {
        for (String broken : List.of(
                "X Foo: 1",
                "X-Foo : 1",
                "X-Foo <\u0001>: 1",
                "Content-Length X: 2",
                UpstreamHeaders.REQUEST + " Y: other")) {
            assertLost(OK, broken + "\r\n");
        }
        assertLost("HTTP/1.1 503 Full", UpstreamHeaders.ADMISSION + " Y: refused\r\n");
        assertLost("HTTP/1.1 503 Full", UpstreamHeaders.ADMISSION + " : refused\r\n");
        assertLost("HTTP/1.1 503 Full", "X-Text: a\r\n " + UpstreamHeaders.ADMISSION + ": refused\r\n");
        assertLost(OK, UpstreamHeaders.LEAVING + " Y: 1\r\n");
        assertLost(OK, UpstreamHeaders.LOAD_RUNNING + " Y: 9000\r\n");
    }

    /** Guards against a connection that carries further requests behind bytes that were no answer. */
    @Test
    void connectionOfABrokenHeadIsNotUsedAgain() throws IOException {
        assertThat(send()).startsWith(OK).endsWith("done");
        assertLost(OK, "X Foo: 1\r\n");
        line = "";
        statusLine = OK;
        assertThat(send()).startsWith(OK).endsWith("done");
        assertThat(connections).hasValue(2);
    }
}
