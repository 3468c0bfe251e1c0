package org.radishspur.node.dialect;

import java.util.List;

import org.radishspur.model.catalogue.Catalogue;
import org.radishspur.model.table.TableFault;
import org.radishspur.replication.state.CatalogueState;

/**
 * Reads operators' calls and writes what they read back.
 */
public interface OperatorDialect {
    /**
     * Tells what a call asks for.
     *
     * @param method the HTTP method.
     * @param path the path without its query.
     * @param body the body as text.
     * @return the call; an unreadable one is told as such.
     */
    Call read(String method, String path, String body);

    /**
     * Decodes a catalogue document.
     *
     * @param text the document.
     * @return the catalogue.
     * @throws org.radishspur.model.error.RadishspurException if the text can't be read as a catalogue.
     */
    Catalogue catalogue(String text);

    /**
     * Writes the state of a rollout.
     *
     * @param rollout the rollout.
     * @return the body.
     */
    String write(CatalogueState.Rollout rollout);

    /**
     * Writes faults of a call.
     *
     * @param faults the faults.
     * @return the body.
     */
    String write(List<TableFault> faults);

    /**
     * Names a call.
     */
    sealed interface Call {
        /**
         * Puts a catalogue in force.
         *
         * @param text the document.
         */
        record Publish(String text) implements Call {}

        /** Reads the catalogue in force. */
        record Read() implements Call {}

        /**
         * Starts a rollout.
         *
         * @param pool the pool.
         * @param target the version to move to.
         * @param periodMillis how long the move may take.
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
         * Can't be read.
         *
         * @param faults what is wrong.
         */
        record Malformed(List<TableFault> faults) implements Call {}

        /** Names nothing that exists. */
        record Unknown() implements Call {}
    }
}
