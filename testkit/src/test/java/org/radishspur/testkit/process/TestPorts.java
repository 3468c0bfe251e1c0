package org.radishspur.testkit.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Hands out each port once, below the range that the system gives to outgoing connections.
 *
 * <p>A port that was drawn from the system and freed again may be drawn by somebody else before the process that it is meant
 * for listens there. A block of ports belongs to whoever listens on its first one, so that test runs side by side share none.
 */
final class TestPorts {
    private static final int FIRST_PORT = 20_000;
    private static final int END_PORT = 32_000;
    private static final int BLOCK_SIZE = 500;

    private static final TestPorts INSTANCE = new TestPorts();

    private final ServerSocket blockSocket;
    private int lastPort;

    private TestPorts() {
        blockSocket = reserveBlock();
        lastPort = blockSocket.getLocalPort();
    }

    /**
     * Returns a port that nobody listens on and that this process hasn't been given before.
     *
     * @return the port.
     */
    static int next() {
        return INSTANCE.allocate();
    }

    private synchronized int allocate() {
        while (lastPort < blockSocket.getLocalPort() + BLOCK_SIZE - 1) {
            lastPort++;
            try (ServerSocket socket = listen(lastPort)) {
                return socket.getLocalPort();
            } catch (IOException exception) {
                System.getLogger(TestPorts.class.getName())
                        .log(System.Logger.Level.INFO, "Port " + lastPort + " is taken; trying the next.");
            }
        }
        throw new IllegalStateException("all ports of the block are used");
    }

    private static ServerSocket reserveBlock() {
        for (int port = FIRST_PORT; port < END_PORT; port += BLOCK_SIZE) {
            try {
                return listen(port);
            } catch (IOException exception) {
                System.getLogger(TestPorts.class.getName())
                        .log(System.Logger.Level.INFO, "Port block " + port + " is taken; trying the next.");
            }
        }
        throw new IllegalStateException("no block of ports is free");
    }

    private static ServerSocket listen(int port) throws IOException {
        return new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
    }
}
