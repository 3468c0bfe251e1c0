package org.radishspur.model.table;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Validates the tables and reports all faults together.
 */
public enum TablesValidator {
    /** The only instance; it is stateless. */
    INSTANCE;

    /** The maximum number of upstreams in one pool. */
    public static final int MAXIMUM_UPSTREAMS = 10_000;

    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
    private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+]):(\\d{1,5})");
    private static final int PORT_GROUP = 3;
    private static final int MAXIMUM_PORT = 65_535;
    private static final long MAXIMUM_DEADLINE_MILLIS = 24L * 60 * 60 * 1000;
    private static final long MAXIMUM_BODY_BYTES = 1L << 30;
    private static final int MAXIMUM_QUEUE = 1_000_000;
    private static final int MAXIMUM_CONCURRENCY = 100_000;

    /**
     * Validates every row and every reference between rows.
     *
     * @param tables the tables to validate.
     * @return the faults, empty if the tables are valid.
     */
    public List<TableFault> validate(Tables tables) {
        List<TableFault> faults = new ArrayList<>();
        for (Map.Entry<String, Revisioned<RouteRow>> entry : tables.routes().entrySet()) {
            validateRoute(entry.getValue().row(), tables, faults);
        }
        for (Map.Entry<String, Revisioned<PoolRow>> entry : tables.pools().entrySet()) {
            validatePool(entry.getValue().row(), faults);
        }
        return faults;
    }

    private void validateRoute(RouteRow row, Tables tables, List<TableFault> faults) {
        String path = "routes." + row.name();
        checkName(path + ".name", row.name(), faults);
        if (row.pathPrefix() == null || !row.pathPrefix().startsWith("/")) {
            faults.add(new TableFault(path + ".pathPrefix", "must begin with /"));
        }
        if (row.pool() == null || !tables.pools().containsKey(row.pool())) {
            faults.add(new TableFault(path + ".pool", "names no pool: " + row.pool()));
        }
        boolean versionMissing = !row.version().isEmpty()
                && tables.pool(row.pool())
                        .map(pool -> pool.upstreams().stream()
                                .noneMatch(upstream -> upstream.version().equals(row.version())))
                        .orElse(false);
        if (versionMissing) {
            faults.add(new TableFault(path + ".version", "no upstream of the pool runs version " + row.version()));
        }
        if (row.defaultTier() == null || row.tierCeiling() == null) {
            faults.add(new TableFault(path + ".defaultTier", "defaultTier and tierCeiling must both be given"));
        } else if (row.defaultTier().isMoreUrgentThan(row.tierCeiling())) {
            faults.add(new TableFault(path + ".defaultTier", "must not be more urgent than tierCeiling"));
        }
        checkRange(path + ".deadlineCeilingMillis", row.deadlineCeilingMillis(), 1, MAXIMUM_DEADLINE_MILLIS, faults);
        checkRange(
                path + ".defaultDeadlineMillis", row.defaultDeadlineMillis(), 1, row.deadlineCeilingMillis(), faults);
        checkRange(path + ".bodyLimitBytes", row.bodyLimitBytes(), 0, MAXIMUM_BODY_BYTES, faults);
        checkRange(path + ".completeByMillis", row.completeByMillis(), 0, Long.MAX_VALUE, faults);
    }

    private void validatePool(PoolRow row, List<TableFault> faults) {
        String path = "pools." + row.name();
        checkName(path + ".name", row.name(), faults);
        if (row.kind() == null) {
            faults.add(new TableFault(path + ".kind", "must be ENGINE or SERVICE"));
        }
        checkRange(path + ".queueLimit", row.queueLimit(), 1, MAXIMUM_QUEUE, faults);
        checkRange(path + ".concurrencyLimit", row.concurrencyLimit(), 1, MAXIMUM_CONCURRENCY, faults);
        checkRange(path + ".upstreams", row.upstreams().size(), 0, MAXIMUM_UPSTREAMS, faults);
        Set<String> names = new HashSet<>();
        for (int index = 0; index < row.upstreams().size(); index++) {
            UpstreamRow upstream = row.upstreams().get(index);
            String upstreamPath = path + ".upstreams[" + index + "]";
            checkName(upstreamPath + ".name", upstream.name(), faults);
            if (!names.add(upstream.name())) {
                faults.add(new TableFault(upstreamPath + ".name", "is used twice: " + upstream.name()));
            }
            checkAddress(upstreamPath + ".address", upstream.address(), faults);
        }
        row.organisationWeights().forEach((organisation, weight) -> {
            if (!(weight > 0) || weight.isInfinite()) {
                faults.add(new TableFault(path + ".organisationWeights." + organisation, "must be above 0"));
            }
        });
    }

    private static void checkName(String path, String value, List<TableFault> faults) {
        if (value == null || !NAME.matcher(value).matches()) {
            faults.add(new TableFault(path, "must match " + NAME.pattern() + ": " + value));
        }
    }

    private static void checkAddress(String path, String value, List<TableFault> faults) {
        java.util.regex.Matcher matcher = ADDRESS.matcher(value == null ? "" : value);
        if (!matcher.matches() || Integer.parseInt(matcher.group(PORT_GROUP)) > MAXIMUM_PORT) {
            faults.add(new TableFault(path, "must be an IP number and a port: " + value));
        }
    }

    private static void checkRange(String path, long value, long minimum, long maximum, List<TableFault> faults) {
        if (value < minimum || value > maximum) {
            faults.add(new TableFault(path, "must be from " + minimum + " to " + maximum + ": " + value));
        }
    }
}
