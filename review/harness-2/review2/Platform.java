package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** The platform's list of workers, on one page. */
final class Platform implements AutoCloseable {
    private final Server server;
    private final Supplier<List<String>> entries;

    Platform(String ip, Supplier<List<String>> entries) throws IOException {
        this.entries = entries;
        server = new Server(ip, this::handle);
    }

    String address() {
        return server.address();
    }

    private void handle(Http.Message request, OutputStream out) throws IOException {
        String body = "{\"instances\":[" + String.join(",", entries.get()) + "],\"next\":null}";
        out.write(Http.encodeAnswer(
                200, Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8)));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
