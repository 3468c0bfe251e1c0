package org.radishspur.node.upstream;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Distinguishes the response to a request from those to others, by an identifier that upstreams repeat.
 *
 * @param header the name of the response header with the identifier.
 * @param id the identifier of the request, empty where it has none.
 */
public record RequestIdentity(String header, String id) {
    /** The identity of a request whose response can't be distinguished from others. */
    public static final RequestIdentity NONE = new RequestIdentity("", "");

    /**
     * Returns whether the request has an identifier.
     *
     * @return whether it has.
     */
    boolean isStated() {
        return !id.isEmpty();
    }

    /**
     * Returns the identifier that a response states.
     *
     * @param response the head of the response.
     * @return the identifier, empty where the response states none.
     */
    public String statedBy(HttpResponse response) {
        return header.isEmpty() ? "" : response.headers().get(header, "");
    }

    /**
     * Determines whose response has been received.
     *
     * @param response the head of the response.
     * @return whether it belongs to this request.
     */
    public Owner ownerOf(HttpResponse response) {
        String stated = statedBy(response);
        if (stated.isEmpty()) {
            return Owner.UNKNOWN;
        }
        if (!response.headers().getAll(header).stream().allMatch(stated::equals)) {
            return Owner.SEVERAL_REQUESTS;
        }
        return stated.equals(id) ? Owner.THIS_REQUEST : Owner.OTHER_REQUEST;
    }

    /**
     * Lists to which request a response may belong.
     */
    public enum Owner {
        /** The request of the exchange. */
        THIS_REQUEST,
        /** Another request. */
        OTHER_REQUEST,
        /** More than one request, so that it consists of parts of several responses. */
        SEVERAL_REQUESTS,
        /** The response doesn't state it. */
        UNKNOWN
    }
}
