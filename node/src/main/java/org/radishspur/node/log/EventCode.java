package org.radishspur.node.log;

import java.util.List;

/**
 * Lists the structured events that the programs entry and control log, with the names of their fields.
 */
public enum EventCode {
    /** A process has started. */
    STARTED(false, "role", "failureDomain", "founding"),
    /** A process has begun to shut down. */
    STOPPING(false, "inProgress"),
    /** A process has finished its shutdown. */
    STOPPED(false, "cutOff"),
    /** The settings file was read again. */
    RELOADED(false, "seeds"),
    /** Another catalogue has come into force at this process. */
    CATALOGUE(false, "revision", "routes", "organisations"),
    /** The host list that this process uses has changed. */
    HOST_LIST(false, "term", "reading", "upstreams", "leaving"),
    /** This process has lost contact with the control leader, or has a leader again. */
    CONTROL(false, "state", "leader", "ageMillis"),
    /** An entry has attached to another scheduler; an empty name means that the entry schedules by itself. */
    SCHEDULER(false, "scheduler", "before", "asked"),
    /** A scheduler did not answer an entry, or the connection to it was lost. */
    SCHEDULER_LOST(false, "scheduler", "cause", "moved", "waitedMillis"),
    /** A control replica has recovered its state from its disk. */
    RECOVERED(false, "replica", "entries", "snapshotIndex"),
    /** The role of a control replica has changed. */
    ROLE(false, "role", "term", "voters"),
    /** A voter of the control group is being replaced or added. */
    MEMBER(false, "candidate", "replaced", "started"),
    /** The platform's host list could not be read. */
    LIST_FAILED(false, "cause"),
    /** Other entries of the platform's host list than before name no upstream, or none does any more. */
    LIST_SKIPPED(false, "entries", "excerpts"),
    /**
     * A rollout moves on to another stage. The line states what the target version and the others gave to requests, and
     * whether the times of the target version's upstreams show that it is slower.
     */
    ROLLOUT(
            false,
            "pool",
            "target",
            "stage",
            "answers",
            "failures",
            "unanswered",
            "cause",
            "otherAnswers",
            "otherFailures",
            "otherUnanswered",
            "slowness",
            "timedUpstreams",
            "elapsedPercent"),
    /** A scheduler has stopped sending requests to a failure domain, or sends them again. */
    EVACUATION(false, "failureDomain", "state", "inProgress"),
    /**
     * What a scheduler counts as the use of an organisation in the present window, at most once a second while requests
     * of it are beyond its limit.
     */
    QUOTA_USE(false, "organisation", "limit", "window", "assumed", "waiting", "reportingPercent", "ownTotal"),
    /** The report of a peer that had been silent for longer than usual brought use of an organisation. */
    QUOTA_USE_AFTER_SILENCE(false, "peer", "organisation", "silentMillis", "use"),
    /** Another limit of an organisation is in force at this scheduler. */
    QUOTA_LIMIT(false, "organisation", "before", "after"),
    /** An entry reports to a scheduler which use of an organisation it has admitted without one. */
    LOCAL_USE(false, "organisation", "use"),
    /** An operator's call was answered. */
    OPERATOR(false, "call", "status", "revision", "millis"),
    /**
     * A request was sent to an upstream; logged for a sample of the requests, and for each sending after the first. The
     * connection is named with the exchange on it.
     */
    SENT(true, "upstream", "inProgress", "waitedMillis", "deadlineMillis", "revision", "sending", "connection"),
    /**
     * The system refused a request that has not run. Where a scheduler refused it for overload, the line states the wait that
     * was expected when it was queued, the one expected now, negative where no room is, and for how long a slot would still
     * have been of use.
     */
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
            "firstExpectedMillis",
            "expectedMillis",
            "usableMillis"),
    /** The system ended a request that may have run. */
    FAILED(true, "reason", "status", "upstream", "millis", "cause", "events", "promptTokens", "expectedTokens", "rank"),
    /**
     * The connection of a request to its upstream was lost, and a check has shown whether the upstream still runs. The
     * parts are those of the prompt that other requests may have too. All lines with one end are about the same upstream.
     */
    CONNECTION_LOST(true, "upstream", "content", "check", "parts", "begun", "millis", "end"),
    /** A part of prompts, or the content of a request, is suspected to end upstreams, or has been cleared by an answer. */
    CRASH_SUSPECT(false, "state", "signature", "ends", "millis", "sole", "answeredBefore"),
    /** A request has a suspect: a part of its prompt or its content. It is refused, withdrawn, or run as a trial. */
    SUSPECTED(true, "verdict", "signature", "suspect", "ends", "retryAfterMillis"),
    /**
     * The upstream of a request has sent nothing for some time. The line states whether this entry finds its direct path
     * to the upstream broken, and whether the request may be sent to another one.
     */
    SILENT(true, "upstream", "silentMillis", "pathBroken", "retry", "events", "millis"),
    /**
     * A second attempt of a request was sent while the upstream of the first one was silent, has failed, or is kept in
     * place of the first.
     */
    HEDGED(true, "state", "upstream", "first", "cause", "events", "millis"),
    /** A request is retried, mostly at another upstream. The connection is that of the sending that has ended. */
    RETRIED(true, "reason", "upstream", "attempt", "millis", "connection"),
    /**
     * A response of another request arrived where that of this one was due, and was discarded. The line states the request
     * that it names.
     */
    EXTRA_RESPONSE(true, "upstream", "connection", "of", "status"),
    /**
     * An answer was forwarded to its end; logged for errors, for answers whose end only the close of the connection
     * shows, for requests that were sent more than once, and for a sample of the others. The rest is the number of bytes
     * after the last complete event. The line also states on which connection the answer came, and whether the request had
     * been written as a whole.
     */
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
            "end",
            "restBytes",
            "sendings",
            "connection",
            "written"),
    /** A caller disconnected before its answer was complete. */
    LEFT(true, "upstream", "millis", "events", "promptTokens", "expectedTokens", "rank"),
    /** This entry is cut off from upstreams, or reaches them again; others may relay for it. */
    UPSTREAM_LINKS(false, "state", "relays"),
    /** An upstream is ejected: it gets no requests for some time. */
    EJECTED(false, "upstream", "cause"),
    /** An upstream states a limit, or another one than before; 0 requests mean that it states none any more. */
    LIMITED(false, "upstream", "requestsPerMinute"),
    /** Lines were dropped, because they exceeded the rate limit or the queue was full. */
    SUPPRESSED(false, "lines");

    private final boolean requestEvent;
    private final List<String> fields;

    EventCode(boolean requestEvent, String... fields) {
        this.requestEvent = requestEvent;
        this.fields = List.of(fields);
    }

    /**
     * Returns whether the event belongs to one request; such events are subject to a rate limit.
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
