/**
 * Compares dispatch policies on one pool of simulated engines, in virtual time and with fixed seeds.
 */
package org.radishspur.testkit.experiment;
