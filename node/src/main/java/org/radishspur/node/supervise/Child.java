package org.radishspur.node.supervise;

/**
 * Runs as a part of the supervisor tree.
 */
public interface Child extends AutoCloseable {
    /**
     * Starts the child.
     *
     * @param listener is notified of a failure after the start; a failure of the start itself is thrown.
     */
    void start(FailureListener listener);

    /** {@inheritDoc} */
    @Override
    void close();

    /**
     * Is notified of failures.
     */
    interface FailureListener {
        /**
         * Takes note of a failure.
         *
         * @param cause what failed.
         */
        void onFailure(Throwable cause);
    }
}
