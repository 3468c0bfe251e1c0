package org.radishspur.replication.state;

/**
 * Identifies the attempt that holds the claim on a request.
 *
 * @param node the name of the node that received the request.
 * @param incarnation the number that identifies this run of the node's process.
 * @param attempt the number of the attempt within that run.
 */
public record ClaimHolder(String node, long incarnation, long attempt) {}
