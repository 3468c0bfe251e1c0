package org.radishspur.command;

import java.nio.file.Path;
import java.util.concurrent.Callable;

import org.radishspur.model.error.RadishspurException;
import org.radishspur.node.settings.InvalidSettingsException;
import org.radishspur.node.settings.SettingsReader;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * Runs the operators' command line program radishspur.
 */
@Command(
        name = "radishspur",
        description = "Changes and inspects a radishspur cluster.",
        mixinStandardHelpOptions = true,
        subcommands = {
            ApplyCommand.class,
            ShowCommand.class,
            TraceCommand.class,
            LossesCommand.class,
            EvacuationCommand.Evacuate.class,
            EvacuationCommand.Readmit.class,
            CommandMain.ReplaceReplica.class,
            CommandMain.CheckSettings.class
        })
public final class CommandMain {
    private CommandMain() {}

    /**
     * Runs a command and ends the process with its exit code.
     *
     * @param arguments the arguments.
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    static int run(String... arguments) {
        return new CommandLine(new CommandMain())
                .setExecutionExceptionHandler((exception, line, parsed) -> {
                    line.getErr().println(exception.getMessage());
                    if (exception instanceof CommandException failure) {
                        return failure.exitCode().code();
                    }
                    return exception instanceof RadishspurException ? ExitCode.INVALID.code() : ExitCode.FAILED.code();
                })
                .execute(arguments);
    }

    /**
     * Replaces the control replica of a node whose disk was lost.
     */
    @Command(
            name = "replace-replica",
            description = "Replaces the lost control replica of a node with a new one on its freshly formatted disk.",
            mixinStandardHelpOptions = true)
    static final class ReplaceReplica implements Callable<Integer> {
        @CommandLine.Mixin
        private AdminClient client;

        @Parameters(paramLabel = "NODE", description = "The node whose disk was lost.")
        private String node;

        /** {@inheritDoc} */
        @Override
        public Integer call() {
            AdminClient.Reply reply = client.post("/v1/replicas/" + node + "/replace", "");
            System.out.println(reply.body());
            return reply.isSuccess() ? ExitCode.DONE.code() : ExitCode.FAILED.code();
        }
    }

    /**
     * Checks a settings file without starting a node.
     */
    @Command(
            name = "check-settings",
            description = "Checks a node's settings file and lists every fault.",
            mixinStandardHelpOptions = true)
    static final class CheckSettings implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "The settings file.")
        private Path file;

        /** {@inheritDoc} */
        @Override
        public Integer call() {
            try {
                System.out.println(
                        "settings of node " + SettingsReader.INSTANCE.read(file).node() + " are valid");
                return ExitCode.DONE.code();
            } catch (InvalidSettingsException faults) {
                faults.faults().forEach(fault -> System.err.println(fault.path() + ": " + fault.problem()));
                return ExitCode.INVALID.code();
            }
        }
    }
}
