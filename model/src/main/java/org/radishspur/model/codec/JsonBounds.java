package org.radishspur.model.codec;

/**
 * Bounds what is read of a JSON text. Each value takes memory, a short one many times as much as its text.
 *
 * @param wholeText whether the text may hold nothing but one value and space.
 * @param maxListElements the maximum number of elements of all lists that are passed on, and of the lists in them.
 * @param maxTreeValues the maximum number of values in each element or field.
 */
public record JsonBounds(boolean wholeText, int maxListElements, int maxTreeValues) {
    /** A single value, of any size. */
    public static final JsonBounds UNBOUNDED = new JsonBounds(true, Integer.MAX_VALUE, Integer.MAX_VALUE);

    /** The value at the beginning of a text, of any size. */
    public static final JsonBounds LEADING_VALUE = new JsonBounds(false, Integer.MAX_VALUE, Integer.MAX_VALUE);
}
