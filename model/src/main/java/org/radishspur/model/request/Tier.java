package org.radishspur.model.request;

import java.util.Locale;
import java.util.Optional;

/**
 * Lists the tiers of requests, the most urgent first; a request is never shed before one of a less urgent tier.
 */
public enum Tier {
    /** Requests for whose result a person in danger is waiting. */
    URGENT,
    /** Interactive requests, for whose result a person is waiting. */
    HIGH,
    /** Requests without particular urgency; the usual tier. */
    NORMAL,
    /** Background requests, for whose result no person is waiting. */
    LOW,
    /** Batch requests, which may run whenever there is spare capacity. */
    BULK;

    /**
     * Returns whether this tier is more urgent than another one.
     *
     * @param other the tier to compare with.
     * @return whether this tier is strictly more urgent.
     */
    public boolean isMoreUrgentThan(Tier other) {
        return ordinal() < other.ordinal();
    }

    /**
     * Returns this tier, or the ceiling if this tier is more urgent, as when a route limits the tier that callers may
     * request.
     *
     * @param ceiling the most urgent tier that is allowed.
     * @return the less urgent of both tiers.
     */
    public Tier cappedAt(Tier ceiling) {
        return isMoreUrgentThan(ceiling) ? ceiling : this;
    }

    /**
     * Parses the name of a tier, as callers send it.
     *
     * @param text the name of a tier, in upper or lower case.
     * @return the tier, or empty if no tier has this name.
     */
    public static Optional<Tier> parse(String text) {
        String name = text.toUpperCase(Locale.ROOT);
        for (Tier tier : values()) {
            if (tier.name().equals(name)) {
                return Optional.of(tier);
            }
        }
        return Optional.empty();
    }
}
