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
 * Holds the control state that an entry or a scheduler acts on, and the time at which a majority of the control
 * replicas last confirmed it.
 *
 * @param catalogue the catalogue, empty until the first one is received.
 * @param hosts the latest host list, {@link HostList#NONE} until the first one is received.
 * @param rollouts the latest rollout of each pool.
 * @param entryCount the number of entries that poll the leader.
 * @param controlHosts the control hosts, each of which runs a scheduler.
 * @param evacuated the failure domains whose upstreams must get no new requests.
 * @param relays the addresses of some entries that relay connections to upstreams.
 * @param pausedTrials the pools whose version under trial must get no requests for now.
 * @param confirmedAt the time at which the request for the latest confirmation was sent.
 */
public record ConfirmedView(
        Optional<Catalogue> catalogue,
        HostList hosts,
        List<Rollout> rollouts,
        int entryCount,
        List<ControlHost> controlHosts,
        Set<String> evacuated,
        List<String> relays,
        Set<String> pausedTrials,
        Moment confirmedAt) {
    /** The view of a process that has just started; it was never confirmed. */
    public static final ConfirmedView EMPTY = new ConfirmedView(
            Optional.empty(), HostList.NONE, List.of(), 0, List.of(), Set.of(), List.of(), Set.of(), Moment.LONG_AGO);

    /** Makes immutable copies of the collections. */
    public ConfirmedView {
        rollouts = List.copyOf(rollouts);
        controlHosts = List.copyOf(controlHosts);
        evacuated = Set.copyOf(evacuated);
        relays = List.copyOf(relays);
        pausedTrials = Set.copyOf(pausedTrials);
    }

    ConfirmedView withCatalogue(Catalogue newer) {
        return new ConfirmedView(
                Optional.of(newer),
                hosts,
                rollouts,
                entryCount,
                controlHosts,
                evacuated,
                relays,
                pausedTrials,
                confirmedAt);
    }

    ConfirmedView withHosts(HostList newer) {
        return new ConfirmedView(
                catalogue, newer, rollouts, entryCount, controlHosts, evacuated, relays, pausedTrials, confirmedAt);
    }

    ConfirmedView withResponse(FleetMessage.ViewResponse response, Moment sentAt) {
        return new ConfirmedView(
                catalogue,
                hosts,
                response.rollouts(),
                response.entryCount(),
                response.controlHosts(),
                response.evacuated(),
                response.relays(),
                response.pausedTrials(),
                sentAt);
    }

    /**
     * Returns the revision of the catalogue.
     *
     * @return the revision, or 0 if there is no catalogue.
     */
    public long revision() {
        return catalogue.map(Catalogue::revision).orElse(0L);
    }

    /**
     * Returns the organisations of the catalogue.
     *
     * @return the rules of the organisations by name, empty if there is no catalogue.
     */
    public Map<String, OrganisationRule> organisations() {
        return catalogue.map(Catalogue::organisations).orElse(Map.of());
    }

    /**
     * Returns whether a catalogue and a host list are present and were confirmed recently.
     *
     * @param millis the maximum age of the confirmation, in milliseconds.
     * @return whether the view is complete and younger than that.
     */
    public boolean isConfirmedWithin(double millis) {
        return catalogue.isPresent() && hosts.reading() > 0 && Moment.now().millisSince(confirmedAt) < millis;
    }

    /**
     * Returns whether another view has the same content, whenever the two were confirmed. Host lists are compared by
     * identity.
     *
     * @param other the other view.
     * @return whether everything but the time of the confirmation is the same.
     */
    public boolean hasSameContent(ConfirmedView other) {
        return hosts == other.hosts
                && entryCount == other.entryCount
                && catalogue.equals(other.catalogue)
                && rollouts.equals(other.rollouts)
                && controlHosts.equals(other.controlHosts)
                && evacuated.equals(other.evacuated)
                && relays.equals(other.relays)
                && pausedTrials.equals(other.pausedTrials);
    }
}
