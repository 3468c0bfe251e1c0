package org.radishspur.node.upstream;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Tells the response to a request from responses to others, by an identifier that upstreams repeat.
 *
 * @param header the name of the response header with the identifier.
 * @param id the identifier of the request, empty where it has none.
 */
public record RequestIdentity(String header, String id) {
    /** The identity of a request whose response can't be told from others. */
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
        /** The response doesn't state it. */
        UNKNOWN
    }
}
