package org.radishspur.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class TraceCommandTest {
    @RegisterExtension
    private final CapturedOutput printed = new CapturedOutput();

    @TempDir
    private Path folder;

    private String file(String name, String... lines) throws IOException {
        Path file = folder.resolve(name);
        Files.writeString(file, String.join("\n", lines));
        return file.toString();
    }

    @Test
    void sortsEventsOfSeveralProcessesByTime() throws IOException {
        String one = file("one.log", "{\"at\":20,\"event\":\"FAILED\",\"request\":\"r1\",\"reason\":\"timeout\"}");
        String two = file(
                "two.log",
                "  3.1 edge-1 {\"at\":10,\"event\":\"RETRIED\",\"request\":\"r1\"}",
                "{\"at\":15,\"event\":\"SENT\",\"request\":\"r12\"}");
        assertThat(CommandMain.run("trace", "r1", one, two)).isZero();
        assertThat(printed.text().lines()).hasSize(2).first().asString().contains("RETRIED");
    }

    @Test
    void explainsARefusalUnderOverload() throws IOException {
        String log = file("log", "{\"at\":1,\"event\":\"REFUSED\",\"request\":\"r1\",\"reason\":\"overload\"}");
        CommandMain.run("trace", "--explain", "r1", log);
        assertThat(printed.text()).contains("has not run: no slot was expected");
    }

    @Test
    void explainsALostAnswer() throws IOException {
        String log = file(
                "log",
                "{\"at\":1,\"event\":\"FAILED\",\"request\":\"r1\",\"reason\":\"upstream-failed\",\"upstream\":\"i-7\","
                        + "\"cause\":\"broken: reset\"}");
        CommandMain.run("trace", "--explain", "r1", log);
        assertThat(printed.text())
                .contains("at upstream i-7")
                .contains("may have run")
                .contains("broken: reset");
    }

    @Test
    void explainsARefusalWithoutControlLeaderConfirmation() throws IOException {
        String log = file("log", "{\"at\":1,\"event\":\"REFUSED\",\"request\":\"r1\",\"reason\":\"unconfirmed\"}");
        CommandMain.run("trace", "--explain", "r1", log);
        assertThat(printed.text()).contains("no confirmation by the control leader");
    }

    @Test
    void failsForARequestThatNoEventNames() throws IOException {
        assertThat(CommandMain.run("trace", "r1", file("log", "nothing"))).isEqualTo(ExitCode.FAILED.code());
    }

    @Test
    void exitsWithInvalidForAMissingFile() {
        assertThat(CommandMain.run("trace", "r1", folder.resolve("none").toString()))
                .isEqualTo(ExitCode.INVALID.code());
    }
}
