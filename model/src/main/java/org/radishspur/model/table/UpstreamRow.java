package org.radishspur.model.table;

/**
 * Describes one upstream of a pool.
 *
 * @param name the name of the upstream, unique within its pool.
 * @param address the IP address and port, such as {@code 10.0.0.7:8000}.
 * @param failureDomain the failure domain that the upstream belongs to.
 * @param hardware the kind of hardware; an upstream is compared only with others of the pool on the same kind.
 * @param checksFencing whether the upstream rejects commands with an outdated fencing token.
 * @param version the version that the upstream runs, or an empty text where the pool has only one.
 */
public record UpstreamRow(
        String name, String address, String failureDomain, String hardware, boolean checksFencing, String version) {

    /** Sets a version that a table file leaves out to an empty text. */
    public UpstreamRow {
        version = version == null ? "" : version;
    }

    /**
     * Creates the row of an upstream in a pool that has only one version.
     *
     * @param name the name of the upstream.
     * @param address the IP address and port.
     * @param failureDomain the failure domain that the upstream belongs to.
     * @param hardware the kind of hardware.
     * @param checksFencing whether the upstream rejects commands with an outdated fencing token.
     */
    public UpstreamRow(String name, String address, String failureDomain, String hardware, boolean checksFencing) {
        this(name, address, failureDomain, hardware, checksFencing, "");
    }
}
