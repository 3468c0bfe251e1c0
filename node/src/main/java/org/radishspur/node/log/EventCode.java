package org.radishspur.node.log;

import java.util.List;

/**
 * Lists the structured events that processes log, each with the names of its fields.
 */
public enum EventCode {
    /** A process has started. */
    STARTED(false, "role", "failureDomain", "founding"),
    /** A process begins a planned stop. */
    STOPPING(false, "inProgress"),
    /** A process has ended a planned stop. */
    STOPPED(false, "cutOff"),
    /** The settings were read again. */
    RELOADED(false, "seeds"),
    /** A catalogue came into force at this process. */
    CATALOGUE(false, "revision", "routes", "organisations"),
    /** The host list has changed at this process. */
    HOST_LIST(false, "term", "reading", "upstreams", "leaving"),
    /** The control leader was lost or found. */
    CONTROL(false, "state", "leader", "ageMillis"),
    /** An entry has attached to another scheduler; an empty name stands for the entry itself. */
    SCHEDULER(false, "scheduler", "before", "asked"),
    /** A scheduler has not answered an entry, or the connection to it was lost. */
    SCHEDULER_LOST(false, "scheduler", "cause"),
    /** A control replica has read its disk. */
    RECOVERED(false, "replica", "entries", "snapshotIndex"),
    /** The role of a control replica has changed. */
    ROLE(false, "role", "term", "voters"),
    /** A member of the control group is being replaced or added. */
    MEMBER(false, "candidate", "replaced", "started"),
    /** The platform's host list could not be read. */
    LIST_FAILED(false, "cause"),
    /** A rollout has changed its stage. */
    ROLLOUT(false, "pool", "target", "stage", "answers", "failures", "cause"),
    /** A scheduler sends nothing more into a failure domain, or sends there again. */
    EVACUATION(false, "failureDomain", "state", "inProgress"),
    /** An operator's call was answered. */
    OPERATOR(false, "call", "status", "revision", "millis"),
    /** A request was sent to an upstream. */
    SENT(true, "upstream", "inProgress", "waitedMillis", "deadlineMillis", "revision"),
    /** A request was ended by the system, without having run. */
    REFUSED(
            true,
            "reason",
            "status",
            "retryAfterMillis",
            "millis",
            "waiting",
            "slots",
            "revision",
            "rank",
            "returning"),
    /** A request was ended by the system, and may have run. */
    FAILED(
            true,
            "reason",
            "status",
            "upstream",
            "millis",
            "cause",
            "events",
            "promptTokens",
            "expectedTokens",
            "rank",
            "returning"),
    /** A request goes to another upstream. */
    RETRIED(true, "reason", "upstream", "attempt", "millis"),
    /** An answer was passed on to its end. */
    ANSWERED(
            true,
            "status",
            "upstream",
            "firstMillis",
            "millis",
            "longestPauseMillis",
            "events",
            "promptTokens",
            "expectedTokens",
            "rank",
            "returning"),
    /** A caller left before its answer was whole. */
    LEFT(true, "upstream", "millis", "events", "promptTokens", "expectedTokens", "rank", "returning"),
    /** An upstream gets nothing for a moment. */
    EJECTED(false, "upstream", "cause"),
    /** Lines were left out because too many came. */
    SUPPRESSED(false, "lines");

    private final boolean requestEvent;
    private final List<String> fields;

    EventCode(boolean ofRequest, String... fields) {
        this.requestEvent = ofRequest;
        this.fields = List.of(fields);
    }

    /**
     * Returns whether the event belongs to one request; such lines are left out first when too many come.
     *
     * @return whether it does.
     */
    public boolean isRequestEvent() {
        return requestEvent;
    }

    /**
     * Returns the names of the event's fields.
     *
     * @return the names in the order of the values.
     */
    public List<String> fields() {
        return fields;
    }
}
