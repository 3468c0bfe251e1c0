package org.radishspur.model.table;

import java.util.List;

/**
 * Changes several rows atomically: either all changes are accepted, or none is.
 *
 * @param changeId the identity of the edit, chosen by the operator's client; a resent edit carries the same one.
 * @param changes the changes of single rows.
 */
public record TableEdit(String changeId, List<RowChange> changes) {

    /** Copies the changes. */
    public TableEdit {
        changes = changes == null ? List.of() : List.copyOf(changes);
    }
}
