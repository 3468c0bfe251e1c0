package org.radishspur.node.fleet;

import java.util.Objects;

/**
 * Names a control host.
 *
 * @param address the address at which other processes reach it.
 * @param failureDomain its failure domain, empty where that isn't known.
 */
public record ControlHost(String address, String failureDomain) {

    /** {@inheritDoc} Written out, as the generated one is put together at run time, at each start of a process. */
    @Override
    public boolean equals(Object other) {
        return other instanceof ControlHost host
                && Objects.equals(address, host.address)
                && Objects.equals(failureDomain, host.failureDomain);
    }

    /** {@inheritDoc} */
    @Override
    public int hashCode() {
        return Objects.hash(address, failureDomain);
    }
}
