import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads messages of HTTP/1.1. */
final class Http {
    private Http() {}

    /** The first line and the headers of a message, by lower-case names. */
    record Head(String firstLine, Map<String, String> headers) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return firstLine.substring(0, firstLine.indexOf(' '));
        }

        String path() {
            return firstLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }
    }

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 16_384);
    }

    /** Reads a head, or returns null where the connection ends before it. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        return new Head(first, headers);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended inside a head");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a body of a stated length or in chunks; throws where it isn't complete. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        if (head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new EOFException("the connection ended inside a body");
                }
                int count = Integer.parseInt(size.strip(), 16);
                body.write(readFully(in, count));
                readLine(in);
                if (count == 0) {
                    return body.toByteArray();
                }
            }
        }
        String length = head.header("Content-Length");
        return length.isEmpty() ? new byte[0] : readFully(in, Integer.parseInt(length));
    }

    private static byte[] readFully(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the connection ended inside a body");
        }
        return bytes;
    }
}
