package org.radishspur.testkit.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Allocates each port of the loopback address at most once, from below the range that the system uses for ephemeral
 * ports.
 *
 * <p>An ephemeral port that was obtained from the system and closed again may be given to another process before the
 * intended one listens on it. A test run reserves a block of ports by listening on the first port of the block, so that
 * concurrent test runs use different ports.
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
     * Returns a port on which no process listens and that this method hasn't returned before.
     *
     * @return the port.
     * @throws IllegalStateException if no block is free, or no port is left in the block.
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
                        .log(System.Logger.Level.INFO, "Port " + lastPort + " is in use; trying the next one.");
            }
        }
        throw new IllegalStateException("no free port is left in the block");
    }

    private static ServerSocket reserveBlock() {
        for (int port = FIRST_PORT; port < END_PORT; port += BLOCK_SIZE) {
            try {
                return listen(port);
            } catch (IOException exception) {
                System.getLogger(TestPorts.class.getName())
                        .log(System.Logger.Level.INFO, "Port block " + port + " is in use; trying the next one.");
            }
        }
        throw new IllegalStateException("no block of ports is free");
    }

    private static ServerSocket listen(int port) throws IOException {
        return new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
    }
}
