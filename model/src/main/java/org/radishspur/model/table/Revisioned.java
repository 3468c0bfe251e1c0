package org.radishspur.model.table;

/**
 * Pairs a row with the revision at which it was last changed.
 *
 * @param revision the revision of the tables at which the row was last changed.
 * @param row the row.
 * @param <T> the type of the row.
 */
public record Revisioned<T>(long revision, T row) {}
