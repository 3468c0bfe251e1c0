package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Semaphore;

/**
 * A sound worker of a plain service: it runs as many requests at once as it has slots, checks X-Expect-Instance, and
 * answers with its seal. Its behaviour states how long it works on a request and whether it fails it.
 */
final class Worker implements AutoCloseable {
    private final String id;
    private final String version;
    private final int slots;
    private final Behaviour behaviour;
    private final RunListener listener;
    private final Semaphore free;
    private final Server server;

    Worker(String ip, String id, String version, int slots, Behaviour behaviour, RunListener listener)
            throws IOException {
        this.id = id;
        this.version = version;
        this.slots = slots;
        this.behaviour = behaviour;
        this.listener = listener;
        free = new Semaphore(slots, true);
        server = new Server(ip, this::handle);
    }

    String id() {
        return id;
    }

    String version() {
        return version;
    }

    String address() {
        return server.address();
    }

    /** Returns the entry of this worker in the platform's list. */
    String listEntry(String service, String zone, String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"" + version + "\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"coldLeftMs\":0,\"id\":\"" + id + "\"}";
    }

    private void handle(Http.Message request, OutputStream out) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        if (request.target().equals("/health")) {
            headers.put("X-Instance-Id", id);
            out.write(Http.encodeAnswer(200, headers, new byte[0]));
            return;
        }
        String requestId = request.header("X-Request-Id");
        headers.put("X-Request-Id", requestId);
        String expected = request.header("X-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            out.write(Http.encodeAnswer(421, headers, new byte[0]));
            return;
        }
        free.acquireUninterruptibly();
        int running = slots - free.availablePermits();
        boolean failed = behaviour.fails(request, running);
        try {
            listener.onRun(this, request, failed);
            Thread.sleep(behaviour.workMillis(running));
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } finally {
            free.release();
        }
        headers.put("X-Response-Seal", id + '.' + requestId);
        byte[] body = ("answer of " + id + " to " + requestId).getBytes(StandardCharsets.UTF_8);
        out.write(Http.encodeAnswer(failed ? behaviour.failureStatus() : 200, headers, body));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /** How a worker runs a request beside the others that it runs, itself included. */
    interface Behaviour {
        long workMillis(int running);

        default boolean fails(Http.Message request, int running) {
            return false;
        }

        default int failureStatus() {
            return 500;
        }
    }

    /** Is told of each request that a worker begins to run. */
    interface RunListener {
        void onRun(Worker worker, Http.Message request, boolean failed);
    }
}
