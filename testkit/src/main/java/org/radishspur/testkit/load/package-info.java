/**
 * Generates load and measures the latency of the answers.
 */
package org.radishspur.testkit.load;
