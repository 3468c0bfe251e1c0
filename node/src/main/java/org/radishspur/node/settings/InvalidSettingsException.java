package org.radishspur.node.settings;

import java.util.List;
import java.util.stream.Collectors;

import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;
import org.radishspur.model.table.TableFault;

/**
 * Thrown for an invalid settings file; lists all of its faults.
 */
public final class InvalidSettingsException extends RadishspurException {
    private static final long serialVersionUID = 1L;

    private final transient List<TableFault> faults;

    /**
     * Creates the exception, whose message lists the faults with their paths.
     *
     * @param faults all faults of the file.
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
     * @return all faults of the file.
     */
    public List<TableFault> faults() {
        return faults;
    }
}
