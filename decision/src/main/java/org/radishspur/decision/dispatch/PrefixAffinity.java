package org.radishspur.decision.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Selects for each shared prompt prefix the few engines that should cache it.
 *
 * <p>Without it every engine would process the same prefixes: engines can cache only a limited number of prompts, and
 * processing a prompt delays all requests of an engine. Schedulers select the same engines without a message, by
 * rendezvous hashing (Thaler and Ravishankar, 1998), and when an engine is added or removed, only the prefixes assigned
 * to it move. When all engines are full, most requests go to other engines nevertheless.
 */
enum PrefixAffinity {
    /** The only instance; it keeps no state. */
    INSTANCE;

    /**
     * Number of engines that cache a prefix; with two, requests for a popular prefix have a second engine when the
     * first is full.
     */
    private static final int UPSTREAMS_PER_PREFIX = 2;

    /** Returns the upstreams that should cache a prefix. */
    List<UpstreamLoad> affinityTargets(QueuedRequest.Prefix prefix, Collection<UpstreamLoad> candidates) {
        return candidates.stream()
                .sorted(Comparator.comparingInt(load -> RendezvousWeight.INSTANCE.of(prefix.id(), load.run())))
                .limit(UPSTREAMS_PER_PREFIX)
                .toList();
    }
}
