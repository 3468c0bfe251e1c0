package org.radishspur.model.catalogue;

import java.util.Objects;

/**
 * Describes one upstream as a host list reports it.
 *
 * @param id the identity of the instance.
 * @param incarnation when the instance started, in milliseconds since the epoch, or 0 where it isn't told.
 * @param pool the pool that the instance belongs to.
 * @param address the IP number and port.
 * @param failureDomain the failure domain that it stands in.
 * @param version the version of its software.
 * @param slots how many requests it runs at once, or 0 where it isn't told.
 * @param leaving whether it is to get no new work.
 * @param cold whether it has started so lately that it bears few requests.
 */
public record Upstream(
        String id,
        long incarnation,
        String pool,
        String address,
        String failureDomain,
        String version,
        int slots,
        boolean leaving,
        boolean cold) {

    /**
     * Returns a copy that says otherwise whether the upstream leaves.
     *
     * @param changed whether it is to get no new work.
     * @return the changed description.
     */
    public Upstream withLeaving(boolean changed) {
        return new Upstream(id, incarnation, pool, address, failureDomain, version, slots, changed, cold);
    }

    /**
     * Returns a copy that says otherwise whether the upstream is cold.
     *
     * @param changed whether it bears few requests.
     * @return the changed description.
     */
    public Upstream withCold(boolean changed) {
        return new Upstream(id, incarnation, pool, address, failureDomain, version, slots, leaving, changed);
    }

    /**
     * Names this run of the instance: an instance that has started again is another upstream.
     *
     * @return a text that no other run shares.
     */
    public String run() {
        return id + '@' + incarnation + '@' + address;
    }

    /** {@inheritDoc} Written out, as the generated one is put together at run time, at each start of a process. */
    @Override
    public boolean equals(Object other) {
        return other instanceof Upstream upstream
                && incarnation == upstream.incarnation
                && slots == upstream.slots
                && leaving == upstream.leaving
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
        return Objects.hash(id, incarnation, pool, address, failureDomain, version, slots, leaving, cold);
    }
}
