package org.radishspur.node.schedule;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.radishspur.model.catalogue.Catalogue;
import org.radishspur.model.catalogue.OrganisationRule;
import org.radishspur.node.fleet.ControlHost;
import org.radishspur.node.fleet.FleetMessage;
import org.radishspur.node.fleet.HostList;
import org.radishspur.node.fleet.Moment;
import org.radishspur.replication.state.CatalogueState.Rollout;

/**
 * Holds what a process believes to be in force, and when a majority of the control replicas has last confirmed it.
 *
 * @param catalogue the catalogue, or nothing before the first one is known.
 * @param hosts the host list.
 * @param rollouts the latest rollout of each pool.
 * @param entries how many entries there are.
 * @param controls the control hosts, each of which runs a scheduler.
 * @param evacuated the failure domains whose upstreams are to get no new request.
 * @param confirmedAt when the question was sent whose answer has confirmed the catalogue.
 */
public record ConfirmedView(
        Optional<Catalogue> catalogue,
        HostList hosts,
        List<Rollout> rollouts,
        int entries,
        List<ControlHost> controls,
        Set<String> evacuated,
        Moment confirmedAt) {
    /** What a process believes when it starts. */
    public static final ConfirmedView NOTHING =
            new ConfirmedView(Optional.empty(), HostList.NONE, List.of(), 0, List.of(), Set.of(), Moment.LONG_AGO);

    /** Copies the lists. */
    public ConfirmedView {
        rollouts = List.copyOf(rollouts);
        controls = List.copyOf(controls);
        evacuated = Set.copyOf(evacuated);
    }

    ConfirmedView withCatalogue(Catalogue newer) {
        return new ConfirmedView(Optional.of(newer), hosts, rollouts, entries, controls, evacuated, confirmedAt);
    }

    ConfirmedView withHosts(HostList newer) {
        return new ConfirmedView(catalogue, newer, rollouts, entries, controls, evacuated, confirmedAt);
    }

    ConfirmedView withAnswer(FleetMessage.Followed answer, Moment at) {
        return new ConfirmedView(
                catalogue, hosts, answer.rollouts(), answer.entryCount(), answer.controls(), answer.evacuated(), at);
    }

    /**
     * Returns the revision of the catalogue.
     *
     * @return the revision, 0 where there is no catalogue.
     */
    public long revision() {
        return catalogue.map(Catalogue::revision).orElse(0L);
    }

    /**
     * Returns the organisations of the catalogue.
     *
     * @return the rules by name.
     */
    public Map<String, OrganisationRule> organisations() {
        return catalogue.map(Catalogue::organisations).orElse(Map.of());
    }

    /**
     * Returns whether the whole view was confirmed lately.
     *
     * @param millis how long ago that may be.
     * @return whether it was.
     */
    public boolean isConfirmedWithin(double millis) {
        return catalogue.isPresent() && hosts.reading() > 0 && Moment.now().since(confirmedAt) < millis;
    }

    /**
     * Returns whether another view holds the same but for the time of its confirmation.
     *
     * @param other the other view.
     * @return whether it does.
     */
    public boolean saysTheSame(ConfirmedView other) {
        return hosts == other.hosts
                && entries == other.entries
                && catalogue.equals(other.catalogue)
                && rollouts.equals(other.rollouts)
                && controls.equals(other.controls)
                && evacuated.equals(other.evacuated);
    }
}
