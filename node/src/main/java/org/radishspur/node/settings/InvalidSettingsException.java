package org.radishspur.node.settings;

import java.util.List;
import java.util.stream.Collectors;

import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;
import org.radishspur.model.table.TableFault;

/**
 * Reports every fault of a settings file at once.
 */
public final class InvalidSettingsException extends RadishspurException {
    private static final long serialVersionUID = 1L;

    private final transient List<TableFault> faults;

    /**
     * Creates the report.
     *
     * @param faults every fault found.
     */
    public InvalidSettingsException(List<TableFault> faults) {
        super(
                ErrorCode.SETTINGS_INVALID,
                faults.stream()
                        .map(fault -> fault.path() + ": " + fault.problem())
                        .collect(Collectors.joining("; ")));
        this.faults = List.copyOf(faults);
    }

    /**
     * Returns the faults.
     *
     * @return every fault found.
     */
    public List<TableFault> faults() {
        return faults;
    }
}
