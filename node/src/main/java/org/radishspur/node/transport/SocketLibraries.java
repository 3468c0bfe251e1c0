package org.radishspur.node.transport;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * Loads the native libraries of sockets.
 */
public enum SocketLibraries {
    /** The only instance; it keeps no state. */
    INSTANCE;

    /**
     * Opens and closes a channel of each kind, which loads the libraries. Must be called before the process starts its
     * event loops.
     *
     * <p>The virtual machine reads files to load a library. A process aborts in native code if a platform that rewrites
     * system calls in place does so while one thread reads a file and an event loop reads its sockets.
     */
    public void load() {
        try (Selector selector = Selector.open();
                ServerSocketChannel server = ServerSocketChannel.open();
                SocketChannel client = SocketChannel.open()) {
            server.configureBlocking(false);
            client.configureBlocking(false);
            selector.selectNow();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
