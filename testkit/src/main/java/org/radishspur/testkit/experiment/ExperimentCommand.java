package org.radishspur.testkit.experiment;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.Function;

import org.radishspur.decision.permit.SchedulerOptions;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Prints a table that compares dispatch policies on simulated engines.
 *
 * <p>The columns of the tiers give the share of requests answered in time. {@code ofBound} is the useful engine time as
 * a share of its upper bound. {@code prefill} counts the prompt tokens computed, {@code lost} those computed for
 * requests not answered in time, and {@code redundant} those that another engine had cached. {@code largest} is the
 * largest share of the useful engine time that one organisation received, and {@code refused} counts refused requests.
 */
@Command(name = "experiment", mixinStandardHelpOptions = true)
public final class ExperimentCommand implements Callable<Integer> {
    @Option(names = "--seeds", split = ",", defaultValue = "1,2", description = "The seeds of the workloads.")
    private List<Long> seeds;

    @Option(
            names = "--loads",
            split = ",",
            defaultValue = "0.5,1,1.5,3",
            description = "The loads, as multiples of the capacity.")
    private List<Double> loads;

    @Option(names = "--no-faults", description = "Run without slowdowns and crashes of engines.")
    private boolean noFaults;

    private final EngineModel model = EngineModel.STANDARD;

    /** {@inheritDoc} */
    @Override
    public Integer call() {
        for (long seed : seeds) {
            for (double load : loads) {
                List<Arrival> arrivals = new Workload(seed, model)
                        .drawArrivals(load, PoolExperiment.totalSpeed(), PoolExperiment.HORIZON_MICROS);
                System.out.printf("seed %d, load %.1f, %d requests%n", seed, load, arrivals.size());
                System.out.println("                       urgent   high normal    low   bulk  ofBound  prefill"
                        + "      lost redundant  largest  refused");
                dispatchers().forEach((name, dispatcher) -> print(name, seed, arrivals, dispatcher));
                List<Arrival> alone =
                        arrivals.stream().filter(PoolExperiment::isUrgent).toList();
                print("ours, urgent alone", seed, alone, dispatchers().get("ours"));
            }
        }
        return 0;
    }

    private void print(
            String name, long seed, List<Arrival> arrivals, Function<Dispatcher.EnginePool, Dispatcher> dispatcher) {
        ExperimentResult result = new PoolExperiment(seed, model, arrivals, !noFaults, dispatcher).run();
        System.out.println(result.tableRow(name, PoolExperiment.capacityMicros(!noFaults)));
    }

    static Map<String, Function<Dispatcher.EnginePool, Dispatcher>> dispatchers() {
        int concurrencyLimit = 64;
        Map<String, Function<Dispatcher.EnginePool, Dispatcher>> dispatchers = new LinkedHashMap<>();
        dispatchers.put("round robin", Dispatcher.RoundRobin::new);
        dispatchers.put("least outstanding", Dispatcher.LeastOutstanding::new);
        dispatchers.put(
                "ours without prefixes",
                pool -> new Dispatcher.Scheduled(
                        pool, SchedulerOptions.DEFAULTS.withPrefixReuse(false), concurrencyLimit));
        dispatchers.put("ours", pool -> new Dispatcher.Scheduled(pool, SchedulerOptions.DEFAULTS, concurrencyLimit));
        return dispatchers;
    }
}
