package org.radishspur.decision.slot;

import java.util.Map;
import java.util.Optional;

/**
 * Decides which scheduler serves one entry while schedulers fall silent, and when a request stops waiting for them.
 *
 * <p>Hosts that lose power, freeze or are cut off leave connections that look sound. Where several are lost together, an
 * entry that tried one after the other would hold each request for as many timeouts. So the first request without a reply
 * makes the entry probe all schedulers, and after a timeout only those that have answered since count. While there is
 * none, the entry schedules by itself, within its share.
 */
public final class SchedulerFailover {
    /** How long a scheduler may take to reply before the others are probed, in milliseconds. */
    public static final long PROBE_AFTER_MILLIS = 40;

    /** How long a scheduler may take to reply before it counts as lost, in milliseconds. */
    public static final long REPLY_TIMEOUT_MILLIS = 100;

    /**
     * How long a scheduler may take to reply to a request that has waited for a lost one, in milliseconds. After that only
     * this request leaves it, as many entries may have attached to that scheduler at the same time.
     */
    public static final long SECOND_REPLY_TIMEOUT_MILLIS = 40;

    /** How many schedulers may fail one request before this entry schedules it by itself. */
    private static final int MAX_FAILED_SCHEDULERS = 2;

    /** The minimum interval between probes while schedulers are slow but not lost, in milliseconds. */
    private static final long PROBE_INTERVAL_MILLIS = 1_000;

    /** The age up to which a probe shows which schedulers answer when one is lost, in milliseconds. */
    private static final long MAX_PROBE_AGE_MILLIS = 250;

    /** The minimum interval between pings of schedulers that have not answered yet, in milliseconds. */
    private static final long PING_INTERVAL_MILLIS = 100;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final SchedulerChoice choice;
    private final Contacts contacts;
    private long probedAt = NEVER;
    private long pingedAt = NEVER;

    /** Since when a scheduler must have sent something to be chosen. */
    private long answersNeededSince = Long.MIN_VALUE;

    /**
     * Creates a decision without schedulers.
     *
     * @param entry the address of the entry.
     * @param failureDomain the failure domain of the entry.
     * @param contacts shows which schedulers are connected and answer.
     */
    public SchedulerFailover(String entry, String failureDomain, Contacts contacts) {
        choice = new SchedulerChoice(entry, failureDomain);
        this.contacts = contacts;
    }

    /**
     * Replaces the set of known schedulers.
     *
     * @param failureDomains the failure domain of each scheduler, by scheduler address.
     */
    public void setSchedulers(Map<String, String> failureDomains) {
        choice.setSchedulers(failureDomains);
    }

    /**
     * Returns the scheduler that serves the entry now. Schedulers that have to show first that they answer are pinged.
     *
     * @param current the address of the scheduler that has served it so far, or empty if none has.
     * @param now the current time in milliseconds.
     * @return the address of the scheduler, or empty if the entry has to schedule by itself.
     */
    public Optional<String> choose(String current, long now) {
        if (now - pingedAt >= PING_INTERVAL_MILLIS
                && choice.schedulers().stream().anyMatch(this::isUnproven)) {
            pingedAt = now;
            choice.schedulers().stream().filter(this::isUnproven).forEach(contacts::ping);
        }
        return choice.choose(address -> contacts.isConnected(address) && answers(address), current, now);
    }

    private boolean isUnproven(String address) {
        return contacts.isConnected(address) && !answers(address);
    }

    private boolean answers(String address) {
        return contacts.answeredAt(address) >= answersNeededSince;
    }

    /**
     * Returns whether a request that schedulers have failed is scheduled by the entry itself.
     *
     * @param failedSchedulers how many schedulers have not replied to it in time or weren't ready.
     * @return whether it waits for no other scheduler.
     */
    public boolean staysLocal(int failedSchedulers) {
        return failedSchedulers >= MAX_FAILED_SCHEDULERS;
    }

    /**
     * Returns how long a request may wait for the reply of a scheduler.
     *
     * @param failedSchedulers how many schedulers have failed the request before.
     * @return the time in milliseconds.
     */
    public long replyTimeoutMillis(int failedSchedulers) {
        return failedSchedulers == 0 ? REPLY_TIMEOUT_MILLIS : SECOND_REPLY_TIMEOUT_MILLIS;
    }

    /**
     * Records that a scheduler has not replied to a request for {@link #PROBE_AFTER_MILLIS}, and probes all schedulers
     * unless that was done recently.
     *
     * @param now the current time in milliseconds.
     */
    public void onUnanswered(long now) {
        if (now - probedAt >= PROBE_INTERVAL_MILLIS) {
            probe(now);
        }
    }

    private void probe(long now) {
        probedAt = now;
        choice.schedulers().stream().filter(contacts::isConnected).forEach(contacts::ping);
    }

    /**
     * Records that a scheduler has not replied in time. From now on only schedulers are chosen that have answered since the
     * last probe.
     *
     * @param address the address of the scheduler.
     * @param now the current time in milliseconds.
     */
    public void recordSilence(String address, long now) {
        choice.recordFailure(address, now);
        if (now - probedAt > MAX_PROBE_AGE_MILLIS) {
            probe(now);
        }
        answersNeededSince = probedAt;
    }

    /**
     * Records that the connection to a scheduler was lost.
     *
     * @param address the address of the scheduler.
     * @param now the current time in milliseconds.
     */
    public void recordDisconnection(String address, long now) {
        choice.recordFailure(address, now);
    }

    /**
     * Records that a scheduler has replied that it isn't ready.
     *
     * @param address the address of the scheduler.
     * @param now the current time in milliseconds.
     */
    public void recordUnready(String address, long now) {
        choice.recordUnready(address, now);
    }

    /**
     * Records any other reply of a scheduler, which ends its avoidance.
     *
     * @param address the address of the scheduler.
     */
    public void recordReply(String address) {
        choice.recordReply(address);
    }

    /**
     * Shows which schedulers are connected and answer.
     */
    public interface Contacts {
        /**
         * Returns whether there is a connection to a scheduler, which may lead to a lost host.
         *
         * @param address the address of the scheduler.
         * @return whether there is one.
         */
        boolean isConnected(String address);

        /**
         * Returns when a scheduler has last sent anything.
         *
         * @param address the address of the scheduler.
         * @return the time in milliseconds, a very early one if it never has.
         */
        long answeredAt(String address);

        /**
         * Sends a message to a scheduler that it answers at once if it runs.
         *
         * @param address the address of the scheduler.
         */
        void ping(String address);
    }
}
