package org.radishspur.testkit.upstream;

import java.nio.file.Path;
import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs a stand-in upstream until it is stopped.
 */
@Command(name = "upstream", mixinStandardHelpOptions = true)
public final class UpstreamCommand implements Callable<Integer> {
    @Option(names = "--port", required = true, description = "The port on the loopback address.")
    private int port;

    @Option(names = "--kind", defaultValue = "ENGINE", description = "ENGINE or SERVICE.")
    private StandInUpstream.Kind kind;

    @Option(
            names = "--token-micros",
            defaultValue = "2000",
            description = "The time for each token, or for the answer of a service, in microseconds.")
    private long tokenMicros;

    @Option(
            names = "--log",
            required = true,
            description = "The file to which a line is appended when a request starts, ends or is cancelled.")
    private Path logFile;

    @Option(names = "--failing", description = "Answer every request with status 500, as a faulty version does.")
    private boolean failing;

    /** {@inheritDoc} */
    @Override
    public Integer call() throws InterruptedException {
        try (StandInUpstream upstream = new StandInUpstream(port, kind, tokenMicros, logFile)) {
            upstream.failing(failing);
            upstream.awaitClosed();
        }
        return 0;
    }
}
