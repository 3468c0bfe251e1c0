package org.radishspur.model.table;

import java.util.List;
import java.util.Map;

/**
 * Describes one pool: a set of interchangeable upstreams.
 *
 * @param name the name by which routes refer to the pool.
 * @param kind the kind of the pool's upstreams.
 * @param upstreams the upstreams of the pool.
 * @param queueLimit the maximum number of requests that may wait in the pool's queue.
 * @param concurrencyLimit the maximum number of requests that one upstream may run at once.
 * @param organisationWeights the weights of organisations by name; an organisation that is not listed has weight 1.
 */
public record PoolRow(
        String name,
        PoolKind kind,
        List<UpstreamRow> upstreams,
        int queueLimit,
        int concurrencyLimit,
        Map<String, Double> organisationWeights) {

    /** Copies the collections; one that a table file leaves out becomes empty. */
    public PoolRow {
        upstreams = upstreams == null ? List.of() : List.copyOf(upstreams);
        organisationWeights = organisationWeights == null ? Map.of() : Map.copyOf(organisationWeights);
    }
}
