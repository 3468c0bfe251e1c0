package org.radishspur.testkit.process;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.radishspur.model.table.PoolKind;
import org.radishspur.testkit.upstream.StandInUpstream;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Sends malformed, oversized and unusually timed input to a node, as a caller and as a peer.
 */
class BadInputTest {
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final String ORGANISATION_HEADER = "Radishspur-Organisation: o\r\n";

    @TempDir
    static Path folder;

    private static ProcessCluster cluster;

    @BeforeAll
    static void start() {
        cluster = new ProcessCluster(folder);
        cluster.installTables(
                List.of(cluster.startUpstream("engine", PoolKind.ENGINE, 100)),
                List.of(cluster.startUpstream("service", PoolKind.SERVICE, 100)));
    }

    @AfterAll
    static void stop() {
        cluster.close();
    }

    private static String exchange(int port, byte[] bytes) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            OutputStream out = socket.getOutputStream();
            out.write(bytes);
            out.flush();
            return readResponse(socket.getInputStream());
        }
    }

    /** Reads until the connection is closed, a problem or a chunked answer is complete, or no data arrives in time. */
    private static String readResponse(InputStream in) throws IOException {
        StringBuilder response = new StringBuilder();
        byte[] buffer = new byte[4_096];
        try {
            int count = in.read(buffer);
            while (count >= 0) {
                response.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
                if (response.indexOf("retry-after-millis") > 0 || response.indexOf("\r\n0\r\n") > 0) {
                    break;
                }
                count = in.read(buffer);
            }
        } catch (SocketTimeoutException exception) {
            response.append("[timeout]");
        }
        return response.toString();
    }

    private static void assertServesRequests() throws IOException {
        String request = "POST /stream HTTP/1.1\r\nHost: h\r\n" + ORGANISATION_HEADER + "Content-Length: 2\r\n\r\nhi";
        assertThat(exchange(cluster.callerPort("a"), request.getBytes(StandardCharsets.ISO_8859_1)))
                .contains("200 OK")
                .contains(StandInUpstream.tokenEvent("hi", 0).strip());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "NOT HTTP AT ALL | malformed-request",
                "GET /nowhere HTTP/1.1;Host: h;Radishspur-Organisation: o | unknown-route",
                "GET /stream HTTP/1.1;Host: h | organisation-required",
                "GET /stream HTTP/1.1;Host: h;Radishspur-Organisation: bad organisation! | bad-header",
                "GET /stream HTTP/1.1;Host: h;Radishspur-Organisation: o;Radishspur-Deadline-Millis: soon | bad-header",
                "GET /stream HTTP/1.1;Host: h;Radishspur-Organisation: o;Radishspur-Deadline-Millis: -5 | bad-header",
                "GET /stream HTTP/1.1;Host: h;Radishspur-Organisation: o;Radishspur-Tier: vip | bad-header",
                "POST /stream HTTP/1.1;Host: h;Radishspur-Organisation: o;Content-Length: 99999999 | body-too-large",
                "POST /stream HTTP/1.1;Host: h;Radishspur-Organisation: o;Content-Length: x | malformed-request",
                "POST /stream HTTP/1.1;Host: h;Radishspur-Organisation: o;Content-Length: 1;Content-Length: 2"
                        + " | malformed-request",
                "GET /str\u0001eam HTTP/1.1;Host: h;Radishspur-Organisation: o | malformed-request",
                "GET /stream?\u00e9 HTTP/1.1;Host: h;Radishspur-Organisation: o | malformed-request",
                "GET /stream HTTP/2.0;Host: h;Radishspur-Organisation: o | malformed-request",
                "POST /stream HTTP/1.1;Host: h;Radishspur-Organisation: o;Transfer-Encoding: gzip, chunked"
                        + " | malformed-request",
                "GET /stream HTTP/1.1;Host: h;Radishspur-Organisation: o;X Foo: 1 | malformed-request",
            })
    void anInvalidRequestIsAnsweredWithATypedProblem(String lines, String code) throws IOException {
        String request = lines.replace(";", "\r\n") + "\r\n\r\n";
        String answer = exchange(cluster.callerPort("a"), request.getBytes(StandardCharsets.ISO_8859_1));
        assertThat(answer).contains("\"code\":\"" + code + "\"").contains("\"run\":\"not-run\"");
        assertThat(cluster.getAdmin("a", "/metrics")).containsPattern("refusals\\." + code + "\":\\{\"count\":[1-9]");
        assertServesRequests();
    }

    @Test
    void oversizedHeadersAreAnsweredWithATypedProblem() throws IOException {
        String request = "GET /stream HTTP/1.1\r\nHost: h\r\nX: " + "x".repeat(40_000) + "\r\n\r\n";
        assertThat(exchange(cluster.callerPort("a"), request.getBytes(StandardCharsets.ISO_8859_1)))
                .contains("headers-too-large");
        assertServesRequests();
    }

    /** Guards against a request that hangs until its deadline because its body arrives later than its headers. */
    @Test
    void aRequestWhoseBodyArrivesAfterItsHeadersIsAnswered() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", cluster.callerPort("b"))) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            OutputStream out = socket.getOutputStream();
            out.write(("POST /stream HTTP/1.1\r\nHost: h\r\n" + ORGANISATION_HEADER + "Content-Length: 4\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            java.util.concurrent.locks.LockSupport.parkNanos(100_000_000L);
            out.write("late".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            assertThat(readResponse(socket.getInputStream()))
                    .contains(StandInUpstream.tokenEvent("late", 0).strip());
        }
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws IOException {
        String one = "POST /stream HTTP/1.1\r\nHost: h\r\n" + ORGANISATION_HEADER + "Content-Length: 3\r\n\r\none";
        String two = "POST /stream HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + ORGANISATION_HEADER
                + "Content-Length: 3\r\n\r\ntwo";
        try (Socket socket = new Socket("127.0.0.1", cluster.callerPort("c"))) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write((one + two).getBytes(StandardCharsets.ISO_8859_1));
            String answers = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            int first = answers.indexOf(StandInUpstream.tokenEvent("one", 0).strip());
            int second = answers.indexOf(StandInUpstream.tokenEvent("two", 0).strip());
            assertThat(first).isPositive();
            assertThat(second).isGreaterThan(first);
        }
    }

    @Test
    void aPeerWithoutTheSharedKeyIsRefusedAndCounted() throws IOException {
        byte[] frame = {0, 0, 0, 5, (byte) 0x81, (byte) 0xa1, 't', (byte) 0xa1, 'x'};
        exchange(cluster.peerPort("a"), frame);
        assertThat(cluster.getAdmin("a", "/metrics"))
                .containsPattern("errors\\.(frame-invalid|peer-refused)\":\\{\"count\":[1-9]");
        assertServesRequests();
    }

    @Test
    void anOversizedFrameIsRefusedAndCounted() throws IOException {
        exchange(cluster.peerPort("b"), new byte[] {0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 1, 2, 3});
        assertThat(cluster.getAdmin("b", "/metrics")).containsPattern("errors\\.frame-invalid\":\\{\"count\":[1-9]");
        assertServesRequests();
    }
}
