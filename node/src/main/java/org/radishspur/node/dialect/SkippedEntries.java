package org.radishspur.node.dialect;

import java.util.List;
import java.util.stream.Stream;

/**
 * Holds the entries of the platform's host list that name no upstream.
 *
 * @param count their number.
 * @param excerpts the beginnings of some of them, sorted, as the platform lists entries in any order.
 */
public record SkippedEntries(long count, List<String> excerpts) {
    /** No entry. */
    public static final SkippedEntries NONE = new SkippedEntries(0, List.of());

    private static final int MAX_EXCERPTS = 8;
    private static final int MAX_EXCERPT_CHARACTERS = 80;

    /** Keeps a sorted copy of some of the excerpts. */
    public SkippedEntries {
        excerpts = excerpts.stream().sorted().limit(MAX_EXCERPTS).toList();
    }

    /**
     * Creates the value for one entry.
     *
     * @param entry the text of the entry.
     * @return the value.
     */
    public static SkippedEntries of(String entry) {
        return new SkippedEntries(1, List.of(entry.substring(0, Math.min(entry.length(), MAX_EXCERPT_CHARACTERS))));
    }

    /**
     * Adds other entries.
     *
     * @param others the others.
     * @return the sum.
     */
    public SkippedEntries plus(SkippedEntries others) {
        if (others.count == 0) {
            return this;
        }
        return new SkippedEntries(
                count + others.count,
                Stream.concat(excerpts.stream(), others.excerpts.stream()).toList());
    }
}
