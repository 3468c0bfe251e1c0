package org.radishspur.node.log;

import java.lang.System.Logger.Level;

/**
 * Writes short sentences to the log, each behind the prefix of the part that speaks.
 */
public enum PartLog {
    /** The process as a whole. */
    NODE("[node]"),
    /** The control replica and its disk. */
    CONTROL("[control]"),
    /** The connections between nodes. */
    PEER("[peer]"),
    /** The callers' edge. */
    CALLER("[caller]"),
    /** The upstreams' edge. */
    UPSTREAM("[upstream]"),
    /** The owner of a pool's queue. */
    OWNER("[owner]"),
    /** The operators' edge. */
    ADMIN("[admin]"),
    /** The library that carries connections. */
    NETWORK("[network]"),
    /** The supervisor tree. */
    SUPERVISOR("[supervisor]");

    private final String prefix;

    PartLog(String prefix) {
        this.prefix = prefix;
    }

    /** Finds the logger on the first line only: setting the logging up takes a tenth of a second of a start. */
    private System.Logger logger() {
        return System.getLogger("org.radishspur.node." + name().toLowerCase(java.util.Locale.ROOT));
    }

    /**
     * Says something that an operator may want to know later.
     *
     * @param sentence the sentence.
     */
    public void info(String sentence) {
        logger().log(Level.INFO, prefix + ' ' + sentence);
    }

    /**
     * Says something that an operator may have to act on.
     *
     * @param sentence the sentence.
     */
    public void warn(String sentence) {
        logger().log(Level.WARNING, prefix + ' ' + sentence);
    }

    /**
     * Says something that an operator may have to act on, with its cause.
     *
     * @param sentence the sentence.
     * @param cause what led to it, or null where nothing did.
     */
    public void warn(String sentence, Throwable cause) {
        logger().log(Level.WARNING, prefix + ' ' + sentence, cause);
    }

    /**
     * Reports a failure with its cause.
     *
     * @param sentence the sentence.
     * @param cause the failure.
     */
    public void error(String sentence, Throwable cause) {
        logger().log(Level.ERROR, prefix + ' ' + sentence, cause);
    }
}
