package org.radishspur.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Counts the requests that were not served, by time window, cause and rank, from structured logs.
 */
@Command(
        name = "losses",
        description =
                "Counts requests that were not served, by time, cause and rank, from the logs of any number of processes.",
        mixinStandardHelpOptions = true)
final class LossesCommand implements Callable<Integer> {
    private static final int FIRST_ERROR_STATUS = 400;
    private static final long MILLIS_PER_SECOND = 1_000;

    @Parameters(paramLabel = "FILE", description = "Log files; standard input if there are none.")
    private List<Path> files = List.of();

    @Option(
            names = "--window",
            paramLabel = "SECONDS",
            description = "Length of the windows that are counted separately; 0 counts everything together.",
            defaultValue = "0")
    private long windowSeconds;

    /** {@inheritDoc} */
    @Override
    public Integer call() throws IOException {
        Map<LossKey, Long> counts = new TreeMap<>(Comparator.comparingLong(LossKey::windowStart)
                .thenComparing(LossKey::cause)
                .thenComparingInt(LossKey::rank));
        EventReader.INSTANCE.read(
                files,
                line -> line.contains("\"request\""),
                event -> lossKeyOf(event).ifPresent(loss -> counts.merge(loss, 1L, Long::sum)));
        System.out.printf("%12s  %-44s %5s %8s%n", "from", "cause", "rank", "requests");
        counts.forEach((loss, count) ->
                System.out.printf("%12d  %-44s %5d %8d%n", loss.windowStart(), loss.cause(), loss.rank(), count));
        return ExitCode.DONE.code();
    }

    private Optional<LossKey> lossKeyOf(JsonNode event) {
        String reason = event.path("reason").asText();
        boolean answerBegun = event.path("events").asLong() > 0;
        String cause =
                switch (event.path("event").asText()) {
                    case "REFUSED" -> "refused: " + reason;
                    case "FAILED" -> "failed: " + reason + (answerBegun ? ", in the answer" : "");
                    case "LEFT" -> answerBegun ? "left in the answer" : "left before the answer";
                    case "ANSWERED" ->
                        event.path("status").asInt() >= FIRST_ERROR_STATUS
                                ? "upstream answered " + event.path("status").asInt()
                                : "";
                    default -> "";
                };
        return cause.isEmpty()
                ? Optional.empty()
                : Optional.of(new LossKey(
                        windowStart(event), cause, event.path("rank").asInt()));
    }

    /** Returns the start of the window of an event, in seconds since the epoch, or 0 without windows. */
    private long windowStart(JsonNode event) {
        if (windowSeconds <= 0) {
            return 0;
        }
        long second = event.path("at").asLong() / MILLIS_PER_SECOND;
        return second - second % windowSeconds;
    }

    /**
     * Identifies a group of losses that are counted together.
     *
     * @param windowStart the start of the window in seconds since the epoch, or 0 without windows.
     * @param cause the reason why the requests were not served.
     * @param rank the rank of the organisation and the tier of the route, combined into one number.
     */
    private record LossKey(long windowStart, String cause, int rank) {}
}
