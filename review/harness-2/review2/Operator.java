package review2;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** Sends an operator's calls: follows a redirect twice, and moves on to another node after a failure. */
final class Operator {
    private static final int TRIES = 40;

    private final List<String> controls;
    private final Record record;
    private int next;

    Operator(List<String> controls, Record record) {
        this.controls = controls;
        this.record = record;
    }

    /** Sends a call until it gets a clear answer, and returns that. */
    Http.Message call(String method, String path, byte[] body) throws InterruptedException {
        for (int attempt = 0; attempt < TRIES; attempt++) {
            String address = controls.get(next++ % controls.size());
            try {
                Http.Message answer = follow(address, method, path, body);
                int status = answer.status();
                if (status < 500 && status != 408 && status != 429 && status != 307) {
                    record.line("operator %s %s answered %d", method, path, status);
                    return answer;
                }
            } catch (IOException exception) {
                // The next node may answer.
            }
            Thread.sleep(Math.min(500, 50L * (attempt + 1)));
        }
        throw new IllegalStateException(method + ' ' + path + " got no clear answer");
    }

    Http.Message call(String method, String path, String body) throws InterruptedException {
        return call(method, path, body.getBytes(StandardCharsets.UTF_8));
    }

    private static Http.Message follow(String address, String method, String path, byte[] body) throws IOException {
        Http.Message answer = send(address, method, path, body);
        for (int redirects = 0; redirects < 2 && answer.status() == 307; redirects++) {
            String location = answer.header("Location").substring("http://".length());
            answer = send(location.substring(0, location.indexOf('/')), method, location.substring(location.indexOf('/')), body);
        }
        return answer;
    }

    private static Http.Message send(String address, String method, String path, byte[] body) throws IOException {
        return Http.send(address, method, path, Map.of("Content-Type", "application/json"), body, 1_000);
    }
}
