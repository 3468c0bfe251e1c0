package org.radishspur.model.request;

import java.util.Locale;
import java.util.Optional;

/**
 * Orders requests by urgency; a request of a more urgent tier is never shed before one of a less urgent tier.
 */
public enum Tier {
    /** Work that someone waits for in danger. */
    URGENT,
    /** Work that someone waits for. */
    HIGH,
    /** Work without a special claim. */
    NORMAL,
    /** Work that nobody waits for. */
    LOW,
    /** Work that may take any gap. */
    BULK;

    /**
     * Returns whether this tier goes before another one.
     *
     * @param other the tier to compare with.
     * @return whether this tier is strictly more urgent.
     */
    public boolean isMoreUrgentThan(Tier other) {
        return ordinal() < other.ordinal();
    }

    /**
     * Returns the less urgent of this tier and another one, as when a route's ceiling bounds what a caller asks for.
     *
     * @param ceiling the most urgent tier allowed.
     * @return the bounded tier.
     */
    public Tier atMost(Tier ceiling) {
        return isMoreUrgentThan(ceiling) ? ceiling : this;
    }

    /**
     * Parses the text that callers send.
     *
     * @param text the name of a tier in any case.
     * @return the tier, or nothing where no tier has that name.
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
