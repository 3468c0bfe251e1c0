/**
 * Runs a scheduler on a control host: what it follows, its pools, and what schedulers share with each other.
 */
package org.radishspur.node.schedule;
