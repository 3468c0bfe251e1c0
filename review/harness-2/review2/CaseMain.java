package review2;

import java.nio.file.Path;

/** Runs one case: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. */
public final class CaseMain {
    private CaseMain() {}

    /** Takes the case's name, the repository and the folder of the case. */
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        Path repository = Path.of(arguments[1]).toAbsolutePath();
        try (Record record = new Record(Path.of(arguments[2], "record.txt"))) {
            try {
                code = run(arguments[0], repository, record, trouble);
            } catch (Exception exception) {
                record.line("the case couldn't run: %s", exception);
                exception.printStackTrace();
            }
            record.line("exit %d", code);
        }
        System.out.println(arguments[0] + (trouble ? "" : " without the disruption") + ": exit " + code);
        Runtime.getRuntime().halt(code);
    }

    private static int run(String name, Path repository, Record record, boolean trouble) throws Exception {
        return switch (name) {
            case "last-tenant" -> new LastTenantCase(repository, record, trouble).run();
            case "next-rollout" -> NextRolloutCase.run(repository, record, trouble);
            case "slow-under-load" -> SlowUnderLoadCase.run(repository, record, trouble);
            case "bad-manifest" -> BadManifestCase.run(repository, record, trouble);
            case "list-moves" -> ListMovesCase.run(repository, record, trouble);
            case "deadly-request" -> DeadlyRequestCase.run(repository, record, trouble);
            case "added-route" -> AddedRouteCase.run(repository, record, trouble);
            default -> throw new IllegalArgumentException(name);
        };
    }
}
