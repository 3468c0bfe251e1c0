package org.radishspur.replication.state;

import org.radishspur.decision.move.MoveDriver;
import org.radishspur.model.request.RequestKey;
import org.radishspur.model.table.TableEdit;

/**
 * Represents a command that changes the control state once it is committed. All commands are idempotent, so that a
 * proposer may retry them.
 */
public sealed interface ControlCommand {

    /**
     * Returns the proposer's wall clock, which determines when claims and crash suspects expire.
     *
     * @return the time in milliseconds since the epoch.
     */
    long atMillis();

    /**
     * Applies an edit of the tables.
     *
     * @param edit the edit.
     * @param atMillis the proposer's wall clock, in milliseconds since the epoch.
     */
    record ApplyEdit(TableEdit edit, long atMillis) implements ControlCommand {}

    /**
     * Claims a request, so that only one attempt may dispatch it.
     *
     * @param key the identity of the request.
     * @param fingerprint a digest of the request; a request with the same key and another digest is refused.
     * @param holder the process and attempt that claim the request.
     * @param atMillis the proposer's wall clock, in milliseconds since the epoch.
     */
    record Claim(RequestKey key, String fingerprint, ClaimHolder holder, long atMillis) implements ControlCommand {}

    /**
     * Records the answer to a claimed request that has finished.
     *
     * @param key the identity of the request.
     * @param holder the process and attempt that hold the claim.
     * @param answer the answer; it has no body where the body was too large to store.
     * @param atMillis the proposer's wall clock, in milliseconds since the epoch.
     */
    record FinishClaim(RequestKey key, ClaimHolder holder, StoredAnswer answer, long atMillis)
            implements ControlCommand {}

    /**
     * Releases a claim because its holder has established that the request didn't run, so that a retry may claim it
     * again.
     *
     * @param key the identity of the request.
     * @param holder the process and attempt that hold the claim.
     * @param atMillis the proposer's wall clock, in milliseconds since the epoch.
     */
    record ReleaseClaim(RequestKey key, ClaimHolder holder, long atMillis) implements ControlCommand {}

    /**
     * Records that a request was in flight at an upstream when the upstream crashed.
     *
     * @param pool the pool of the upstream.
     * @param fingerprint the digest of the request's content.
     * @param crashId the identity of the crash, so that several reports of it count once.
     * @param atMillis the proposer's wall clock, in milliseconds since the epoch.
     */
    record ReportCrash(String pool, String fingerprint, String crashId, long atMillis) implements ControlCommand {}

    /**
     * Changes the move of a route, if the move is still in the state and stage that the proposal expects.
     *
     * @param proposal the proposed change.
     * @param atMillis the proposer's wall clock, in milliseconds since the epoch.
     */
    record ChangeMove(MoveDriver.Proposal proposal, long atMillis) implements ControlCommand {}

    /**
     * Removes a crash suspect because the request finished without a crash.
     *
     * @param pool the pool of the upstream.
     * @param fingerprint the digest of the request's content.
     * @param atMillis the proposer's wall clock, in milliseconds since the epoch.
     */
    record ClearSuspect(String pool, String fingerprint, long atMillis) implements ControlCommand {}

    /**
     * Represents a command that changes the catalogue, its rollouts or the evacuated failure domains.
     */
    sealed interface CatalogueCommand extends ControlCommand {
        /**
         * Applies the change.
         *
         * @param state the state to change.
         */
        void applyTo(CatalogueState state);
    }

    /**
     * Publishes a catalogue document.
     *
     * @param document the complete document.
     * @param atMillis the proposer's wall clock, in milliseconds since the epoch.
     */
    record PublishCatalogue(CatalogueState.Document document, long atMillis) implements CatalogueCommand {
        /** {@inheritDoc} */
        @Override
        public void applyTo(CatalogueState state) {
            state.publish(document);
        }
    }

    /**
     * Starts the move of a pool's requests to upstreams of another version.
     *
     * @param pool the pool.
     * @param target the version that the requests move to.
     * @param periodMillis how long the move may take, in milliseconds.
     * @param atMillis the proposer's wall clock, in milliseconds since the epoch.
     */
    record StartRollout(String pool, String target, long periodMillis, long atMillis) implements CatalogueCommand {
        /** {@inheritDoc} */
        @Override
        public void applyTo(CatalogueState state) {
            state.startRollout(pool, target, periodMillis, atMillis);
        }
    }

    /**
     * Moves a rollout to another stage.
     *
     * @param pool the pool.
     * @param target the target version of the rollout to change.
     * @param stage the new stage.
     * @param atMillis the proposer's wall clock, in milliseconds since the epoch.
     */
    record AdvanceRollout(String pool, String target, CatalogueState.RolloutStage stage, long atMillis)
            implements CatalogueCommand {
        /** {@inheritDoc} */
        @Override
        public void applyTo(CatalogueState state) {
            state.advanceRollout(pool, target, stage);
        }
    }

    /**
     * Takes the upstreams of a failure domain out of service.
     *
     * @param failureDomain the failure domain.
     * @param atMillis the proposer's wall clock, in milliseconds since the epoch.
     */
    record EvacuateDomain(String failureDomain, long atMillis) implements CatalogueCommand {
        /** {@inheritDoc} */
        @Override
        public void applyTo(CatalogueState state) {
            state.evacuate(failureDomain);
        }
    }

    /**
     * Puts the upstreams of a failure domain back into service.
     *
     * @param failureDomain the failure domain.
     * @param atMillis the proposer's wall clock, in milliseconds since the epoch.
     */
    record ReadmitDomain(String failureDomain, long atMillis) implements CatalogueCommand {
        /** {@inheritDoc} */
        @Override
        public void applyTo(CatalogueState state) {
            state.readmit(failureDomain);
        }
    }
}
