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
 * Holds the desired rows of the tables, as read from a file.
 *
 * @param routes the desired routes.
 * @param pools the desired pools.
 */
record TableFile(List<RouteRow> routes, List<PoolRow> pools) {

    /** Uses an empty list for a table that the file leaves out. */
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

    /** Returns every fault that the tables would have after the file is applied. */
    List<TableFault> faults(Tables current, boolean prune) {
        Tables desired = current;
        for (RowChange change : changes(current, prune)) {
            desired = change.applyTo(desired, current.revision() + 1);
        }
        return TablesValidator.INSTANCE.validate(desired);
    }

    /** Returns the changes that turn the current tables into the desired ones. */
    List<RowChange> changes(Tables current, boolean prune) {
        List<RowChange> changes = new ArrayList<>();
        Map<String, Revisioned<PoolRow>> otherPools = new TreeMap<>(current.pools());
        for (PoolRow row : pools) {
            Revisioned<PoolRow> currentRow = otherPools.remove(row.name());
            if (currentRow == null || !currentRow.row().equals(row)) {
                changes.add(new RowChange.PutPool(row, currentRow == null ? 0 : currentRow.revision()));
            }
        }
        Map<String, Revisioned<RouteRow>> otherRoutes = new TreeMap<>(current.routes());
        for (RouteRow row : routes) {
            Revisioned<RouteRow> currentRow = otherRoutes.remove(row.name());
            if (currentRow == null || !currentRow.row().equals(row)) {
                changes.add(new RowChange.PutRoute(row, currentRow == null ? 0 : currentRow.revision()));
            }
        }
        if (prune) {
            otherRoutes.forEach(
                    (name, currentRow) -> changes.add(new RowChange.DeleteRoute(name, currentRow.revision())));
            otherPools.forEach(
                    (name, currentRow) -> changes.add(new RowChange.DeletePool(name, currentRow.revision())));
        }
        return changes;
    }
}
