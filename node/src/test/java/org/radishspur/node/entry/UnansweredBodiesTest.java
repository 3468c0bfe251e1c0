package org.radishspur.node.entry;

import org.junit.jupiter.api.Test;
import org.radishspur.model.catalogue.Upstream;

import static org.assertj.core.api.Assertions.assertThat;

class UnansweredBodiesTest {
    private static final int MAX_BODY = 4 << 20;
    private static final int MANY_ENTRIES = 70;

    private final UnansweredBodies bodies = new UnansweredBodies();
    private final Upstream upstream = new Upstream("u", 1, "pool", "127.0.0.1:1", "a", "v1", 4, false, false);

    private boolean hasRoom(long bytes, int entries) {
        return bodies.hasRoom(upstream, bytes, MAX_BODY, entries);
    }

    /** Guards against large bodies of one entry that exhaust the memory of an upstream. */
    @Test
    void leavesRoomForOneLargestBodyOfOneOfManyEntries() {
        assertThat(hasRoom(MAX_BODY, MANY_ENTRIES)).isTrue();
        bodies.add(upstream, MAX_BODY / 2);
        assertThat(hasRoom(MAX_BODY / 2, MANY_ENTRIES)).isTrue();
        assertThat(hasRoom(MAX_BODY / 2 + 1, MANY_ENTRIES)).isFalse();
        assertThat(bodies.avoidedBy(MAX_BODY)).containsExactly(upstream.runId());
    }

    @Test
    void leavesTheOnlyEntryOneLargestBodyForEachSlot() {
        for (int slot = 0; slot < upstream.slots(); slot++) {
            assertThat(hasRoom(MAX_BODY, 1)).isTrue();
            bodies.add(upstream, MAX_BODY);
        }
        assertThat(hasRoom(MAX_BODY, 1)).isFalse();
    }

    /** Guards against requests with small bodies that wait because of large ones. */
    @Test
    void neitherBoundsNorCountsSmallBodies() {
        bodies.add(upstream, RequestBody.SMALL_BYTES);
        assertThat(bodies.avoidedBy(MAX_BODY)).isEmpty();
        bodies.add(upstream, MAX_BODY);
        assertThat(hasRoom(RequestBody.SMALL_BYTES, MANY_ENTRIES)).isTrue();
        assertThat(bodies.avoidedBy(RequestBody.SMALL_BYTES)).isEmpty();
    }

    @Test
    void hasRoomAgainOnceABodyIsAnswered() {
        bodies.add(upstream, MAX_BODY);
        bodies.remove(upstream, MAX_BODY);
        assertThat(hasRoom(MAX_BODY, MANY_ENTRIES)).isTrue();
        assertThat(bodies.avoidedBy(MAX_BODY)).isEmpty();
    }
}
