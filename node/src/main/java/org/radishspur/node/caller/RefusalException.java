package org.radishspur.node.caller;

import org.radishspur.model.error.Refusal;

/**
 * Thrown where a request head isn't valid; carries the refusal that the caller receives. It records no stack trace.
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
