package org.radishspur.replication.state;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.radishspur.model.table.EditAnswer;

/**
 * Represents the answer to a committed command.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "k")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ControlAnswer.EditResult.class, name = "edit"),
    @JsonSubTypes.Type(value = ControlAnswer.ClaimResult.class, name = "claim"),
    @JsonSubTypes.Type(value = ControlAnswer.Done.class, name = "done")
})
public sealed interface ControlAnswer {

    /**
     * Contains the answer to an edit.
     *
     * @param answer the answer.
     */
    record EditResult(EditAnswer answer) implements ControlAnswer {}

    /**
     * Contains the answer to a claim.
     *
     * @param answer the answer.
     */
    record ClaimResult(ClaimAnswer answer) implements ControlAnswer {}

    /**
     * Confirms a command that has no result.
     */
    record Done() implements ControlAnswer {}
}
