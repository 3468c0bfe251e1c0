/**
 * Decides in which regions a request may be served, and which failure domains lie in them.
 */
package org.radishspur.decision.region;
