package org.radishspur.testkit.load;

import java.util.Locale;
import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures the latency of calls to an address, optionally against that of a baseline address called in alternation.
 */
@Command(name = "load", mixinStandardHelpOptions = true)
public final class LoadCommand implements Callable<Integer> {
    @Option(names = "--target", required = true, description = "The address to call.")
    private String target;

    @Option(names = "--baseline", description = "An address to call in alternation with the target, for comparison.")
    private String baseline;

    @Option(names = "--path", defaultValue = "/", description = "The path to call.")
    private String path;

    @Option(
            names = "--connections",
            defaultValue = "1",
            description = "Connections; each waits for an answer before its next call.")
    private int connections;

    @Option(names = "--requests", defaultValue = "2000", description = "Calls in each round.")
    private int requests;

    @Option(names = "--rounds", defaultValue = "5", description = "Rounds; the first one warms up and is not counted.")
    private int rounds;

    @Option(names = "--tokens", defaultValue = "1", description = "Tokens to ask for in each answer.")
    private int tokens;

    @Option(names = "--keys", description = "Send an idempotency key with each call.")
    private boolean idempotencyKeys;

    /** {@inheritDoc} */
    @Override
    public Integer call() throws InterruptedException {
        LoadResult targets = new LoadResult();
        LoadResult baselines = new LoadResult();
        try (LoadClient client = new LoadClient()) {
            for (int round = 0; round < rounds; round++) {
                LoadClient.Plan plan = new LoadClient.Plan(path, connections, requests, tokens, idempotencyKeys);
                LoadResult fromTarget = client.run(target, plan);
                LoadResult fromBaseline = baseline == null ? new LoadResult() : client.run(baseline, plan);
                if (round > 0) {
                    targets.add(fromTarget);
                    baselines.add(fromBaseline);
                }
            }
        }
        System.out.println("target    " + targets);
        if (baseline != null) {
            System.out.println("baseline  " + baselines);
            System.out.printf(
                    Locale.ROOT,
                    "added     p50 %d us (ratio %.2f), p99 %d us (ratio %.2f)%n",
                    targets.latencyMicros(50) - baselines.latencyMicros(50),
                    targets.latencyMicros(50) / (double) Math.max(1, baselines.latencyMicros(50)),
                    targets.latencyMicros(99) - baselines.latencyMicros(99),
                    targets.latencyMicros(99) / (double) Math.max(1, baselines.latencyMicros(99)));
        }
        return targets.failures() == 0 ? 0 : 1;
    }
}
