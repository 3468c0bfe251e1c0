/**
 * Holds the types that all modules share: requests, tables, the catalogue, errors and refusals.
 */
package org.radishspur.model;
