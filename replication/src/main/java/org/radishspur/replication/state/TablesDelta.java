package org.radishspur.replication.state;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.radishspur.model.table.PoolRow;
import org.radishspur.model.table.Revisioned;
import org.radishspur.model.table.RouteRow;
import org.radishspur.model.table.Tables;

/**
 * Describes the changes that bring a copy of the tables from one revision to a later one.
 *
 * @param fromRevision the revision that the copy must have, or -1 where the delta replaces the complete copy.
 * @param toRevision the revision that the copy has afterwards.
 * @param routes the routes that were added or changed.
 * @param pools the pools that were added or changed.
 * @param removedRoutes the names of the removed routes.
 * @param removedPools the names of the removed pools.
 */
public record TablesDelta(
        long fromRevision,
        long toRevision,
        List<Revisioned<RouteRow>> routes,
        List<Revisioned<PoolRow>> pools,
        Set<String> removedRoutes,
        Set<String> removedPools) {

    /** The value of {@code fromRevision} for a delta that applies to a copy of any revision. */
    public static final long ANY_REVISION = -1;

    /**
     * Creates a delta that replaces the complete copy.
     *
     * @param tables the tables that the copy has afterwards.
     * @return the delta.
     */
    public static TablesDelta ofAll(Tables tables) {
        return new TablesDelta(
                ANY_REVISION,
                tables.revision(),
                List.copyOf(tables.routes().values()),
                List.copyOf(tables.pools().values()),
                Set.of(),
                Set.of());
    }

    /**
     * Applies the delta to a copy.
     *
     * @param copy the copy.
     * @return the changed tables, or the copy itself where it is as new as the delta or has another revision than the
     *     delta requires.
     */
    public Tables applyTo(Tables copy) {
        boolean replaces = fromRevision == ANY_REVISION;
        if (toRevision <= copy.revision() || !replaces && fromRevision != copy.revision()) {
            return copy;
        }
        Map<String, Revisioned<RouteRow>> newRoutes = new TreeMap<>(replaces ? Map.of() : copy.routes());
        Map<String, Revisioned<PoolRow>> newPools = new TreeMap<>(replaces ? Map.of() : copy.pools());
        removedRoutes.forEach(newRoutes::remove);
        removedPools.forEach(newPools::remove);
        routes.forEach(row -> newRoutes.put(row.row().name(), row));
        pools.forEach(row -> newPools.put(row.row().name(), row));
        return new Tables(toRevision, newRoutes, newPools);
    }
}
