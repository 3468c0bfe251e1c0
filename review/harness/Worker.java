import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound worker: runs requests that are meant for it in its slots, each for its work time, and answers with its seal and
 * the length and the checksum of the body that it has read. It rejects what finds it full, and says so.
 */
final class Worker implements AutoCloseable {
    private static final int QUEUE = 24;

    final String id;
    final int slots;
    private final long workMillis;
    private final Record record;
    private final ServerSocket server;
    private final Semaphore running;
    private final AtomicInteger inside = new AtomicInteger();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final long born = System.currentTimeMillis();
    private volatile boolean closed;
    volatile Listener listener = (requestId, phase) -> {};

    /** Is told of each phase of a request: "arrives", "runs", "ends", "cut" or "rejected". */
    interface Listener {
        void onPhase(String requestId, String phase);
    }

    Worker(String id, String ip, int slots, long workMillis, Record record) throws IOException {
        this.id = id;
        this.slots = slots;
        this.workMillis = workMillis;
        this.record = record;
        running = new Semaphore(slots, true);
        server = new ServerSocket(0, 200, InetAddress.getByName(ip));
        daemon(this::accept, "worker-" + id);
    }

    static void daemon(Runnable action, String name) {
        Thread thread = new Thread(action, name);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    long born() {
        return born;
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = server.accept();
                connections.add(socket);
                daemon(() -> serve(socket), "connection of " + id);
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        String request = "";
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = Http.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                byte[] body = Http.readBody(in, head);
                request = head.header("X-Request-Id");
                answer(out, head, body);
                request = "";
            }
        } catch (IOException | RuntimeException exception) {
            if (!request.isEmpty()) {
                phase(request, "cut");
            }
        } finally {
            connections.remove(socket);
        }
    }

    private void phase(String request, String phase) {
        record.add("worker " + id + ": " + request + " " + phase);
        listener.onPhase(request, phase);
    }

    private void answer(OutputStream out, Http.Head head, byte[] body) throws IOException {
        String request = head.header("X-Request-Id");
        if (head.path().equals("/health")) {
            write(out, "200 OK", "X-Instance-Id: " + id, "");
            return;
        }
        phase(request, "arrives");
        String expected = head.header("X-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            phase(request, "rejected");
            write(out, "421 Misdirected Request", "X-Request-Id: " + request + "\r\nX-Not-Executed: 1", "");
            return;
        }
        if (inside.incrementAndGet() > slots + QUEUE) {
            inside.decrementAndGet();
            phase(request, "rejected");
            write(out, "503 Service Unavailable", "X-Request-Id: " + request + "\r\nX-Not-Executed: 1", "");
            return;
        }
        try {
            running.acquireUninterruptibly();
            phase(request, "runs");
            Fleet.sleep(workMillis);
            running.release();
        } finally {
            inside.decrementAndGet();
        }
        if (closed) {
            throw new IOException("ended");
        }
        java.util.zip.CRC32 checksum = new java.util.zip.CRC32();
        checksum.update(body);
        phase(request, "ends");
        write(out, "200 OK", "X-Request-Id: " + request + "\r\nX-Response-Seal: seal." + id + "." + request,
                id + " has read " + body.length + " " + checksum.getValue());
    }

    private static void write(OutputStream out, String status, String headers, String body) throws IOException {
        out.write(("HTTP/1.1 " + status + "\r\n" + headers + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Ends the worker: its connections are cut. */
    @Override
    public void close() {
        closed = true;
        try {
            server.close();
            for (Socket socket : connections) {
                socket.close();
            }
        } catch (IOException exception) {
            record.add("worker " + id + " could not be closed: " + exception);
        }
    }
}
