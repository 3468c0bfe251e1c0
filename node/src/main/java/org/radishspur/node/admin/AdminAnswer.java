package org.radishspur.node.admin;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Holds the answer to an operator's call.
 *
 * @param status the HTTP status.
 * @param body the value that is written as JSON.
 */
record AdminAnswer(HttpResponseStatus status, Object body) {

    /**
     * Describes, as the body of an answer, why a call failed.
     *
     * @param code the stable code of the error.
     * @param detail a sentence that describes the error to an operator.
     */
    record Failure(String code, String detail) {}

    static AdminAnswer ok(Object body) {
        return new AdminAnswer(HttpResponseStatus.OK, body);
    }

    static AdminAnswer failure(HttpResponseStatus status, String code, String detail) {
        return new AdminAnswer(status, new Failure(code, detail));
    }
}
