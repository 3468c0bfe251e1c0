/**
 * Implements the Raft consensus algorithm as published by Ongaro and Ousterhout (2014), with pre-vote, check-quorum, a
 * leader lease, learners and membership changes of one replica at a time. The implementation is a deterministic state
 * machine that does no input or output itself.
 */
package org.radishspur.replication.raft;
