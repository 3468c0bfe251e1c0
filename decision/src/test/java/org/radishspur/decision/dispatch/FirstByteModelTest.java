package org.radishspur.decision.dispatch;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class FirstByteModelTest {
    @Test
    void isUnknownWithoutAnswers() {
        assertThat(new FirstByteModel().isKnown()).isFalse();
    }

    @Test
    void estimatesTheTimeFromThePromptLength() {
        FirstByteModel model = new FirstByteModel();
        for (int count = 0; count < 30; count++) {
            double tokens = 500 + 300 * count;
            model.add(tokens, 40 + tokens / 100);
        }
        assertThat(model.millis(50_000)).isCloseTo(540, within(5.0));
    }

    @Test
    void usesTheMeanWherePromptsHaveTheSameLength() {
        FirstByteModel model = new FirstByteModel();
        for (int count = 0; count < 10; count++) {
            model.add(1_000, count % 2 == 0 ? 40 : 60);
        }
        assertThat(model.millis(9_000)).isCloseTo(50, within(3.0));
    }

    @Test
    void neverExpectsALongerPromptToBeFaster() {
        FirstByteModel model = new FirstByteModel();
        for (int count = 0; count < 20; count++) {
            model.add(1_000 + count * 100, 100 - count);
        }
        assertThat(model.millis(50_000)).isGreaterThanOrEqualTo(80);
    }
}
