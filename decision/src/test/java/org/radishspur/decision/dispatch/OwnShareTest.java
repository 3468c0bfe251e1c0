package org.radishspur.decision.dispatch;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.radishspur.model.catalogue.Upstream;

import static org.assertj.core.api.Assertions.assertThat;

class OwnShareTest {
    private static final long NOW = 1_000;

    private static UpstreamPool pool(int schedulers) {
        List<Upstream> upstreams = IntStream.range(0, 20)
                .mapToObj(number -> new Upstream("u" + number, 1, "pool", "10.0.0.1:80", "a", "v1", 4, false, false))
                .toList();
        UpstreamPool pool = new UpstreamPool("entry", "a", 4);
        pool.refresh(upstreams);
        pool.setSchedulerCount(schedulers);
        pool.loads().forEach(load -> load.recordEventTime(10, 1));
        return pool;
    }

    private static int grants(UpstreamPool pool) {
        int granted = 0;
        for (int request = 0; request < 200; request++) {
            QueuedRequest queued = new QueuedRequest(
                    "r",
                    0,
                    NOW,
                    NOW + 200,
                    VersionRule.Any.INSTANCE,
                    new QueuedRequest.Requirements(0, 0, 0, NOW + 400, NOW + 3_000));
            if (pool.choose(queued, 0, NOW).stream()
                    .peek(load -> load.recordSent(queued, 0, NOW))
                    .findAny()
                    .isPresent()) {
                granted++;
            }
        }
        return granted;
    }

    /** Guards against entries that all take all slots while they don't see each other's requests. */
    @Test
    void boundsWhatASchedulerGrantsThatDoesNotSeeTheOthers() {
        UpstreamPool pool = pool(20);
        pool.limitToShare();
        assertThat(grants(pool)).isEqualTo(8);
    }

    @Test
    void leavesOneRequestWhereThereAreMoreSchedulersThanSlots() {
        assertThat(OwnShare.INSTANCE.maxInProgress(1, 100)).isEqualTo(1);
        assertThat(OwnShare.INSTANCE.maxInProgress(30, 60)).isEqualTo(2);
    }

    @Test
    void doesNotBoundASchedulerThatSeesTheOthers() {
        assertThat(grants(pool(20))).isEqualTo(80);
    }
}
