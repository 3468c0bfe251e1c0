/**
 * Simulates moves to versions of every kind in virtual time, and compares them with a canary of fixed steps.
 */
package org.radishspur.testkit.move;
