package org.radishspur.decision.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Names for each shared beginning of prompts the few engines that should keep it.
 *
 * <p>Guards against the same text read at every engine: memory for prompts is limited, and reading holds up all requests of
 * an engine. All entries come to the same engines without asking each other, by rendezvous hashing (Thaler and
 * Ravishankar, 1998), and when an engine comes or goes only its own prefixes move. With all engines full most requests go
 * elsewhere all the same.
 */
enum PrefixAffinity {
    /** The only instance; it keeps no state. */
    INSTANCE;

    /** How many engines keep a prefix; with two, requests for a popular one have a second engine when the first is full. */
    private static final int UPSTREAMS_PER_PREFIX = 2;

    /** Returns the upstreams that should keep a prefix. */
    List<UpstreamLoad> affinityTargets(QueuedRequest.Prefix prefix, Collection<UpstreamLoad> candidates) {
        return candidates.stream()
                .sorted(Comparator.comparingInt(load -> RendezvousWeight.INSTANCE.of(prefix.id(), load.run())))
                .limit(UPSTREAMS_PER_PREFIX)
                .toList();
    }
}
