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
 * Prints the table that compares ways of dispatching.
 */
@Command(name = "experiment", mixinStandardHelpOptions = true)
public final class ExperimentCommand implements Callable<Integer> {
    @Option(names = "--seeds", split = ",", defaultValue = "1,2", description = "The seeds of the workloads.")
    private List<Long> seeds;

    @Option(names = "--loads", split = ",", defaultValue = "0.5,1,1.5,3", description = "Multiples of the capacity.")
    private List<Double> loads;

    @Option(names = "--no-faults", description = "Let no engine slow down or crash.")
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
        int limit = 64;
        Map<String, Function<Dispatcher.EnginePool, Dispatcher>> dispatchers = new LinkedHashMap<>();
        dispatchers.put("round robin", Dispatcher.RoundRobin::new);
        dispatchers.put("least outstanding", Dispatcher.LeastOutstanding::new);
        dispatchers.put(
                "ours without prefixes",
                pool -> new Dispatcher.Scheduled(pool, SchedulerOptions.STANDARD.withPrefixes(false), limit));
        dispatchers.put("ours", pool -> new Dispatcher.Scheduled(pool, SchedulerOptions.STANDARD, limit));
        return dispatchers;
    }
}
