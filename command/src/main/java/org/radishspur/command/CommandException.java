package org.radishspur.command;

/**
 * Ends a command with an exit code and a sentence for the operator.
 */
final class CommandException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    CommandException(ExitCode exitCode, String sentence) {
        super(sentence);
        this.exitCode = exitCode;
    }

    ExitCode exitCode() {
        return exitCode;
    }
}
