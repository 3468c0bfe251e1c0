/**
 * Simulates model engines and plain services.
 */
package org.radishspur.testkit.upstream;
