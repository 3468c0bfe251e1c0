package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes HTTP/1.1 messages on sockets. */
final class Http {
    private Http() {}

    /** A message: its first line, its headers by lower-case name, and its body. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Sends one request on a new connection, and returns the answer. */
    static Message send(String address, String method, String target, Map<String, String> headers, byte[] body, int timeoutMillis)
            throws IOException {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 1_000);
            socket.getOutputStream().write(encodeRequest(address, method, target, headers, body));
            return read(new BufferedInputStream(socket.getInputStream()), true);
        }
    }

    static byte[] encodeRequest(String host, String method, String target, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(method + ' ' + target + " HTTP/1.1\r\n");
        if (!headers.containsKey("Host")) {
            head.append("Host: ").append(host).append("\r\n");
        }
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body.length > 0 || !method.equals("GET")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        return join(head.append("\r\n").toString(), body);
    }

    static byte[] encodeAnswer(int status, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        return join(head.toString(), body);
    }

    private static byte[] join(String head, byte[] body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
        bytes.writeBytes(body);
        return bytes.toByteArray();
    }

    /** Reads a message; returns null where the connection ends before one begins. */
    static Message read(InputStream in, boolean answer) throws IOException {
        String first = readLine(in);
        if (first == null) {
            if (answer) {
                throw new EOFException("no answer");
            }
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        return new Message(first, headers, readBody(in, headers, answer));
    }

    private static byte[] readBody(InputStream in, Map<String, String> headers, boolean answer) throws IOException {
        if (headers.containsKey("content-length")) {
            return readFully(in, Integer.parseInt(headers.get("content-length")));
        }
        if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
                body.writeBytes(readFully(in, size));
                readLine(in);
                if (size == 0) {
                    return body.toByteArray();
                }
            }
        }
        return answer ? in.readAllBytes() : new byte[0];
    }

    private static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the body ends early");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int value = in.read(); value >= 0; value = in.read()) {
            if (value == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(value);
        }
        return null;
    }
}
