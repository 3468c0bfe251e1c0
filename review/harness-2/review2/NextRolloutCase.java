package review2;

import java.nio.file.Path;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A bad version is rolled back, and the operator at once orders the next version, while the workers of the bad one are
 * still listed as ready, as they drain some seconds later.
 */
final class NextRolloutCase {
    /** The share of its answers on the second route that the bad version fails. */
    private static final double BAD_SHARE = 0.5;

    private static final long DRAIN_AFTER_MILLIS = 3_500;

    private NextRolloutCase() {}

    static int run(Path repository, Record record, boolean trouble) throws Exception {
        try (RolloutScene scene = new RolloutScene(repository, record)) {
            if (!scene.start()) {
                return 2;
            }
            scene.order("v2", new FailsOnSecondRoute());
            if (!scene.awaitEnd().equals("rolled_back")) {
                return 2;
            }
            if (trouble) {
                scene.order("v3", running -> RolloutScene.WORK_MILLIS);
            }
            Thread.sleep(DRAIN_AFTER_MILLIS);
            scene.setDraining("v2");
            scene.awaitDeadline();
            return scene.isExposed("v2") ? 1 : 0;
        }
    }

    /** A bad version: half of its answers on one route are failures. */
    private static final class FailsOnSecondRoute implements Worker.Behaviour {
        @Override
        public long workMillis(int running) {
            return RolloutScene.WORK_MILLIS;
        }

        @Override
        public boolean fails(Http.Message request, int running) {
            return request.target().startsWith(RolloutScene.SECOND_ROUTE)
                    && ThreadLocalRandom.current().nextDouble() < BAD_SHARE;
        }
    }
}
