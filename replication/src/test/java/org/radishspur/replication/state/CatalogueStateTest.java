package org.radishspur.replication.state;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.radishspur.replication.state.CatalogueState.Document;
import org.radishspur.replication.state.CatalogueState.RolloutStage;

import static org.assertj.core.api.Assertions.assertThat;

class CatalogueStateTest {
    private final CatalogueState state = new CatalogueState();

    @Nested
    class Publishing {
        @Test
        void acceptsAHigherRevision() {
            state.publish(new Document(3, "three"));
            state.publish(new Document(9, "nine"));
            assertThat(state.document()).isEqualTo(new Document(9, "nine"));
        }

        /** Guards against the return of an old document when an operator retries it after a newer one was published. */
        @Test
        void ignoresAnOlderRevisionThatArrivesAgain() {
            state.publish(new Document(9, "nine"));
            state.publish(new Document(3, "three"));
            assertThat(state.document().revision()).isEqualTo(9);
        }

        /** Guards against replicas with different documents when two operators use the same revision. */
        @Test
        void ignoresOtherContentUnderTheSameRevision() {
            state.publish(new Document(9, "nine"));
            state.publish(new Document(9, "other"));
            assertThat(state.document().text()).isEqualTo("nine");
        }
    }

    @Nested
    class RollingOut {
        @Test
        void startsTheSameRolloutOnce() {
            state.startRollout("pool", "v2", 12_000, 100);
            state.startRollout("pool", "v2", 12_000, 900);
            assertThat(state.rollout("pool")).get().satisfies(rollout -> {
                assertThat(rollout.startedAtMillis()).isEqualTo(100);
                assertThat(rollout.stage()).isEqualTo(RolloutStage.RUNNING);
            });
        }

        @Test
        void neverLeavesAFinalStage() {
            state.startRollout("pool", "v2", 12_000, 100);
            state.advanceRollout("pool", "v2", RolloutStage.ROLLED_BACK);
            state.advanceRollout("pool", "v2", RolloutStage.COMPLETED);
            assertThat(state.rollout("pool").orElseThrow().stage()).isEqualTo(RolloutStage.ROLLED_BACK);
        }

        /** Guards against a delayed command of an earlier leader that ends the rollout that replaced its own. */
        @Test
        void ignoresTheEndOfARolloutThatWasReplaced() {
            state.startRollout("pool", "v2", 12_000, 100);
            state.startRollout("pool", "v3", 12_000, 200);
            state.advanceRollout("pool", "v2", RolloutStage.COMPLETED);
            assertThat(state.rollout("pool").orElseThrow().stage()).isEqualTo(RolloutStage.RUNNING);
        }
    }

    @Nested
    class Evacuating {
        /** Guards against a failure when an operator retries a command whose answer was lost. */
        @Test
        void acceptsTheSameCommandTwice() {
            state.evacuate("a");
            state.evacuate("a");
            assertThat(state.evacuated()).containsExactly("a");
            state.readmit("a");
            state.readmit("a");
            assertThat(state.evacuated()).isEmpty();
        }

        /** Guards against a readmission that affects another failure domain evacuated at the same time. */
        @Test
        void readmitsOnlyTheNamedFailureDomain() {
            state.evacuate("a");
            state.evacuate("b");
            state.readmit("a");
            assertThat(state.evacuated()).containsExactly("b");
        }
    }

    /** Guards against the loss of an acknowledged evacuation when its log entry is replaced by a snapshot. */
    @Test
    void keepsEvacuationsInASnapshot() {
        ControlState original = new ControlState(StateOptions.DEFAULTS);
        original.apply(new ControlCommand.EvacuateDomain("a", 1));
        original.apply(new ControlCommand.EvacuateDomain("b", 2));
        original.apply(new ControlCommand.ReadmitDomain("a", 3));
        ControlState restored = new ControlState(StateOptions.DEFAULTS);
        restored.restore(original.image().encode());
        assertThat(restored.catalogue().evacuated()).containsExactly("b");
    }

    /** Guards against a replica that can't start from a snapshot written by a version without evacuations. */
    @Test
    void readsAnImageWithoutEvacuations() {
        assertThat(new CatalogueState.Image(Document.NONE, java.util.List.of(), null).evacuated())
                .isEmpty();
    }

    @Test
    void keepsTheDocumentAndTheRolloutsInASnapshot() {
        ControlState original = new ControlState(StateOptions.DEFAULTS);
        original.apply(new ControlCommand.PublishCatalogue(new Document(4, "four"), 1));
        original.apply(new ControlCommand.StartRollout("pool", "v2", 12_000, 2));
        ControlState restored = new ControlState(StateOptions.DEFAULTS);
        restored.restore(original.image().encode());
        assertThat(restored.catalogue().document()).isEqualTo(new Document(4, "four"));
        assertThat(restored.catalogue().rollouts())
                .isEqualTo(original.catalogue().rollouts());
    }
}
