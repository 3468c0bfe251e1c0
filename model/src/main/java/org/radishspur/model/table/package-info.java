/**
 * Describes the tables of routes and pools that operators edit, and the edits.
 */
package org.radishspur.model.table;
