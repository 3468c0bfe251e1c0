package org.radishspur.node.control;

import org.radishspur.model.error.Refusal;

/**
 * Receives how a request for a permit ends, on the control thread and exactly once.
 */
public interface PermitListener {
    /**
     * Takes a permit.
     *
     * @param upstream the name of the upstream.
     * @param address the address of the upstream.
     */
    void onGranted(String upstream, String address);

    /**
     * Takes the final answer.
     *
     * @param refusal the final answer.
     */
    void onRefused(Refusal refusal);
}
