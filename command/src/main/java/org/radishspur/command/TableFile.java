package org.radishspur.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.radishspur.model.codec.Json;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.table.PoolRow;
import org.radishspur.model.table.Revisioned;
import org.radishspur.model.table.RouteRow;
import org.radishspur.model.table.RowChange;
import org.radishspur.model.table.TableFault;
import org.radishspur.model.table.Tables;
import org.radishspur.model.table.TablesValidator;

/**
 * Holds the rows that an operator wants, as they stand in a file under version control.
 *
 * @param routes the wanted routes.
 * @param pools the wanted pools.
 */
record TableFile(List<RouteRow> routes, List<PoolRow> pools) {

    /** Stands in empty lists where the file leaves a table out. */
    TableFile {
        routes = routes == null ? List.of() : List.copyOf(routes);
        pools = pools == null ? List.of() : List.copyOf(pools);
    }

    static TableFile read(Path file) {
        try {
            return Json.INSTANCE.read(Files.readString(file), TableFile.class, ErrorCode.TABLE_INVALID);
        } catch (IOException exception) {
            throw new CommandException(ExitCode.INVALID, "can't read " + file);
        }
    }

    /** Lists every fault that the tables would have if the file were applied. */
    List<TableFault> faults(Tables present, boolean prune) {
        Tables wanted = present;
        for (RowChange change : changes(present, prune)) {
            wanted = change.applyTo(wanted, present.revision() + 1);
        }
        return TablesValidator.INSTANCE.validate(wanted);
    }

    /** Lists the changes that lead from the present tables to the wanted rows. */
    List<RowChange> changes(Tables present, boolean prune) {
        List<RowChange> changes = new ArrayList<>();
        Map<String, Revisioned<PoolRow>> otherPools = new TreeMap<>(present.pools());
        for (PoolRow row : pools) {
            Revisioned<PoolRow> old = otherPools.remove(row.name());
            if (old == null || !old.row().equals(row)) {
                changes.add(new RowChange.PutPool(row, old == null ? 0 : old.revision()));
            }
        }
        Map<String, Revisioned<RouteRow>> otherRoutes = new TreeMap<>(present.routes());
        for (RouteRow row : routes) {
            Revisioned<RouteRow> old = otherRoutes.remove(row.name());
            if (old == null || !old.row().equals(row)) {
                changes.add(new RowChange.PutRoute(row, old == null ? 0 : old.revision()));
            }
        }
        if (prune) {
            otherRoutes.forEach((name, old) -> changes.add(new RowChange.DeleteRoute(name, old.revision())));
            otherPools.forEach((name, old) -> changes.add(new RowChange.DeletePool(name, old.revision())));
        }
        return changes;
    }
}
