package org.radishspur.node.supervise;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

import org.radishspur.node.control.ControlLoop;

/**
 * A process with a control thread in which an action or another thread fails.
 */
final class FailingProcess {
    private static final int LARGEST_BLOCK = 1 << 20;

    /** Too little to log anything, and enough to exhaust the memory soon. */
    private static final int SMALLEST_BLOCK = 1 << 8;

    private static final List<byte[]> HELD = new ArrayList<>();

    private FailingProcess() {}

    /**
     * Fails in the way of the first argument.
     *
     * @param arguments the name of a {@link Failure}, and {@code control} or {@code thread}.
     */
    public static void main(String[] arguments) {
        Thread.setDefaultUncaughtExceptionHandler(ProcessTerminator.INSTANCE);
        Failure failure = Failure.valueOf(arguments[0]);
        ControlLoop loop = new ControlLoop();
        loop.setFailureListener(cause -> Runtime.getRuntime().halt(ProcessTerminator.EXIT_FAILED));
        if (arguments[1].equals("control")) {
            loop.execute(failure::fail);
        } else {
            new Thread(failure::fail, "other").start();
        }
        while (true) {
            LockSupport.park();
        }
    }

    /** What fails. */
    enum Failure {
        /** The memory is exhausted, and stays so. */
        MEMORY {
            @Override
            void fail() {
                int block = LARGEST_BLOCK;
                while (true) {
                    try {
                        HELD.add(new byte[block]);
                    } catch (OutOfMemoryError error) {
                        if (block == SMALLEST_BLOCK) {
                            throw error;
                        }
                        block /= 2;
                    }
                }
            }
        },
        /** The stack is exhausted. */
        STACK {
            @Override
            void fail() {
                fail();
            }
        },
        /** A class isn't found. */
        CLASS {
            @Override
            void fail() {
                throw new NoClassDefFoundError("missing");
            }
        },
        /** An action is faulty. */
        EXCEPTION {
            @Override
            void fail() {
                throw new IllegalStateException("faulty");
            }
        };

        abstract void fail();
    }
}
