package org.radishspur.testkit;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;

import org.radishspur.testkit.upstream.StandInUpstream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Sends engine and service requests through every node, checks the answers, and prints them with the number of answers
 * from each upstream.
 */
@Command(name = "demo", mixinStandardHelpOptions = true)
final class DemoCommand implements Callable<Integer> {
    private static final int REQUESTS_PER_NODE = 12;
    private static final int TOKENS_PER_ANSWER = 20;
    private static final int OK = 200;
    private static final int PRINTED_CHARACTERS = 40;

    @Option(
            names = "--callers",
            required = true,
            split = ",",
            description = "The addresses on which the nodes accept requests.")
    private List<String> callerAddresses;

    private final HttpClient client = HttpClient.newHttpClient();
    private final Map<String, Integer> answersByNodeAndUpstream = new TreeMap<>();

    /** {@inheritDoc} */
    @Override
    public Integer call() throws IOException, InterruptedException {
        boolean allCorrect = true;
        for (String caller : callerAddresses) {
            allCorrect &= sendBriefings(caller);
            allCorrect &= sendHaulReportTwice(caller);
        }
        System.out.println();
        System.out.println("answers by node and upstream:");
        answersByNodeAndUpstream.forEach(
                (nodeAndUpstream, count) -> System.out.printf("  %-40s %d%n", nodeAndUpstream, count));
        return allCorrect ? 0 : 1;
    }

    private boolean sendBriefings(String caller) throws IOException, InterruptedException {
        boolean allCorrect = true;
        for (int number = 0; number < REQUESTS_PER_NODE; number++) {
            String body = "briefing " + number + " for " + caller;
            StringBuilder expected = new StringBuilder();
            for (int token = 0; token < TOKENS_PER_ANSWER; token++) {
                expected.append(StandInUpstream.tokenEvent(body, token));
            }
            HttpResponse<String> answer = send(caller, "/briefing", body, "");
            allCorrect &= answer.statusCode() == OK && answer.body().equals(expected.toString());
        }
        return allCorrect;
    }

    /** Sends one request twice with the same idempotency key, as a caller does that lost the first answer. */
    private boolean sendHaulReportTwice(String caller) throws IOException, InterruptedException {
        String body = "haul report through " + caller;
        String key = "haul-" + caller;
        HttpResponse<String> first = send(caller, "/haul-report", body, key);
        HttpResponse<String> second = send(caller, "/haul-report", body, key);
        boolean replayed = second.headers().firstValue("Radishspur-Replayed").isPresent();
        System.out.println("resent with the same key: replayed=" + replayed + ", same answer="
                + first.body().equals(second.body()));
        return replayed && first.body().equals(second.body());
    }

    private HttpResponse<String> send(String caller, String path, String body, String key)
            throws IOException, InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + caller + path))
                .header("Radishspur-Organisation", "demonstration")
                .header(StandInUpstream.TOKENS_HEADER, String.valueOf(TOKENS_PER_ANSWER))
                .header(StandInUpstream.NAME_HEADER, key.isEmpty() ? "demo" : key)
                .POST(HttpRequest.BodyPublishers.ofString(body));
        if (!key.isEmpty()) {
            request.header("Idempotency-Key", key);
        }
        HttpResponse<String> answer = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
        String upstream = answer.headers().firstValue("Radishspur-Upstream").orElse("-");
        answersByNodeAndUpstream.merge(caller + "  " + upstream, 1, Integer::sum);
        String text = answer.body().replace("\n", " ");
        System.out.println(answer.statusCode() + " " + path + " through " + caller + " by " + upstream + ": "
                + text.substring(0, Math.min(PRINTED_CHARACTERS, text.length())));
        return answer;
    }
}
