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
 * Makes the system calls that the platform simulates, on sockets, on the data folder and to wake threads, and that the
 * threads of the process will make beside calls that the host answers.
 *
 * <p>A platform may rewrite a function of the C library when a process first calls it for something simulated. The
 * process aborts in native code if another of its threads is in that function then, for example because it reads a file
 * of the host. While the process has one thread of its own and compiles nothing, no other thread is in the function.
 */
public enum SystemCallPreparation {
    /** The only instance; it keeps no state. */
    INSTANCE;

    /** The number of calls of each function; the platform doesn't state how many calls it takes. */
    private static final int CALLS = 8;

    /** How long the compiler may take for what the start has queued, in milliseconds. */
    private static final long COMPILATION_MILLIS = 10;

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
        awaitCompiler();
        reachSafepoint();
    }

    private static void awaitCompiler() {
        try {
            Thread.sleep(COMPILATION_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Lets the virtual machine wake its threads for the first time. It does so after a safepoint, through the function
     * by which its compiler asks the host for the ID of a thread.
     */
    private static void reachSafepoint() {
        Thread.getAllStackTraces();
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
