package org.radishspur.node;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicBoolean;

import org.radishspur.model.error.RadishspurException;
import org.radishspur.node.log.ComponentLog;
import org.radishspur.node.settings.NodeSettings;
import org.radishspur.node.settings.SettingsReader;
import org.radishspur.node.supervise.ProcessTerminator;
import org.radishspur.replication.disk.DataFolder;
import org.radishspur.replication.disk.Identity;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs the command line of the program radishspur-node: runs a node, formats its data folder, or checks its settings.
 */
@Command(
        name = "radishspur-node",
        description = "Schedules callers' requests onto upstreams.",
        mixinStandardHelpOptions = true,
        subcommands = {NodeMain.Run.class, NodeMain.Format.class, NodeMain.CheckSettings.class})
public final class NodeMain {
    /** A component of the process failed permanently. */
    static final int EXIT_FAILED = 1;

    /** The settings or the data folder are invalid, so that the process did not start. */
    static final int EXIT_INVALID_SETUP = 3;

    /** A shutdown cut off requests that were still in progress. */
    static final int EXIT_CUT_OFF = 4;

    private NodeMain() {}

    /**
     * Runs the command line.
     *
     * @param arguments the arguments.
     */
    public static void main(String[] arguments) {
        // Otherwise the threads that are still running would keep a failed process alive.
        Thread.setDefaultUncaughtExceptionHandler(ProcessTerminator.INSTANCE);
        int code = new CommandLine(new NodeMain())
                .setExecutionExceptionHandler((exception, line, parsed) -> {
                    line.getErr().println(exception.getMessage());
                    if (!(exception instanceof RadishspurException)) {
                        exception.printStackTrace(line.getErr());
                    }
                    return EXIT_INVALID_SETUP;
                })
                .execute(arguments);
        if (code != 0) {
            System.exit(code);
        }
    }

    /**
     * Option of all subcommands that names the settings file.
     */
    static final class SettingsOption {
        @Option(names = "--settings", required = true, description = "The settings file of the node.")
        private Path file;

        NodeSettings read() {
            return SettingsReader.INSTANCE.read(file);
        }
    }

    /**
     * Runs the node until it is stopped.
     */
    @Command(name = "run", description = "Runs the node until it is stopped.", mixinStandardHelpOptions = true)
    static final class Run implements Callable<Integer> {
        @CommandLine.Mixin
        private SettingsOption settings;

        /** {@inheritDoc} */
        @Override
        public Integer call() throws InterruptedException {
            Node node = new Node(settings.read());
            AtomicBoolean stopping = new AtomicBoolean();
            Thread main = Thread.currentThread();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                if (stopping.compareAndSet(false, true) && node.shutDown() > 0) {
                    Runtime.getRuntime().halt(EXIT_CUT_OFF);
                }
            }));
            node.awaitFailure();
            if (stopping.compareAndSet(false, true)) {
                ComponentLog.NODE.warn("The node stops because a component failed permanently.");
                Runtime.getRuntime().halt(EXIT_FAILED);
            }
            main.join();
            return 0;
        }
    }

    /**
     * Formats the data folder of a control node, which writes its identity.
     */
    @Command(
            name = "format",
            description = "Initialises the data folder of a control node with an identity; done once for each folder.",
            mixinStandardHelpOptions = true)
    static final class Format implements Callable<Integer> {
        private static final int SUFFIX_BOUND = 1 << 30;

        @CommandLine.Mixin
        private SettingsOption settings;

        @Option(
                names = "--found",
                description = "Found a new cluster together with all other control nodes. Never use this again on a "
                        + "node whose disk was lost: format it without this option, and it joins under a new identity.")
        private boolean foundCluster;

        /** {@inheritDoc} */
        @Override
        public Integer call() {
            NodeSettings read = settings.read();
            Path path = read.dataFolder().orElseThrow();
            String suffix = Integer.toString(new SecureRandom().nextInt(SUFFIX_BOUND), Character.MAX_RADIX);
            Identity identity = foundCluster
                    ? Identity.ofFounder(read.cluster(), read.node(), read.controlNodes())
                    : Identity.ofJoiner(read.cluster(), read.node(), suffix);
            new DataFolder(path).format(identity);
            System.out.println("formatted " + path + " as " + identity.replica());
            return 0;
        }
    }

    /**
     * Checks a settings file and lists every fault.
     */
    @Command(
            name = "check-settings",
            description = "Checks a settings file and lists every fault.",
            mixinStandardHelpOptions = true)
    static final class CheckSettings implements Callable<Integer> {
        @CommandLine.Mixin
        private SettingsOption settings;

        /** {@inheritDoc} */
        @Override
        public Integer call() {
            System.out.println("settings of node " + settings.read().node() + " are valid");
            return 0;
        }
    }
}
