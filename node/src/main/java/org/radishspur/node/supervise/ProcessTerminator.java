package org.radishspur.node.supervise;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

import org.radishspur.node.log.ComponentLog;

/**
 * Ends the process after a failure that leaves its state unreliable. It ends the process even where nothing can be logged: if the
 * memory is exhausted, neither can a class be loaded nor a text be built, so that everything it needs exists beforehand.
 */
public enum ProcessTerminator implements Thread.UncaughtExceptionHandler {
    /** The only instance. */
    INSTANCE;

    /** The exit code of a process that ended by a failure. */
    public static final int EXIT_FAILED = 1;

    private final byte[] shortMessage =
            "[node] The memory is exhausted; the process ends.\n".getBytes(StandardCharsets.US_ASCII);

    private final FileOutputStream standardError = new FileOutputStream(FileDescriptor.err);
    private final Runtime runtime = Runtime.getRuntime();

    ProcessTerminator() {
        try {
            // Runtime.halt uses this class, which is not loaded before that otherwise.
            Class.forName("java.lang.Shutdown");
        } catch (ClassNotFoundException exception) {
            throw new IllegalStateException("the class library has changed", exception);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void uncaughtException(Thread thread, Throwable failure) {
        try {
            if (failure instanceof OutOfMemoryError) {
                standardError.write(shortMessage);
            } else {
                ComponentLog.NODE.error("Thread " + thread.getName() + " failed.", failure);
            }
        } catch (IOException exception) {
            // Nobody reads the output; the process ends all the same.
        } finally {
            runtime.halt(EXIT_FAILED);
        }
    }
}
