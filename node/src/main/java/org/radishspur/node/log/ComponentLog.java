package org.radishspur.node.log;

import java.lang.System.Logger.Level;

/**
 * Writes log lines, each with a prefix that names the component that logs it.
 */
public enum ComponentLog {
    /** The process as a whole. */
    NODE("[node]"),
    /** The control replica and its disk. */
    CONTROL("[control]"),
    /** The connections between processes. */
    PEER("[peer]"),
    /** The server for callers. */
    CALLER("[caller]"),
    /** The connections to upstreams. */
    UPSTREAM("[upstream]"),
    /** The owner of a pool's queue in radishspur-node. */
    OWNER("[owner]"),
    /** The server for operators. */
    ADMIN("[admin]"),
    /** The network library, Netty. */
    NETWORK("[network]"),
    /** The supervisor tree. */
    SUPERVISOR("[supervisor]");

    private final String prefix;

    ComponentLog(String prefix) {
        this.prefix = prefix;
    }

    /**
     * Looks the logger up only when a line is logged, because loading the logging configuration takes 0.1 s at startup.
     */
    private System.Logger logger() {
        return System.getLogger("org.radishspur.node." + name().toLowerCase(java.util.Locale.ROOT));
    }

    /**
     * Logs information that an operator may need later.
     *
     * @param message the text, without the prefix.
     */
    public void info(String message) {
        logger().log(Level.INFO, prefix + ' ' + message);
    }

    /**
     * Logs a warning that an operator may have to act on.
     *
     * @param message the text, without the prefix.
     */
    public void warn(String message) {
        logger().log(Level.WARNING, prefix + ' ' + message);
    }

    /**
     * Logs a warning that an operator may have to act on, with its cause.
     *
     * @param message the text, without the prefix.
     * @param cause the cause, or null if there is none.
     */
    public void warn(String message, Throwable cause) {
        logger().log(Level.WARNING, prefix + ' ' + message, cause);
    }

    /**
     * Logs an error with its cause.
     *
     * @param message the text, without the prefix.
     * @param cause the failure.
     */
    public void error(String message, Throwable cause) {
        logger().log(Level.ERROR, prefix + ' ' + message, cause);
    }
}
