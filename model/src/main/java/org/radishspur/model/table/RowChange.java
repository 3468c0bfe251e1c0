package org.radishspur.model.table;

import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * Describes a change of one row, which is accepted only if the row still has the revision that the operator read.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "change")
@JsonSubTypes({
    @JsonSubTypes.Type(value = RowChange.PutRoute.class, name = "put-route"),
    @JsonSubTypes.Type(value = RowChange.DeleteRoute.class, name = "delete-route"),
    @JsonSubTypes.Type(value = RowChange.PutPool.class, name = "put-pool"),
    @JsonSubTypes.Type(value = RowChange.DeletePool.class, name = "delete-pool")
})
public sealed interface RowChange {

    /**
     * Returns the name of the row to change.
     *
     * @return the name of the row.
     */
    String rowName();

    /**
     * Returns the revision that the row must have for the change to be accepted; 0 means that the row must not exist
     * yet.
     *
     * @return the expected revision.
     */
    long expectedRevision();

    /**
     * Returns the revision that the row has in the given tables.
     *
     * @param tables the tables that may contain the row.
     * @return the revision, or 0 if the row doesn't exist.
     */
    long currentRevision(Tables tables);

    /**
     * Applies the change without checking the expected revision.
     *
     * @param tables the tables to change.
     * @param revision the new revision of the changed row.
     * @return the changed tables; their overall revision stays the same.
     */
    Tables applyTo(Tables tables, long revision);

    /**
     * Creates or replaces a route.
     *
     * @param row the new row.
     * @param expectedRevision the revision that the existing row must have, or 0 if there must be none.
     */
    record PutRoute(RouteRow row, long expectedRevision) implements RowChange {
        /** {@inheritDoc} */
        @Override
        public String rowName() {
            return row.name();
        }

        /** {@inheritDoc} */
        @Override
        public long currentRevision(Tables tables) {
            return revisionOf(tables.routes().get(row.name()));
        }

        /** {@inheritDoc} */
        @Override
        public Tables applyTo(Tables tables, long revision) {
            Map<String, Revisioned<RouteRow>> routes = new TreeMap<>(tables.routes());
            routes.put(row.name(), new Revisioned<>(revision, row));
            return new Tables(tables.revision(), routes, tables.pools());
        }
    }

    /**
     * Removes a route.
     *
     * @param rowName the name of the route.
     * @param expectedRevision the revision that the route must have.
     */
    record DeleteRoute(String rowName, long expectedRevision) implements RowChange {
        /** {@inheritDoc} */
        @Override
        public long currentRevision(Tables tables) {
            return revisionOf(tables.routes().get(rowName));
        }

        /** {@inheritDoc} */
        @Override
        public Tables applyTo(Tables tables, long revision) {
            Map<String, Revisioned<RouteRow>> routes = new TreeMap<>(tables.routes());
            routes.remove(rowName);
            return new Tables(tables.revision(), routes, tables.pools());
        }
    }

    /**
     * Creates or replaces a pool.
     *
     * @param row the new row.
     * @param expectedRevision the revision that the existing row must have, or 0 if there must be none.
     */
    record PutPool(PoolRow row, long expectedRevision) implements RowChange {
        /** {@inheritDoc} */
        @Override
        public String rowName() {
            return row.name();
        }

        /** {@inheritDoc} */
        @Override
        public long currentRevision(Tables tables) {
            return revisionOf(tables.pools().get(row.name()));
        }

        /** {@inheritDoc} */
        @Override
        public Tables applyTo(Tables tables, long revision) {
            Map<String, Revisioned<PoolRow>> pools = new TreeMap<>(tables.pools());
            pools.put(row.name(), new Revisioned<>(revision, row));
            return new Tables(tables.revision(), tables.routes(), pools);
        }
    }

    /**
     * Removes a pool.
     *
     * @param rowName the name of the pool.
     * @param expectedRevision the revision that the pool must have.
     */
    record DeletePool(String rowName, long expectedRevision) implements RowChange {
        /** {@inheritDoc} */
        @Override
        public long currentRevision(Tables tables) {
            return revisionOf(tables.pools().get(rowName));
        }

        /** {@inheritDoc} */
        @Override
        public Tables applyTo(Tables tables, long revision) {
            Map<String, Revisioned<PoolRow>> pools = new TreeMap<>(tables.pools());
            pools.remove(rowName);
            return new Tables(tables.revision(), tables.routes(), pools);
        }
    }

    private static long revisionOf(Revisioned<?> row) {
        return row == null ? 0 : row.revision();
    }
}
