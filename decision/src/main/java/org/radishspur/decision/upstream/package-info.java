/**
 * The state that the scheduler keeps of each upstream: its speed, its concurrency limit, its cache and its health.
 */
package org.radishspur.decision.upstream;
