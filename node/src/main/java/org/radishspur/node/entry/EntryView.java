package org.radishspur.node.entry;

import java.util.List;
import java.util.Optional;

import org.radishspur.model.catalogue.Catalogue;
import org.radishspur.node.fleet.HostList;
import org.radishspur.node.fleet.Moment;
import org.radishspur.replication.state.CatalogueState.Rollout;

/**
 * Holds what an entry believes to be in force, and when a majority of the control replicas has last confirmed it.
 *
 * @param catalogue the catalogue, or nothing before the first one is known.
 * @param hosts the host list.
 * @param rollouts the latest rollout of each pool.
 * @param entries the addresses of all entries.
 * @param confirmedAt when the question was sent whose answer has confirmed the catalogue.
 */
record EntryView(
        Optional<Catalogue> catalogue,
        HostList hosts,
        List<Rollout> rollouts,
        List<String> entries,
        Moment confirmedAt) {
    /** What an entry believes when it starts. */
    static final EntryView NOTHING =
            new EntryView(Optional.empty(), HostList.NONE, List.of(), List.of(), Moment.LONG_AGO);

    EntryView withCatalogue(Catalogue newer) {
        return new EntryView(Optional.of(newer), hosts, rollouts, entries, confirmedAt);
    }

    EntryView withHosts(HostList newer) {
        return new EntryView(catalogue, newer, rollouts, entries, confirmedAt);
    }

    EntryView confirmed(List<Rollout> latest, List<String> live, Moment at) {
        return new EntryView(catalogue, hosts, List.copyOf(latest), List.copyOf(live), at);
    }

    long revision() {
        return catalogue.map(Catalogue::revision).orElse(0L);
    }
}
