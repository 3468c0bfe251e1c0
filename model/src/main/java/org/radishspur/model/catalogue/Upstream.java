package org.radishspur.model.catalogue;

import java.util.Objects;

/**
 * Describes one upstream instance as a host list reports it.
 *
 * @param id the identity of the instance.
 * @param incarnation when the instance started, in milliseconds since the epoch, or 0 if the host list doesn't state
 *     it.
 * @param pool the pool that the instance belongs to.
 * @param address the IP address and port.
 * @param failureDomain the failure domain that the instance belongs to.
 * @param version the version of its software.
 * @param slots the maximum number of requests that it runs at once, or 0 if the host list doesn't state it.
 * @param draining whether the instance is draining and receives no new requests.
 * @param cold whether the instance is still warming up after its start and accepts only a few requests.
 */
public record Upstream(
        String id,
        long incarnation,
        String pool,
        String address,
        String failureDomain,
        String version,
        int slots,
        boolean draining,
        boolean cold) {

    /**
     * Returns a copy with another value for whether the upstream is draining.
     *
     * @param changed whether the upstream is draining and receives no new requests.
     * @return the changed copy.
     */
    public Upstream withDraining(boolean changed) {
        return new Upstream(id, incarnation, pool, address, failureDomain, version, slots, changed, cold);
    }

    /**
     * Returns a copy with another value for whether the upstream is warming up.
     *
     * @param changed whether the upstream is warming up and accepts only a few requests.
     * @return the changed copy.
     */
    public Upstream withCold(boolean changed) {
        return new Upstream(id, incarnation, pool, address, failureDomain, version, slots, draining, changed);
    }

    /**
     * Returns the identity of this run of the instance; an instance that has restarted counts as another upstream.
     *
     * @return a text that is unique to this run.
     */
    public String runId() {
        return id + '@' + incarnation + '@' + address;
    }

    /**
     * {@inheritDoc} Written by hand, because the generated method of a record is linked at run time, at each process
     * start.
     */
    @Override
    public boolean equals(Object other) {
        return other instanceof Upstream upstream
                && incarnation == upstream.incarnation
                && slots == upstream.slots
                && draining == upstream.draining
                && cold == upstream.cold
                && Objects.equals(id, upstream.id)
                && Objects.equals(pool, upstream.pool)
                && Objects.equals(address, upstream.address)
                && Objects.equals(failureDomain, upstream.failureDomain)
                && Objects.equals(version, upstream.version);
    }

    /** {@inheritDoc} */
    @Override
    public int hashCode() {
        return Objects.hash(id, incarnation, pool, address, failureDomain, version, slots, draining, cold);
    }
}
