package org.radishspur.node.upstream;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Sends requests, some of them more than once, to an upstream that sends responses a second time, late: where the response
 * to a later request on the connection is due. Each response names the sending that it answers.
 */
class RepeatedResponseTest {
    private static final long LIMIT_SECONDS = 20;

    /** Guards against the late copy of a response that is taken for the response to another sending of the same request. */
    @Test
    void isNotTakenForTheResponseToALaterSending() throws Exception {
        try (Upstream upstream = new Upstream(1, 0, 1);
                Caller caller = new Caller(upstream)) {
            for (int sending = 1; sending <= 5; sending++) {
                assertThat(caller.send("r1", sending)).isEqualTo("answer " + sending);
            }
        }
    }

    /** Guards against a new connection for each request that a sound upstream makes its caller send again. */
    @Test
    void costsNoConnectionsWhereResponsesComeOnce() throws Exception {
        try (Upstream upstream = new Upstream(0, 0, 1);
                Caller caller = new Caller(upstream)) {
            for (int request = 1; request <= 20; request++) {
                caller.send("r" + request, 1);
                caller.send("r" + request, 2);
            }
            assertThat(upstream.connections.get()).isEqualTo(2);
        }
    }

    /** Guards against a copy of a response without an identifier, which could belong to any later request. */
    @Test
    void isNotTakenForAnotherWhereItNamesNoRequest() throws Exception {
        try (Upstream upstream = new Upstream(1, 1, 1);
                Caller caller = new Caller(upstream)) {
            assertThat(caller.send("r1", 1)).isEqualTo("answer 1");
            assertThat(caller.send("r2", 2)).isEqualTo("answer 2");
        }
    }

    /** Guards against the late copy of an earlier response that answers a request which has no identifier to compare. */
    @Test
    void isNotTakenForTheResponseToARequestWithoutAnIdentifier() throws Exception {
        try (Upstream upstream = new Upstream(1, 0, 1);
                Caller caller = new Caller(upstream)) {
            assertThat(caller.send("r1", 1)).isEqualTo("answer 1");
            assertThat(caller.send("", 2)).isEqualTo("answer 2");
        }
    }

    /** Guards against a connection that carries so many requests that what it remembers of them fills the memory. */
    @Test
    void isDistinguishedOnAConnectionThatIsReplacedInTime() throws Exception {
        try (Upstream upstream = new Upstream(0, 0, 1);
                Caller caller = new Caller(upstream)) {
            for (int request = 0; request <= SentRequests.MAX_REQUESTS; request++) {
                caller.send("r" + request, request);
            }
            assertThat(upstream.connections.get()).isEqualTo(2);
        }
    }

    /** Guards against a caller that gives all of its requests one identifier and fills an upstream with idle connections. */
    @Test
    void leavesNoIdleConnectionForEachRequestWithTheSameIdentifier() throws Exception {
        try (Upstream upstream = new Upstream(0, 0, 1);
                Caller caller = new Caller(upstream)) {
            for (int request = 0; request < 40; request++) {
                caller.send("r1", request);
            }
            assertThat(upstream.open.get()).isLessThanOrEqualTo(4);
        }
    }

    /** Guards against responses that reach another sending, in any order of copies, identifiers and connections. */
    @Property(tries = 25, seed = "79")
    void neverReachesAnotherSending(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) throws Exception {
        Random random = new Random(seed);
        double unnamed = random.nextInt(4) == 0 ? 0.2 : 0;
        int sending = 0;
        try (Upstream upstream = new Upstream(random.nextDouble(), unnamed, seed);
                Caller caller = new Caller(upstream)) {
            for (int round = 0; round < 25; round++) {
                List<RecordedExchange> exchanges = new ArrayList<>();
                int first = sending + 1;
                for (int number = random.nextInt(4); number >= 0; number--) {
                    exchanges.add(caller.begin("r" + random.nextInt(6), ++sending));
                }
                for (int number = 0; number < exchanges.size(); number++) {
                    assertThat(Caller.await(exchanges.get(number))).isEqualTo("answer " + (first + number));
                }
            }
        }
    }

    /** Sends requests on connections of its own. */
    private static final class Caller implements AutoCloseable {
        private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        private final EventLoop loop = loops.next();
        private final UpstreamConnections connections = new UpstreamConnections(loop, 1_000, 10_000);
        private final Upstream upstream;

        Caller(Upstream upstream) {
            this.upstream = upstream;
        }

        RecordedExchange begin(String id, int sending) {
            RecordedExchange exchange = new RecordedExchange(loop, connections, id, sending, 0);
            exchange.open(upstream.address());
            return exchange;
        }

        String send(String id, int sending) throws Exception {
            return await(begin(id, sending));
        }

        static String await(RecordedExchange exchange) throws Exception {
            return exchange.body.get(LIMIT_SECONDS, TimeUnit.SECONDS);
        }

        @Override
        public void close() {
            loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    /** Answers requests with the number of their sending, and repeats earlier responses of the same connection first. */
    private static final class Upstream implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final AtomicInteger connections = new AtomicInteger();
        private final AtomicInteger open = new AtomicInteger();
        private final double repeatedShare;
        private final double unnamedShare;
        private final long seed;

        Upstream(double repeatedShare, double unnamedShare, long seed) throws IOException {
            this.repeatedShare = repeatedShare;
            this.unnamedShare = unnamedShare;
            this.seed = seed;
            startThread(this::accept);
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        private static void startThread(Runnable action) {
            Thread thread = new Thread(action, "upstream");
            thread.setDaemon(true);
            thread.start();
        }

        private void accept() {
            try {
                while (true) {
                    Socket connection = server.accept();
                    Random random = new Random(seed + connections.incrementAndGet());
                    startThread(() -> serve(connection, random));
                }
            } catch (IOException exception) {
                // The test has ended and closed the socket.
            }
        }

        private void serve(Socket connection, Random random) {
            List<String> earlier = new ArrayList<>();
            open.incrementAndGet();
            try (connection) {
                BufferedReader requests = new BufferedReader(
                        new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
                for (String response = answer(requests, random);
                        response != null;
                        response = answer(requests, random)) {
                    boolean repeated = !earlier.isEmpty() && random.nextDouble() < repeatedShare;
                    String copy = repeated ? earlier.get(random.nextInt(earlier.size())) : "";
                    earlier.add(response);
                    connection.getOutputStream().write((copy + response).getBytes(StandardCharsets.US_ASCII));
                }
            } catch (IOException exception) {
                // The caller has closed the connection.
            } finally {
                open.decrementAndGet();
            }
        }

        /** Reads a request and returns its response, or null where the connection has ended. */
        private String answer(BufferedReader requests, Random random) throws IOException {
            String id = "";
            String sending = "";
            for (String line = requests.readLine(); line != null; line = requests.readLine()) {
                if (line.startsWith(RecordedExchange.ID_HEADER + ": ")) {
                    id = line + "\r\n";
                } else if (line.startsWith(RecordedExchange.SENDING_HEADER + ": ")) {
                    sending = "answer " + line.substring(RecordedExchange.SENDING_HEADER.length() + 2);
                } else if (line.isEmpty()) {
                    String named = random.nextDouble() < unnamedShare ? "" : id;
                    return "HTTP/1.1 200 OK\r\n" + named + "Content-Length: " + sending.length() + "\r\n\r\n" + sending;
                }
            }
            return null;
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }
}
