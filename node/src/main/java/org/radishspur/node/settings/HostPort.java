package org.radishspur.node.settings;

import java.net.InetSocketAddress;

/**
 * Holds an IP address and a port.
 *
 * @param host the IP address; one of version 6 is in brackets.
 * @param port the port; 0 lets the operating system choose one to listen on.
 */
public record HostPort(String host, int port) {

    /**
     * Parses an address of the form {@code 10.0.0.7:8000}.
     *
     * @param text the text.
     * @return the address.
     * @throws IndexOutOfBoundsException if the text has no colon.
     * @throws NumberFormatException if no number follows the last colon.
     */
    public static HostPort parse(String text) {
        int colon = text.lastIndexOf(':');
        return new HostPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /**
     * Converts the address for use with sockets; an IP address needs no DNS lookup.
     *
     * @return the socket address.
     */
    public InetSocketAddress toSocketAddress() {
        return new InetSocketAddress(host, port);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return host + ':' + port;
    }
}
