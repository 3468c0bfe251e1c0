package org.radishspur.node.control;

import org.radishspur.model.error.Refusal;

/**
 * Receives the outcome of a request for a permit, exactly once and on the control thread.
 */
public interface PermitListener {
    /**
     * Receives the permit.
     *
     * @param upstream the name of the upstream.
     * @param address the address of the upstream.
     */
    void onGranted(String upstream, String address);

    /**
     * Receives the refusal; the request is not retried.
     *
     * @param refusal the reason and the time after which the caller may retry.
     */
    void onRefused(Refusal refusal);
}
