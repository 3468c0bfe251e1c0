package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what a run has sent, answered and run, with the time since its start in milliseconds. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        out.println(String.format(Locale.ROOT, "%7d ", millis()) + String.format(Locale.ROOT, format, values));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
