package org.radishspur.model.table;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * Holds the outcome of an edit; a resent edit gets the same outcome as the first one.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "answer")
@JsonSubTypes({
    @JsonSubTypes.Type(value = EditAnswer.Accepted.class, name = "accepted"),
    @JsonSubTypes.Type(value = EditAnswer.Conflict.class, name = "conflict"),
    @JsonSubTypes.Type(value = EditAnswer.Invalid.class, name = "invalid")
})
public sealed interface EditAnswer {

    /**
     * Reports that the edit is committed.
     *
     * @param revision the revision of the tables that the edit produced.
     */
    record Accepted(long revision) implements EditAnswer {}

    /**
     * Reports that a row has another revision than the edit expected, so that the edit is rejected.
     *
     * @param rowName the name of the first row whose revision differs.
     * @param expectedRevision the revision that the edit expected.
     * @param currentRevision the current revision of the row, or 0 if the row doesn't exist.
     * @param currentRow the current row as JSON text, or an empty text if the row doesn't exist.
     */
    record Conflict(String rowName, long expectedRevision, long currentRevision, String currentRow)
            implements EditAnswer {}

    /**
     * Reports that the tables would be invalid after the edit, so that the edit is rejected.
     *
     * @param faults all faults that were found.
     */
    record Invalid(List<TableFault> faults) implements EditAnswer {}
}
