package org.radishspur.node.caller;

import org.radishspur.model.error.Refusal;

/**
 * Ends the reading of a request head that can't be accepted.
 */
final class RefusalException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    RefusalException(Refusal refusal) {
        super(refusal.reason().code(), null, false, false);
        this.refusal = refusal;
    }

    Refusal refusal() {
        return refusal;
    }
}
