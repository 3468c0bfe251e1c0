package org.radishspur.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import org.radishspur.model.codec.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Prints the events of one request, in order of time, from the structured logs of any number of processes.
 */
@Command(
        name = "trace",
        description =
                "Prints the events of one request, in order of time, from the structured logs of any number of processes.",
        mixinStandardHelpOptions = true)
final class TraceCommand implements Callable<Integer> {
    /** The explanations by the reason code of a refusal or failure. */
    private static final Map<String, String> EXPLANATIONS = Map.ofEntries(
            Map.entry("overload", "no slot was expected to become free in the pool within the request's maximum wait"),
            Map.entry("quota", "the organisation had used up its quota"),
            Map.entry(
                    "unconfirmed",
                    "the entry had no confirmation by the control leader that its tables are still in force"),
            Map.entry("memory", "the entry held as many bytes for its callers as it may; it was refused before it ran"),
            Map.entry("expired", "its deadline passed before it was sent to an upstream"),
            Map.entry("not-taken", "no upstream accepted it"),
            Map.entry("route-unknown", "no route of the tables in force matches it"),
            Map.entry("key-unknown", "its key is missing or belongs to no organisation in the tables in force"),
            Map.entry("timeout", "its deadline passed after it was sent; it may have run"),
            Map.entry(
                    "upstream-failed",
                    "the connection to the upstream broke or its answer was invalid; it may have run"),
            Map.entry(
                    "region-unavailable", "no failure domain lies in a region that its route and organisation allow"));

    @Parameters(index = "0", paramLabel = "REQUEST", description = "The request's id.")
    private String requestId;

    @Parameters(index = "1..*", paramLabel = "FILE", description = "Log files; standard input if there are none.")
    private List<Path> files = List.of();

    @Option(names = "--explain", description = "Also print an explanation of how the request ended.")
    private boolean explain;

    /** {@inheritDoc} */
    @Override
    public Integer call() throws IOException {
        List<JsonNode> events = new ArrayList<>();
        EventReader.INSTANCE.read(files, line -> line.contains(requestId), event -> {
            if (event.path("request").asText().equals(requestId)) {
                events.add(event);
            }
        });
        if (events.isEmpty()) {
            System.err.println("no event found for request " + requestId);
            return ExitCode.FAILED.code();
        }
        events.sort(Comparator.comparingLong(event -> event.path("at").asLong()));
        events.forEach(event -> System.out.println(Json.INSTANCE.write(event)));
        if (explain) {
            System.out.println(explanation(events));
        }
        return ExitCode.DONE.code();
    }

    private static String explanation(List<JsonNode> events) {
        JsonNode last = events.get(events.size() - 1);
        String reason = last.path("reason").asText("");
        String location = last.path("upstream").asText("").isEmpty()
                ? ""
                : " at upstream " + last.path("upstream").asText();
        return switch (last.path("event").asText()) {
            case "REFUSED" ->
                "The request was refused and has not run: " + EXPLANATIONS.getOrDefault(reason, reason) + '.';
            case "FAILED" ->
                "The request failed" + location + ": " + EXPLANATIONS.getOrDefault(reason, reason) + " ("
                        + last.path("cause").asText() + ").";
            case "LEFT" -> "The caller disconnected before its answer was complete" + location + '.';
            case "ANSWERED" ->
                "The upstream's answer with status " + last.path("status").asText() + " was forwarded to its end.";
            default -> "The request was still in progress when the logs end.";
        };
    }
}
