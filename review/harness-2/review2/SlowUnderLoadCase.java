package review2;

import java.nio.file.Path;

/** A version is rolled out that is sound while it has little to do, and several times slower under load. */
final class SlowUnderLoadCase {
    /** How many times slower the bad version is while a worker of it runs more than one request. */
    private static final int SLOWER = 4;

    private SlowUnderLoadCase() {}

    static int run(Path repository, Record record, boolean trouble) throws Exception {
        try (RolloutScene scene = new RolloutScene(repository, record)) {
            if (!scene.start()) {
                return 2;
            }
            scene.order("v2", running -> trouble && running > 1 ? SLOWER * RolloutScene.WORK_MILLIS : RolloutScene.WORK_MILLIS);
            if (scene.awaitEnd().equals("completed")) {
                scene.stop("v1");
            }
            scene.awaitDeadline();
            boolean exposed = scene.isExposed("v2");
            return trouble && exposed ? 1 : 0;
        }
    }
}
