import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The operator: sends an order to one control host after the other until it is acknowledged or refused, follows a
 * redirection twice, and moves on after a failure, a 5xx, a 408 or 429, or a time without an answer.
 */
final class Operator {
    private final List<String> addresses;
    private int next;

    Operator(List<String> addresses) {
        this.addresses = addresses;
    }

    /** What a call was answered; status 0 stands for no clear answer. */
    record Reply(int status, String body, String location) {}

    /** Sends an order until it has a clear answer or the time is over. */
    Reply order(String method, String path, String body, long maxMillis, int timeoutMillis) {
        long until = System.nanoTime() + maxMillis * 1_000_000;
        Reply last = new Reply(0, "", "");
        long pause = 50;
        while (System.nanoTime() < until) {
            last = call(addresses.get(Math.floorMod(next, addresses.size())), method, path, body, timeoutMillis, 2);
            if (last.status() >= 200 && last.status() < 300
                    || last.status() >= 400 && last.status() < 500 && last.status() != 408 && last.status() != 429) {
                return last;
            }
            next++;
            Fleet.sleep(pause);
            pause = Math.min(800, pause * 2);
        }
        return last;
    }

    Reply call(String address, String method, String path, String body, int timeoutMillis, int redirections) {
        Reply reply = callOnce(address, method, path, body, timeoutMillis);
        if (reply.status() == 307 && redirections > 0 && reply.location().startsWith("http://")) {
            String rest = reply.location().substring("http://".length());
            int slash = rest.indexOf('/');
            return call(rest.substring(0, slash), method, rest.substring(slash), body, timeoutMillis, redirections - 1);
        }
        return reply;
    }

    static Reply callOnce(String address, String method, String path, String body, int timeoutMillis) {
        int colon = address.indexOf(':');
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(timeoutMillis);
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    1_000);
            byte[] content = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + address
                    + "\r\nContent-Type: application/json\r\nContent-Length: " + content.length
                    + "\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().write(content);
            socket.getOutputStream().flush();
            InputStream in = socket.getInputStream();
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            in.transferTo(all);
            return parse(all.toString(StandardCharsets.UTF_8));
        } catch (IOException | RuntimeException exception) {
            return new Reply(0, exception.toString(), "");
        }
    }

    private static Reply parse(String text) {
        int end = text.indexOf("\r\n\r\n");
        if (end < 0) {
            return new Reply(0, text, "");
        }
        String location = "";
        for (String line : text.substring(0, end).split("\r\n")) {
            if (line.toLowerCase().startsWith("location:")) {
                location = line.substring("location:".length()).strip();
            }
        }
        return new Reply(Integer.parseInt(text.substring(9, 12)), text.substring(end + 4), location);
    }
}
