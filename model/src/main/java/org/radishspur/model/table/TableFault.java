package org.radishspur.model.table;

/**
 * Describes one fault in a table or a settings file.
 *
 * @param path the path of the faulty value, such as {@code routes.briefing.pool}.
 * @param problem what is wrong, or what is allowed.
 */
public record TableFault(String path, String problem) {}
