package org.radishspur.node.supervise;

/**
 * A component that a {@link Supervisor} starts, closes and replaces by a new one after a failure.
 */
public interface Child extends AutoCloseable {
    /**
     * Starts the child.
     *
     * @param listener is notified of failures after the start; a failure of the start itself is thrown.
     */
    void start(FailureListener listener);

    /** {@inheritDoc} */
    @Override
    void close();

    /**
     * Is notified of failures of a child.
     */
    interface FailureListener {
        /**
         * Is called after a failure.
         *
         * @param cause the cause of the failure.
         */
        void onFailure(Throwable cause);
    }
}
