package org.radishspur.testkit.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * Accepts connections on the loopback address, and serves each on a thread of its own.
 */
final class ConnectionServer implements AutoCloseable {
    private static final int BACKLOG = 50;

    private final ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final Handler handler;

    ConnectionServer(Handler handler) throws IOException {
        this.handler = handler;
        startThread(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private static void startThread(Runnable action) {
        Thread thread = new Thread(action, "connection-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                startThread(() -> serve(socket));
            }
        } catch (IOException exception) {
            // The server was closed.
        }
    }

    private void serve(Socket accepted) {
        try (Socket socket = accepted) {
            handler.serve(socket);
        } catch (IOException exception) {
            // The other end has closed the connection.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /** Serves connections. */
    interface Handler {
        /** Serves a connection, which is closed at the end. */
        void serve(Socket socket) throws IOException;
    }
}
