/**
 * Moves routes to new upstream versions in stages, compares the answers of the new version with those of the old one,
 * and rolls the route back if the new version is faulty.
 */
package org.radishspur.decision.move;
