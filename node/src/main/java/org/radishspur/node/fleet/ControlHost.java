package org.radishspur.node.fleet;

import java.util.Objects;

/**
 * Describes a control host.
 *
 * @param address the address at which other processes connect to it.
 * @param failureDomain its failure domain, empty if that isn't known.
 */
public record ControlHost(String address, String failureDomain) {

    /**
     * {@inheritDoc} Written by hand because the generated method is linked at run time, which delays each start of a
     * process.
     */
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
