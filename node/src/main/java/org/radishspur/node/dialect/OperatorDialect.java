package org.radishspur.node.dialect;

import java.util.List;

import org.radishspur.model.catalogue.Catalogue;
import org.radishspur.model.table.TableFault;
import org.radishspur.replication.state.CatalogueState;

/**
 * Decodes operators' calls and encodes the bodies of their answers.
 */
public interface OperatorDialect {
    /**
     * Decodes a call.
     *
     * @param method the HTTP method.
     * @param path the path without its query.
     * @param body the body as text.
     * @return the call, which is {@link Call.Malformed} or {@link Call.Unknown} where it can't be decoded.
     */
    Call decodeCall(String method, String path, String body);

    /**
     * Decodes a catalogue document that an operator publishes.
     *
     * @param text the document.
     * @return the catalogue.
     * @throws org.radishspur.model.error.RadishspurException if the text isn't a catalogue document and nothing else.
     */
    Catalogue decodeCatalogue(String text);

    /**
     * Decodes a catalogue document that the control hosts have accepted, perhaps when they ran a less strict version.
     *
     * @param text the document.
     * @return the catalogue.
     * @throws org.radishspur.model.error.RadishspurException if the text doesn't begin with a catalogue document.
     */
    Catalogue decodeAcceptedCatalogue(String text);

    /**
     * Encodes the state of a rollout.
     *
     * @param rollout the rollout.
     * @return the body of the answer.
     */
    String encode(CatalogueState.Rollout rollout);

    /**
     * Encodes the faults of a call.
     *
     * @param faults the faults.
     * @return the body of the answer.
     */
    String encode(List<TableFault> faults);

    /**
     * Describes the operation that an operator's call requests.
     */
    sealed interface Call {
        /**
         * Publishes a catalogue, which replaces the one in force.
         *
         * @param text the document.
         */
        record PublishCatalogue(String text) implements Call {}

        /** Reads the catalogue in force. */
        record ReadCatalogue() implements Call {}

        /**
         * Starts a rollout.
         *
         * @param pool the pool.
         * @param target the version that the pool is moved to.
         * @param periodMillis the time that the rollout may take, in milliseconds.
         */
        record StartRollout(String pool, String target, long periodMillis) implements Call {}

        /**
         * Reads the state of a pool's latest rollout.
         *
         * @param pool the pool.
         */
        record ReadRollout(String pool) implements Call {}

        /**
         * Takes the upstreams of a failure domain out of service.
         *
         * @param failureDomain the failure domain.
         */
        record Evacuate(String failureDomain) implements Call {}

        /**
         * Takes the upstreams of a failure domain back into service.
         *
         * @param failureDomain the failure domain.
         */
        record Readmit(String failureDomain) implements Call {}

        /**
         * Represents a call whose content can't be decoded.
         *
         * @param faults the faults that were found.
         */
        record Malformed(List<TableFault> faults) implements Call {}

        /** Represents a call that doesn't exist. */
        record Unknown() implements Call {}
    }
}
