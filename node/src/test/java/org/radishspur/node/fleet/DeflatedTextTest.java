package org.radishspur.node.fleet;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.radishspur.model.error.RadishspurException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class DeflatedTextTest {
    @Property(tries = 200, seed = "4721")
    void restoresEveryText(@ForAll String text) {
        String wellFormed = new String(
                text.getBytes(java.nio.charset.StandardCharsets.UTF_8), java.nio.charset.StandardCharsets.UTF_8);
        assertThat(DeflatedText.of(wellFormed).text()).isEqualTo(wellFormed);
    }

    /** Guards against catalogues that cause as much traffic between failure domains as all requests together. */
    @Test
    void compressesACatalogueOfManyRoutesToAQuarterAtMost() {
        StringBuilder routes = new StringBuilder();
        for (int route = 0; route < 1_500; route++) {
            routes.append("{\"name\":\"r-")
                    .append(route * 7_919 % 100_003)
                    .append("\",\"host\":\"h")
                    .append(route * 31 % 977)
                    .append(".example\",\"timeoutMs\":5000},");
        }
        assertThat(DeflatedText.of(routes.toString()).bytes().length).isLessThan(routes.length() / 4);
    }

    @Test
    void rejectsBytesThatAreNoCompressedText() {
        assertThatThrownBy(() -> new DeflatedText(new byte[] {1, 2, 3}).text()).isInstanceOf(RadishspurException.class);
    }
}
