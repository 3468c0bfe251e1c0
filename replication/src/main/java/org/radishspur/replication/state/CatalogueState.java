package org.radishspur.replication.state;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Holds the latest catalogue document, the rollouts of pools and the evacuated failure domains.
 *
 * <p>The document is stored exactly as the operator sent it, so that it is returned unchanged. A document whose
 * revision isn't higher than the current one is ignored, so that retries and concurrent publications do no harm.
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
     * Replaces the document if the given one has a higher revision.
     *
     * @param newDocument the document to publish.
     */
    void publish(Document newDocument) {
        if (newDocument.revision() > document.revision()) {
            document = newDocument;
        }
    }

    /**
     * Starts a rollout, unless the latest rollout of the pool has the same target.
     *
     * @param pool the pool whose requests move.
     * @param target the version that they move to.
     * @param periodMillis how long the move may take, in milliseconds.
     * @param atMillis the proposer's wall clock, in milliseconds since the epoch.
     */
    void startRollout(String pool, String target, long periodMillis, long atMillis) {
        Rollout current = rollouts.get(pool);
        if (current == null || !current.target().equals(target)) {
            rollouts.put(pool, new Rollout(pool, target, periodMillis, atMillis, RolloutStage.RUNNING));
        }
    }

    /**
     * Moves a rollout to another stage, unless it has ended or was replaced by another one.
     *
     * @param pool the pool.
     * @param target the target version of the rollout to change.
     * @param stage the new stage.
     */
    void advanceRollout(String pool, String target, RolloutStage stage) {
        Rollout current = rollouts.get(pool);
        if (current != null
                && current.target().equals(target)
                && !current.stage().isFinal()) {
            rollouts.put(pool, current.withStage(stage));
        }
    }

    /**
     * Takes the upstreams of a failure domain out of service; does nothing where they already are.
     *
     * @param failureDomain the failure domain.
     */
    void evacuate(String failureDomain) {
        evacuated.add(failureDomain);
    }

    /**
     * Puts the upstreams of a failure domain back into service; does nothing where they already are.
     *
     * @param failureDomain the failure domain.
     */
    void readmit(String failureDomain) {
        evacuated.remove(failureDomain);
    }

    /**
     * Returns the current document.
     *
     * @return the document; its revision is 0 before the first one is published.
     */
    public Document document() {
        return document;
    }

    /**
     * Returns the latest rollout of each pool that has had one.
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
     * @return the rollout, or empty where the pool has had none.
     */
    public Optional<Rollout> rollout(String pool) {
        return Optional.ofNullable(rollouts.get(pool));
    }

    /**
     * Returns the failure domains whose upstreams get no new requests.
     *
     * @return the names of the failure domains.
     */
    public Set<String> evacuated() {
        return Set.copyOf(evacuated);
    }

    Image image() {
        return new Image(document, rollouts(), evacuated());
    }

    /**
     * Holds a catalogue document.
     *
     * @param revision the revision that the document states.
     * @param text the document as the operator sent it.
     */
    public record Document(long revision, String text) {
        /** The empty document that is current before the first one is published. */
        public static final Document NONE = new Document(0, "");
    }

    /**
     * Lists the stages of a rollout.
     */
    public enum RolloutStage {
        /** A small share of the requests goes to the target version, to evaluate it. */
        RUNNING(false),
        /** The target version passed the evaluation, and all requests go to it. */
        MOVING(false),
        /** The target version is now the version of the pool. */
        COMPLETED(true),
        /** The target version failed the evaluation, and no requests go to it any more. */
        ROLLED_BACK(true);

        private final boolean terminal;

        RolloutStage(boolean terminal) {
            this.terminal = terminal;
        }

        /**
         * Returns whether a rollout in this stage has ended.
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
     * @param target the version that the requests move to.
     * @param periodMillis how long the move may take, in milliseconds.
     * @param startedAtMillis the wall clock of the proposer of the rollout, in milliseconds since the epoch.
     * @param stage the current stage.
     */
    public record Rollout(String pool, String target, long periodMillis, long startedAtMillis, RolloutStage stage) {
        Rollout withStage(RolloutStage newStage) {
            return new Rollout(pool, target, periodMillis, startedAtMillis, newStage);
        }
    }

    /**
     * Holds a copy of the state for a snapshot.
     *
     * @param document the current document.
     * @param rollouts the latest rollout of each pool.
     * @param evacuated the evacuated failure domains; {@code null} in snapshots of versions without evacuations.
     */
    public record Image(Document document, Collection<Rollout> rollouts, Set<String> evacuated) {
        /** Replaces a missing set of failure domains with an empty one. */
        public Image {
            evacuated = evacuated == null ? Set.of() : Set.copyOf(evacuated);
        }
    }
}
