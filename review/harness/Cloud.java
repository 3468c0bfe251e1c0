import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.function.Supplier;

/** The platform's list of instances, on one page. */
final class Cloud implements AutoCloseable {
    private final HttpServer server;
    private final String address;
    volatile long lastReadNanos;
    volatile int reads;

    Cloud(String ip, Supplier<byte[]> page) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, 0), 64);
        address = ip + ":" + server.getAddress().getPort();
        server.setExecutor(Executors.newFixedThreadPool(4, task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/instances", exchange -> {
            byte[] bytes = page.get();
            lastReadNanos = System.nanoTime();
            reads++;
            exchange.getResponseHeaders().add("Content-Type", "application/json");
            exchange.sendResponseHeaders(200, bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        });
        server.start();
    }

    static byte[] page(String entries) {
        return ("{\"instances\":[" + entries + "],\"next\":null}").getBytes(StandardCharsets.UTF_8);
    }

    static String entry(String id, String service, String address, String zone, int slots, String state, long born) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"coldLeftMs\":0,\"born\":" + born + ",\"id\":\"" + id + "\"}";
    }

    String address() {
        return address;
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
