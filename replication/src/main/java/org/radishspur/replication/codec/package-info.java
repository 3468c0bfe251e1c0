/**
 * Encodes records as MessagePack, for storage on disk and for messages between processes.
 */
package org.radishspur.replication.codec;
