import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Sends unsafe requests to a worker that rejects some of them as not executed, and that sends some of its answers a second
 * time, late: at the point where the next answer on the connection is expected. Checks that no request runs more than once,
 * and that none runs that was refused.
 */
public final class LateExtraCase {
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    private static final int WORKERS = 1;

    /** The number of workers that send answers a second time. */
    private static final int FAULTY_WORKERS = 1;

    private static final int SLOTS = 6;
    private static final long WORK_MILLIS = 10;

    /** The share of requests that a worker rejects as not executed; less than x of srv_grey. */
    private static final double REJECTED_SHARE = 0.2;

    /** The share of answers that come a second time: x of garble. */
    private static final double REPEATED_SHARE = 0.03;

    private static final int CALLERS = 3;
    private static final long MAX_SECONDS = 60;
    /** The longest garble of this kind in the site lasts 5 s; it comes again after a second. */
    private static final double GARBLE_SECONDS = 5;

    private static final double GARBLE_PERIOD_SECONDS = 6;
    private static final byte[] BODY = "an approval stamp".repeat(40).getBytes(StandardCharsets.US_ASCII);

    private final Record record;
    private final boolean trouble;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, Integer> statuses = new TreeMap<>();
    private final Set<String> refused = ConcurrentHashMap.newKeySet();
    private final AtomicInteger repeated = new AtomicInteger();
    private volatile boolean ended;

    private LateExtraCase(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result;
        try (Record record = new Record(Path.of(arguments[0]))) {
            result = new LateExtraCase(record, trouble).run();
            record.add(result == HELD ? "the rule held" : result == BROKEN ? "THE RULE WAS BROKEN" : "not run");
        }
        Runtime.getRuntime().halt(result);
    }

    private int run() throws Exception {
        String network = Fleet.randomNetwork();
        List<String> listed = new ArrayList<>();
        for (int number = 0; number < WORKERS; number++) {
            String id = "i-" + number;
            ServerSocket server = new ServerSocket();
            server.bind(new InetSocketAddress(network + (200 + number), 0));
            boolean faulty = number < FAULTY_WORKERS;
            Worker.daemon(() -> accept(server, id, faulty), "worker-" + id);
            String address = network + (200 + number) + ":" + server.getLocalPort();
            long born = System.currentTimeMillis();
            listed.add(Cloud.entry(id, "review-api", address, Fleet.ZONES[number], SLOTS, "ready", born));
        }
        try (Cloud cloud = new Cloud(network + "250", () -> Cloud.page(String.join(",", listed)));
                Fleet fleet = new Fleet(cloud.address(), network, 3, 1);
                Restarts restarts = new Restarts(fleet, record)) {
            Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
            fleet.start();
            restarts.begin();
            String manifest = Manifests.of(1, 0, "\"i9n73hh2b9wu3fexd9dn\"");
            if (new Operator(fleet.seeds).order("PUT", "/config", manifest, 20_000, 3_000).status() != 200) {
                return NOT_RUN;
            }
            String entry = fleet.entries.get(0).ip + ":" + fleet.frontPort;
            if (!awaitServing(entry)) {
                return NOT_RUN;
            }
            List<Thread> callers = new ArrayList<>();
            for (int number = 0; number < CALLERS; number++) {
                int caller = number;
                Thread thread = new Thread(() -> call(caller, entry));
                thread.start();
                callers.add(thread);
            }
            Fleet.sleep(MAX_SECONDS * 1_000);
            ended = true;
            for (Thread thread : callers) {
                thread.join();
            }
            return judge();
        }
    }

    private int judge() {
        long twice = runs.values().stream().filter(count -> count.get() > 1).count();
        long refusedButRun = refused.stream().filter(runs::containsKey).count();
        runs.forEach((request, count) -> {
            if (count.get() > 1) {
                record.add("TWICE: " + request + " ran " + count + " times");
            }
        });
        refused.stream().filter(runs::containsKey).forEach(request -> record.add("REFUSED, BUT RUN: " + request));
        record.add("unsafe requests that ran: " + runs.size() + "; answers that came a second time: " + repeated);
        record.add("how requests ended: " + statuses);
        record.add("unsafe requests that ran more than once: " + twice);
        record.add("unsafe requests that were refused with a promise and ran: " + refusedButRun);
        return twice + refusedButRun > 0 ? BROKEN : HELD;
    }

    private boolean awaitServing(String entry) {
        try (Caller caller = new Caller(entry)) {
            for (int attempt = 0; attempt < 80; attempt++) {
                if (caller.send("GET", "/look/ready", "ready-" + attempt, "", new byte[0], 2_000).status() == 200) {
                    return true;
                }
                Fleet.sleep(100);
            }
            return false;
        }
    }

    private void call(int number, String entry) {
        try (Caller caller = new Caller(entry)) {
            for (int count = 0; !ended; count++) {
                String request = "c" + number + "-" + count;
                Caller.Result result = caller.send("POST", "/file/x", request, "", BODY, 2_500);
                int status = result.status();
                if (status == 503 || status == 429 || status == 408 || status == 421) {
                    refused.add(request);
                }
                record.add("client: " + request + " -> " + status);
                synchronized (statuses) {
                    statuses.merge(String.valueOf(status), 1, Integer::sum);
                }
                Fleet.sleep(5);
            }
        }
    }

    private void accept(ServerSocket server, String id, boolean faulty) {
        Random random = new Random(id.hashCode());
        while (true) {
            try {
                Socket socket = server.accept();
                Worker.daemon(() -> serve(socket, id, faulty, random), "connection of " + id);
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(Socket socket, String id, boolean faulty, Random random) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = Http.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            byte[] extra = null;
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                Http.readBody(in, head);
                if (extra != null) {
                    out.write(extra);
                    out.flush();
                    extra = null;
                }
                byte[] answer = answer(id, head, random);
                out.write(answer);
                out.flush();
                if (trouble && faulty && record.seconds() % GARBLE_PERIOD_SECONDS < GARBLE_SECONDS && random.nextDouble() < REPEATED_SHARE) {
                    repeated.incrementAndGet();
                    extra = answer;
                }
            }
        } catch (IOException | RuntimeException exception) {
            record.add("worker " + id + ": a connection ended: " + exception);
        }
    }

    private byte[] answer(String id, Http.Head head, Random random) {
        if (head.path().equals("/health")) {
            return message("200 OK", "X-Instance-Id: " + id, "");
        }
        String request = head.header("X-Request-Id");
        boolean unsafe = head.method().equals("POST");
        if (unsafe && random.nextDouble() < REJECTED_SHARE) {
            record.add("worker " + id + ": " + request + " is rejected as not executed");
            return message("503 Service Unavailable", "X-Request-Id: " + request + "\r\nX-Not-Executed: 1", "");
        }
        record.add("worker " + id + ": " + request + " runs");
        if (unsafe) {
            runs.computeIfAbsent(request, key -> new AtomicInteger()).incrementAndGet();
        }
        Fleet.sleep(WORK_MILLIS);
        return message(
                "200 OK",
                "X-Request-Id: " + request + "\r\nX-Response-Seal: seal." + id + "." + request,
                "run by " + id);
    }

    private static byte[] message(String status, String headers, String body) {
        return ("HTTP/1.1 " + status + "\r\n" + headers + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII);
    }
}
