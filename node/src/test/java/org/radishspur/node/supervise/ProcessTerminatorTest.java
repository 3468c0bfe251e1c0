package org.radishspur.node.supervise;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class ProcessTerminatorTest {
    private static final long PATIENCE_SECONDS = 30;

    @TempDir
    Path folder;

    static Stream<Arguments> failures() {
        List<Arguments> failures = new ArrayList<>();
        for (FailingProcess.Failure failure : FailingProcess.Failure.values()) {
            failures.add(Arguments.of(failure, "control"));
            failures.add(Arguments.of(failure, "thread"));
        }
        return failures.stream();
    }

    /** Guards against a process that lives on with dead threads, for example because its failure can't be logged. */
    @ParameterizedTest
    @MethodSource("failures")
    void endsTheProcess(FailingProcess.Failure failure, String thread) throws IOException, InterruptedException {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx16m",
                        "-Xss256k",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        FailingProcess.class.getName(),
                        failure.name(),
                        thread)
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("out").toFile())
                .start();
        try {
            boolean ended = process.waitFor(PATIENCE_SECONDS, TimeUnit.SECONDS);
            assertThat(ended).as(Files.readString(folder.resolve("out"))).isTrue();
            assertThat(process.exitValue()).isEqualTo(ProcessTerminator.EXIT_FAILED);
        } finally {
            process.destroyForcibly();
        }
    }
}
