package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Accepts connections and serves the requests on each, one at a time, on a thread of its own. */
final class Server implements AutoCloseable {
    private final ServerSocket listener;
    private final Handler handler;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    Server(String ip, Handler handler) throws IOException {
        this.handler = handler;
        listener = new ServerSocket(0, 512, InetAddress.getByName(ip));
        start(this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ':' + listener.getLocalPort();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                connections.add(socket);
                start(() -> serve(socket));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message request = Http.read(in, false); request != null; request = Http.read(in, false)) {
                handler.handle(request, socket.getOutputStream());
            }
        } catch (IOException exception) {
            // The other end has closed the connection.
        } finally {
            connections.remove(socket);
        }
    }

    private static void start(Runnable action) {
        Thread thread = new Thread(null, action, "stand-in", 256 << 10);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : connections) {
            socket.close();
        }
    }

    /** Answers one request. */
    interface Handler {
        void handle(Http.Message request, OutputStream out) throws IOException;
    }
}
