package org.radishspur.replication.state;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * Represents the answer to a claim on a request.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "k")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ClaimAnswer.Granted.class, name = "granted"),
    @JsonSubTypes.Type(value = ClaimAnswer.Held.class, name = "held"),
    @JsonSubTypes.Type(value = ClaimAnswer.Finished.class, name = "finished"),
    @JsonSubTypes.Type(value = ClaimAnswer.KeyReused.class, name = "reused"),
    @JsonSubTypes.Type(value = ClaimAnswer.Withdrawn.class, name = "withdrawn")
})
public sealed interface ClaimAnswer {

    /**
     * Grants the claim: only the claiming attempt may dispatch the request.
     */
    record Granted() implements ClaimAnswer {}

    /**
     * Refuses the claim because another attempt holds it and has not finished or released it.
     *
     * @param holder the attempt that holds the claim.
     */
    record Held(ClaimHolder holder) implements ClaimAnswer {}

    /**
     * Refuses the claim because the request has finished.
     *
     * @param answer the stored answer to the request.
     */
    record Finished(StoredAnswer answer) implements ClaimAnswer {}

    /**
     * Refuses the claim because the key was used for a request with different content.
     */
    record KeyReused() implements ClaimAnswer {}

    /**
     * Refuses the claim because the same attempt has already released it.
     */
    record Withdrawn() implements ClaimAnswer {}
}
