package org.radishspur.node.entry;

import org.junit.jupiter.api.Test;
import org.radishspur.node.settings.PlatformProcessSettings.Memory;

import static org.assertj.core.api.Assertions.assertThat;

class HeldBytesTest {
    private static final long HEAP = 80_000_000;

    /** Guards against bodies that take the heap of an entry whose settings don't state that callers read slowly. */
    @Test
    void limitsBodiesOnlyWhereReadersAreNotSlow() {
        HeldBytes held = HeldBytes.of(new Memory(false, 330_000_000), HEAP);
        assertThat(held.isLimited()).isFalse();
        assertThat(held.share().trySet(Long.MAX_VALUE / 4, HeldBytes.Use.READ_AHEAD))
                .isTrue();
        assertThat(held.hasRoom(HeldBytes.Use.READ_AHEAD, Long.MAX_VALUE / 4)).isTrue();
        assertThat(held.requestBytes()).isZero();
        HeldBytes.Share large = held.bodyShare();
        assertThat(large.trySet(30_000_001, HeldBytes.Use.LARGE_BODY)).isFalse();
        assertThat(large.trySet(30_000_000, HeldBytes.Use.LARGE_BODY)).isTrue();
        HeldBytes.Share small = held.bodyShare();
        assertThat(small.trySet(10_000_001, HeldBytes.Use.REQUEST)).isFalse();
        assertThat(small.trySet(10_000_000, HeldBytes.Use.REQUEST)).isTrue();
        large.close();
        assertThat(held.total()).isEqualTo(10_000_000);
    }

    @Test
    void isBoundedByTheHeapAndByWhatIsLeftBesideIt() {
        assertThat(HeldBytes.of(new Memory(true, 330_000_000), HEAP).budget()).isEqualTo(20_000_000);
        assertThat(HeldBytes.of(new Memory(true, 100_000_000), HEAP).budget()).isEqualTo(5_000_000);
        assertThat(HeldBytes.of(new Memory(true, 0), HEAP).budget()).isEqualTo(20_000_000);
        assertThat(HeldBytes.of(new Memory(false, 100_000_000), HEAP).budget()).isEqualTo(10_000_000);
        assertThat(HeldBytes.of(new Memory(false, 0), HEAP).budget()).isEqualTo(40_000_000);
    }

    /** Guards against responses for slow callers that leave no memory for the requests of others. */
    @Test
    void leavesRoomForRequestsBesideResponsesAndLargeBodies() {
        HeldBytes held = new HeldBytes(1_000, true);
        HeldBytes.Share ahead = held.share();
        assertThat(ahead.trySet(501, HeldBytes.Use.READ_AHEAD)).isFalse();
        assertThat(ahead.trySet(500, HeldBytes.Use.READ_AHEAD)).isTrue();
        HeldBytes.Share large = held.share();
        assertThat(large.trySet(251, HeldBytes.Use.LARGE_BODY)).isFalse();
        assertThat(large.trySet(250, HeldBytes.Use.LARGE_BODY)).isTrue();
        HeldBytes.Share request = held.share();
        assertThat(request.trySet(251, HeldBytes.Use.REQUEST)).isFalse();
        assertThat(request.trySet(250, HeldBytes.Use.REQUEST)).isTrue();
        ahead.close();
        ahead.close();
        assertThat(held.total()).isEqualTo(500);
    }
}
