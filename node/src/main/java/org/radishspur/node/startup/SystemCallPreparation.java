package org.radishspur.node.startup;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;

import org.radishspur.node.log.ComponentLog;

/**
 * Makes the system calls on sockets and on the data folder that threads of the process will share with calls on files
 * of the host.
 *
 * <p>A platform that simulates sockets and data folders may rewrite a function of the C library when a process calls it
 * for one of them. The process aborts in native code if another of its threads is in that function then, for example
 * because it reads a file of the host. While the process has one thread of its own, no other one is in the function.
 */
public enum SystemCallPreparation {
    /** The only instance; it keeps no state. */
    INSTANCE;

    /** The number of calls of each function; the platform doesn't state how many calls it takes. */
    private static final int CALLS = 8;

    /**
     * Makes the calls, and loads the native libraries of sockets. Must be called before the process starts threads.
     *
     * @param dataFolder the data folder, if the process has one; it is created if it doesn't exist.
     */
    public void prepare(Optional<Path> dataFolder) {
        callOnSockets();
        if (dataFolder.isPresent()) {
            callOnFolder(dataFolder.get());
        }
    }

    private static void callOnSockets() {
        try (Selector selector = Selector.open()) {
            for (int call = 0; call < CALLS; call++) {
                openAndClose();
                // Writes to the file descriptor that wakes the selector, and reads from it.
                selector.wakeup();
                selector.selectNow();
            }
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static void openAndClose() throws IOException {
        try (ServerSocketChannel server = ServerSocketChannel.open();
                SocketChannel client = SocketChannel.open()) {
            server.configureBlocking(false);
            client.configureBlocking(false);
        }
    }

    /**
     * Makes the calls on the folder itself, so that they need no file and leave none. If the folder can't be used, the
     * recovery of the state reports it.
     */
    private static void callOnFolder(Path folder) {
        try {
            Files.createDirectories(folder);
            for (int call = 0; call < CALLS; call++) {
                Files.exists(folder);
                Files.isDirectory(folder);
                listFolder(folder);
                readFolder(folder);
            }
        } catch (IOException | DirectoryIteratorException exception) {
            ComponentLog.NODE.error("The data folder can't be used.", exception);
        }
    }

    private static void listFolder(Path folder) throws IOException {
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            files.iterator().hasNext();
        }
    }

    private static void readFolder(Path folder) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(1);
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.size();
            channel.position();
            read(channel, buffer);
            readAtStart(channel, buffer);
        }
    }

    private static void read(FileChannel folder, ByteBuffer buffer) {
        try {
            folder.read(buffer);
        } catch (IOException exception) {
            // A folder can't be read, but the call has been made.
        }
    }

    private static void readAtStart(FileChannel folder, ByteBuffer buffer) {
        try {
            folder.read(buffer, 0);
        } catch (IOException exception) {
            // A folder can't be read, but the call has been made.
        }
    }
}
