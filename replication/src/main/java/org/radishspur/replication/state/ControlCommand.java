package org.radishspur.replication.state;

import org.radishspur.decision.move.MoveDriver;
import org.radishspur.model.request.RequestKey;
import org.radishspur.model.table.TableEdit;

/**
 * Changes the control state once it is committed. Every command may be proposed again without harm.
 */
public sealed interface ControlCommand {

    /**
     * Returns the proposer's wall clock, by which records expire.
     *
     * @return milliseconds since the epoch.
     */
    long atMillis();

    /**
     * Applies an edit of the tables.
     *
     * @param edit the edit.
     * @param atMillis the proposer's wall clock.
     */
    record ApplyEdit(TableEdit edit, long atMillis) implements ControlCommand {}

    /**
     * Claims a request for one dispatch by one entry process.
     *
     * @param key the identity of the request.
     * @param fingerprint a digest of the request, which a resend must share.
     * @param holder the process and attempt that claim.
     * @param atMillis the proposer's wall clock.
     */
    record Claim(RequestKey key, String fingerprint, ClaimHolder holder, long atMillis) implements ControlCommand {}

    /**
     * Records that a claimed request ran to its end.
     *
     * @param key the identity of the request.
     * @param holder the process and attempt that hold the claim.
     * @param answer the answer, or one without a body where it was too large to store.
     * @param atMillis the proposer's wall clock.
     */
    record FinishClaim(RequestKey key, ClaimHolder holder, StoredAnswer answer, long atMillis)
            implements ControlCommand {}

    /**
     * Records the holder's proof that a claimed request did not run, so that a resend may claim it again.
     *
     * @param key the identity of the request.
     * @param holder the process and attempt that hold the claim.
     * @param atMillis the proposer's wall clock.
     */
    record ReleaseClaim(RequestKey key, ClaimHolder holder, long atMillis) implements ControlCommand {}

    /**
     * Records that a request was in flight at an upstream when it crashed.
     *
     * @param pool the pool of the upstream.
     * @param fingerprint the digest of the request's content.
     * @param crashId what tells this crash from others, so that several reports of it count once.
     * @param atMillis the proposer's wall clock.
     */
    record ReportCrash(String pool, String fingerprint, String crashId, long atMillis) implements ControlCommand {}

    /**
     * Changes a move, if it still stands where the proposal says.
     *
     * @param proposal the change.
     * @param atMillis the proposer's wall clock.
     */
    record ChangeMove(MoveDriver.Proposal proposal, long atMillis) implements ControlCommand {}

    /**
     * Records that a suspect ran to its end without a crash.
     *
     * @param pool the pool of the upstream.
     * @param fingerprint the digest of the request's content.
     * @param atMillis the proposer's wall clock.
     */
    record ClearSuspect(String pool, String fingerprint, long atMillis) implements ControlCommand {}

    /**
     * Changes the catalogue, its rollouts or the evacuated failure domains.
     */
    sealed interface CatalogueCommand extends ControlCommand {
        /**
         * Carries the change out.
         *
         * @param state the state to change.
         */
        void applyTo(CatalogueState state);
    }

    /**
     * Puts a whole catalogue in force.
     *
     * @param document the document.
     * @param atMillis the proposer's wall clock.
     */
    record PublishCatalogue(CatalogueState.Document document, long atMillis) implements CatalogueCommand {
        /** {@inheritDoc} */
        @Override
        public void applyTo(CatalogueState state) {
            state.publish(document);
        }
    }

    /**
     * Starts the move of a pool's requests to another version.
     *
     * @param pool the pool.
     * @param target the version.
     * @param periodMillis how long the move may take.
     * @param atMillis the proposer's wall clock.
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
     * @param target the version of the rollout that is meant.
     * @param stage the new stage.
     * @param atMillis the proposer's wall clock.
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
     * @param atMillis the proposer's wall clock.
     */
    record EvacuateDomain(String failureDomain, long atMillis) implements CatalogueCommand {
        /** {@inheritDoc} */
        @Override
        public void applyTo(CatalogueState state) {
            state.evacuate(failureDomain);
        }
    }

    /**
     * Takes the upstreams of a failure domain back into service.
     *
     * @param failureDomain the failure domain.
     * @param atMillis the proposer's wall clock.
     */
    record ReadmitDomain(String failureDomain, long atMillis) implements CatalogueCommand {
        /** {@inheritDoc} */
        @Override
        public void applyTo(CatalogueState state) {
            state.readmit(failureDomain);
        }
    }
}
