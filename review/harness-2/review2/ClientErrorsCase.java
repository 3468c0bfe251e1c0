package review2;

import java.nio.file.Path;
import java.util.concurrent.ThreadLocalRandom;

/** A bad version is rolled out that answers a portion of the requests with a status from 400 to 499. */
final class ClientErrorsCase {
    /** The share of its answers that the bad version fails. */
    private static final double BAD_SHARE = 0.5;

    /** Unprocessable content; no status by which a worker rejects a request without running it. */
    private static final int FAILURE_STATUS = 422;

    private ClientErrorsCase() {}

    static int run(Path repository, Record record, boolean trouble) throws Exception {
        try (RolloutScene scene = new RolloutScene(repository, record)) {
            if (!scene.start()) {
                return 2;
            }
            scene.order("v2", trouble ? new FailsHalf() : running -> RolloutScene.WORK_MILLIS);
            if (scene.awaitEnd().equals("completed")) {
                scene.stop("v1");
            }
            scene.awaitDeadline();
            boolean exposed = scene.isExposed("v2");
            return trouble && exposed ? 1 : 0;
        }
    }

    /** A bad version: half of its answers are failures. */
    private static final class FailsHalf implements Worker.Behaviour {
        @Override
        public long workMillis(int running) {
            return RolloutScene.WORK_MILLIS;
        }

        @Override
        public boolean fails(Http.Message request, int running) {
            return ThreadLocalRandom.current().nextDouble() < BAD_SHARE;
        }

        @Override
        public int failureStatus() {
            return FAILURE_STATUS;
        }
    }
}
