/**
 * Measures how costs grow with the number of nodes, requests and edits; docs/CAPACITY.md extrapolates from these
 * measurements to the users' target.
 */
package org.radishspur.testkit.measure;
