/**
 * Finds out which requests end upstreams. All that a request has in common with others, its content and the shared parts
 * of its prompt, is counted at each end of an upstream; what is present at several ends and is never answered is a suspect,
 * and requests with it are refused but for rare trials. Processes exchange what they count. The package accesses no clock,
 * network or file.
 */
package org.radishspur.decision.crash;
