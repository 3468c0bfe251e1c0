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
        void takesAHigherRevision() {
            state.publish(new Document(3, "three"));
            state.publish(new Document(9, "nine"));
            assertThat(state.document()).isEqualTo(new Document(9, "nine"));
        }

        /** An answer was lost, and the operator sends an older change again after a newer one: nothing goes back. */
        @Test
        void ignoresAnOlderRevisionThatArrivesAgain() {
            state.publish(new Document(9, "nine"));
            state.publish(new Document(3, "three"));
            assertThat(state.document().revision()).isEqualTo(9);
        }

        /** Two operators use one revision for different content: the first one stands. */
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

        /** A leader that was cut off proposes the end of a rollout whose place another one has taken. */
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
        /** Guards against an order that is refused because it was sent again after its answer was lost. */
        @Test
        void acceptsTheSameCommandTwice() {
            state.evacuate("a");
            state.evacuate("a");
            assertThat(state.evacuated()).containsExactly("a");
            state.readmit("a");
            state.readmit("a");
            assertThat(state.evacuated()).isEmpty();
        }

        /** Guards against one order that undoes another where two failure domains are emptied at once. */
        @Test
        void readmitsOnlyTheNamedFailureDomain() {
            state.evacuate("a");
            state.evacuate("b");
            state.readmit("a");
            assertThat(state.evacuated()).containsExactly("b");
        }
    }

    /** Guards against an acknowledged evacuation that is lost with the log entries that a snapshot replaces. */
    @Test
    void keepsEvacuationsInASnapshot() {
        ControlState whole = new ControlState(StateOptions.STANDARD);
        whole.apply(new ControlCommand.EvacuateDomain("a", 1));
        whole.apply(new ControlCommand.EvacuateDomain("b", 2));
        whole.apply(new ControlCommand.ReadmitDomain("a", 3));
        ControlState restored = new ControlState(StateOptions.STANDARD);
        restored.restore(whole.image().encode());
        assertThat(restored.catalogue().evacuated()).containsExactly("b");
    }

    /** Guards against a replica that can't start on the snapshot of a version without evacuations. */
    @Test
    void readsAnImageWithoutEvacuations() {
        assertThat(new CatalogueState.Image(Document.NONE, java.util.List.of(), null).evacuated())
                .isEmpty();
    }

    @Test
    void keepsTheDocumentAndTheRolloutsInASnapshot() {
        ControlState whole = new ControlState(StateOptions.STANDARD);
        whole.apply(new ControlCommand.PublishCatalogue(new Document(4, "four"), 1));
        whole.apply(new ControlCommand.StartRollout("pool", "v2", 12_000, 2));
        ControlState restored = new ControlState(StateOptions.STANDARD);
        restored.restore(whole.image().encode());
        assertThat(restored.catalogue().document()).isEqualTo(new Document(4, "four"));
        assertThat(restored.catalogue().rollouts()).isEqualTo(whole.catalogue().rollouts());
    }
}
