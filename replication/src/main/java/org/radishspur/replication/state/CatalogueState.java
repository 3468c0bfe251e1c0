package org.radishspur.replication.state;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Holds the newest catalogue document, the rollouts of pools and the failure domains that are evacuated.
 *
 * <p>The document is kept as the operator sent it, so that it is read back unchanged; a document whose revision is not
 * higher than the present one changes nothing, which makes resends and races harmless.
 */
public final class CatalogueState {
    private Document document = Document.NONE;
    private final Map<String, Rollout> rollouts = new TreeMap<>();
    private final Set<String> evacuated = new TreeSet<>();

    /** Creates the state before the first document. */
    public CatalogueState() {}

    CatalogueState(Image image) {
        document = image.document();
        image.rollouts().forEach(rollout -> rollouts.put(rollout.pool(), rollout));
        evacuated.addAll(image.evacuated());
    }

    /**
     * Puts a document in force if it is newer than the present one.
     *
     * @param offered the document.
     */
    void publish(Document offered) {
        if (offered.revision() > document.revision()) {
            document = offered;
        }
    }

    /**
     * Starts a rollout, unless the same one was started before.
     *
     * @param pool the pool whose requests are to move.
     * @param target the version that they are to move to.
     * @param periodMillis how long the move may take.
     * @param atMillis the proposer's wall clock.
     */
    void startRollout(String pool, String target, long periodMillis, long atMillis) {
        Rollout present = rollouts.get(pool);
        if (present == null || !present.target().equals(target)) {
            rollouts.put(pool, new Rollout(pool, target, periodMillis, atMillis, RolloutStage.RUNNING));
        }
    }

    /**
     * Moves a rollout to another stage, unless it has ended or another one has taken its place.
     *
     * @param pool the pool.
     * @param target the version of the rollout that is meant.
     * @param stage the new stage.
     */
    void advanceRollout(String pool, String target, RolloutStage stage) {
        Rollout present = rollouts.get(pool);
        if (present != null
                && present.target().equals(target)
                && !present.stage().isFinal()) {
            rollouts.put(pool, present.withStage(stage));
        }
    }

    /**
     * Takes the upstreams of a failure domain out of service, or does nothing where they are already.
     *
     * @param failureDomain the failure domain.
     */
    void evacuate(String failureDomain) {
        evacuated.add(failureDomain);
    }

    /**
     * Takes the upstreams of a failure domain back into service, or does nothing where they are in service.
     *
     * @param failureDomain the failure domain.
     */
    void readmit(String failureDomain) {
        evacuated.remove(failureDomain);
    }

    /**
     * Returns the document in force.
     *
     * @return the document; its revision is 0 before the first one.
     */
    public Document document() {
        return document;
    }

    /**
     * Returns the latest rollout of every pool that has had one.
     *
     * @return the rollouts.
     */
    public Collection<Rollout> rollouts() {
        return java.util.List.copyOf(rollouts.values());
    }

    /**
     * Finds the latest rollout of a pool.
     *
     * @param pool the pool.
     * @return the rollout, or nothing where there was none.
     */
    public Optional<Rollout> rollout(String pool) {
        return Optional.ofNullable(rollouts.get(pool));
    }

    /**
     * Returns the failure domains whose upstreams are to get no new request.
     *
     * @return the names.
     */
    public Set<String> evacuated() {
        return Set.copyOf(evacuated);
    }

    Image image() {
        return new Image(document, rollouts(), evacuated());
    }

    /**
     * Holds one document.
     *
     * @param revision the revision that the document states.
     * @param text the document as it was sent.
     */
    public record Document(long revision, String text) {
        /** Stands for the absence of a document. */
        public static final Document NONE = new Document(0, "");
    }

    /**
     * Lists how far a rollout may be.
     */
    public enum RolloutStage {
        /** A small share of the requests goes to the target, to judge it. */
        RUNNING(false),
        /** The target was found good, and all requests go to it. */
        MOVING(false),
        /** The target is the pool's version now. */
        COMPLETED(true),
        /** The target was found bad, and nothing goes to it any more. */
        ROLLED_BACK(true);

        private final boolean terminal;

        RolloutStage(boolean last) {
            this.terminal = last;
        }

        /**
         * Returns whether the rollout has ended.
         *
         * @return whether no other stage follows.
         */
        public boolean isFinal() {
            return terminal;
        }
    }

    /**
     * Describes the move of a pool's requests to upstreams of another version.
     *
     * @param pool the pool.
     * @param target the version that the requests are to move to.
     * @param periodMillis how long the move may take.
     * @param startedAtMillis the wall clock of the replica that took the order.
     * @param stage how far it is.
     */
    public record Rollout(String pool, String target, long periodMillis, long startedAtMillis, RolloutStage stage) {
        Rollout withStage(RolloutStage changed) {
            return new Rollout(pool, target, periodMillis, startedAtMillis, changed);
        }
    }

    /**
     * Holds the state for a snapshot.
     *
     * @param document the document in force.
     * @param rollouts the rollouts.
     * @param evacuated the evacuated failure domains; a snapshot of an older version has none.
     */
    public record Image(Document document, Collection<Rollout> rollouts, Set<String> evacuated) {
        /** Puts the empty set where nothing was stored. */
        public Image {
            evacuated = evacuated == null ? Set.of() : Set.copyOf(evacuated);
        }
    }
}
