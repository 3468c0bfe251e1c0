package org.radishspur.command;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.BeforeEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Captures the standard output of a command during a test.
 */
final class CapturedOutput implements BeforeEachCallback, AfterEachCallback {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final PrintStream originalOut = System.out;

    /** {@inheritDoc} */
    @Override
    public void beforeEach(ExtensionContext context) {
        System.setOut(new PrintStream(out));
    }

    /** {@inheritDoc} */
    @Override
    public void afterEach(ExtensionContext context) {
        System.setOut(originalOut);
    }

    String text() {
        return out.toString(StandardCharsets.UTF_8);
    }
}
