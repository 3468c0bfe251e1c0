/**
 * Contains the deterministic state machine of the control replicas: tables, claims, crash suspects, moves and the
 * catalogue.
 */
package org.radishspur.replication.state;
