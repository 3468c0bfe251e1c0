import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run into the record of a case, with the time since its start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void add(String text) {
        out.println(String.format("%8.3f s  %s", seconds(), text));
        out.flush();
    }

    @Override
    public void close() {
        out.close();
    }
}
