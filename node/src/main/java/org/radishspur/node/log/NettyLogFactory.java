package org.radishspur.node.log;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;

/**
 * Forwards the warnings and errors of Netty to the log, and discards lower levels.
 *
 * <p>Netty creates dozens of loggers at startup. Creating loggers of the Java platform at that point loads the logging
 * configuration, which takes a tenth of the processor time of a start; these loggers load it when the first line is
 * logged.
 */
public final class NettyLogFactory extends InternalLoggerFactory {
    /** The only instance. */
    public static final NettyLogFactory INSTANCE = new NettyLogFactory();

    private static final String PLACEHOLDER = "{}";

    private NettyLogFactory() {}

    /** {@inheritDoc} */
    @Override
    protected InternalLogger newInstance(String name) {
        return new WarningLogger(name);
    }

    /** Replaces each placeholder of the format by an argument, and appends the arguments without a placeholder. */
    private static String expandPlaceholders(String format, Object... arguments) {
        StringBuilder text = new StringBuilder();
        int from = 0;
        for (Object argument : arguments) {
            int at = format.indexOf(PLACEHOLDER, from);
            if (at < 0) {
                text.append(format, from, format.length()).append(": ").append(argument);
                from = format.length();
            } else {
                text.append(format, from, at).append(argument);
                from = at + PLACEHOLDER.length();
            }
        }
        return text.append(format, from, format.length()).toString();
    }

    private static Throwable trailingThrowable(Object... arguments) {
        return arguments.length > 0 && arguments[arguments.length - 1] instanceof Throwable cause ? cause : null;
    }

    /**
     * Logs the warnings and errors of one class of Netty.
     */
    private static final class WarningLogger extends AbstractInternalLogger {
        private static final long serialVersionUID = 1L;

        WarningLogger(String name) {
            super(name);
        }

        @Override
        public boolean isTraceEnabled() {
            return false;
        }

        @Override
        public void trace(String message) {}

        @Override
        public void trace(String format, Object argument) {}

        @Override
        public void trace(String format, Object first, Object second) {}

        @Override
        public void trace(String format, Object... arguments) {}

        @Override
        public void trace(String message, Throwable cause) {}

        @Override
        public boolean isDebugEnabled() {
            return false;
        }

        @Override
        public void debug(String message) {}

        @Override
        public void debug(String format, Object argument) {}

        @Override
        public void debug(String format, Object first, Object second) {}

        @Override
        public void debug(String format, Object... arguments) {}

        @Override
        public void debug(String message, Throwable cause) {}

        @Override
        public boolean isInfoEnabled() {
            return false;
        }

        @Override
        public void info(String message) {}

        @Override
        public void info(String format, Object argument) {}

        @Override
        public void info(String format, Object first, Object second) {}

        @Override
        public void info(String format, Object... arguments) {}

        @Override
        public void info(String message, Throwable cause) {}

        @Override
        public boolean isWarnEnabled() {
            return true;
        }

        @Override
        public void warn(String message) {
            warn(message, (Throwable) null);
        }

        @Override
        public void warn(String format, Object argument) {
            warn(format, new Object[] {argument});
        }

        @Override
        public void warn(String format, Object first, Object second) {
            warn(format, new Object[] {first, second});
        }

        @Override
        public void warn(String format, Object... arguments) {
            warn(expandPlaceholders(format, arguments), trailingThrowable(arguments));
        }

        @Override
        public void warn(String message, Throwable cause) {
            ComponentLog.NETWORK.warn(name() + ": " + message, cause);
        }

        @Override
        public boolean isErrorEnabled() {
            return true;
        }

        @Override
        public void error(String message) {
            error(message, (Throwable) null);
        }

        @Override
        public void error(String format, Object argument) {
            error(format, new Object[] {argument});
        }

        @Override
        public void error(String format, Object first, Object second) {
            error(format, new Object[] {first, second});
        }

        @Override
        public void error(String format, Object... arguments) {
            error(expandPlaceholders(format, arguments), trailingThrowable(arguments));
        }

        @Override
        public void error(String message, Throwable cause) {
            ComponentLog.NETWORK.error(name() + ": " + message, cause);
        }
    }
}
