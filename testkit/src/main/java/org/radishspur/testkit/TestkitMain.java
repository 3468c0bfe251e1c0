package org.radishspur.testkit;

import org.radishspur.testkit.experiment.ExperimentCommand;
import org.radishspur.testkit.load.LoadCommand;
import org.radishspur.testkit.measure.MeasureCommand;
import org.radishspur.testkit.move.MoveCommand;
import org.radishspur.testkit.schedule.ExploreCommand;
import org.radishspur.testkit.upstream.UpstreamCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Runs the command line of the test kit.
 */
@Command(
        name = "testkit",
        mixinStandardHelpOptions = true,
        subcommands = {
            UpstreamCommand.class,
            LoadCommand.class,
            DemoCommand.class,
            ExploreCommand.class,
            ExperimentCommand.class,
            MoveCommand.class,
            MeasureCommand.class
        })
public final class TestkitMain {
    private TestkitMain() {}

    /**
     * Runs the subcommand that the arguments name and exits with its code.
     *
     * @param arguments the subcommand and its options.
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new TestkitMain()).execute(arguments));
    }
}
