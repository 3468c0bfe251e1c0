package org.radishspur.node.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.radishspur.decision.dispatch.QuotaLedger;

/**
 * Holds what a process is told that finds the others by itself, as an entry or as a control host.
 *
 * @param node the name of the process, for logs.
 * @param failureDomain the failure domain that it stands in.
 * @param peerAddress where other processes connect.
 * @param callerAddress where callers connect; only entries have one.
 * @param readyAddress where the balancer asks whether the entry takes callers; only entries have one.
 * @param operatorAddress where operators connect; only control hosts have one.
 * @param operatorPort the port at which operators reach any control host.
 * @param seeds the peer addresses of some control hosts, perhaps stale.
 * @param founding whether the whole system starts for the first time, with empty disks.
 * @param dataFolder the folder for the state of a control host.
 * @param hostListAddress where the platform lists its hosts.
 * @param metricsAddress where metrics are served, if anywhere.
 * @param bounds the times and shares that the platform's users count on.
 */
public record FleetSettings(
        String node,
        String failureDomain,
        HostPort peerAddress,
        Optional<HostPort> callerAddress,
        Optional<HostPort> readyAddress,
        Optional<HostPort> operatorAddress,
        int operatorPort,
        List<HostPort> seeds,
        boolean founding,
        Optional<Path> dataFolder,
        HostPort hostListAddress,
        Optional<HostPort> metricsAddress,
        Bounds bounds) {

    /** Copies the seeds. */
    public FleetSettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Returns these settings with other seeds.
     *
     * @param others the seeds.
     * @return the changed settings.
     */
    public FleetSettings withSeeds(List<HostPort> others) {
        return new FleetSettings(
                node,
                failureDomain,
                peerAddress,
                callerAddress,
                readyAddress,
                operatorAddress,
                operatorPort,
                others,
                founding,
                dataFolder,
                hostListAddress,
                metricsAddress,
                bounds);
    }

    /**
     * Holds what the users count on.
     *
     * @param revokeMillis after this time a key that was taken away must not work anywhere, in milliseconds.
     * @param graceMillis how long a planned stop may take, in milliseconds.
     * @param retryShare the greatest share of requests that may be sent to another upstream.
     * @param retrySlack how many more that may be, over all entries.
     * @param greatestTrialShare the greatest share of requests that a version under trial may get.
     * @param quota how far quotas may be exceeded.
     * @param toleratedHostLosses how many control hosts may be lost at once, their disks with them.
     */
    public record Bounds(
            long revokeMillis,
            long graceMillis,
            double retryShare,
            int retrySlack,
            double greatestTrialShare,
            QuotaLedger.Tolerance quota,
            int toleratedHostLosses) {

        /**
         * Returns how many control hosts vote, so that a majority is left after the losses that are borne.
         *
         * @return the number.
         */
        public int voters() {
            return 2 * toleratedHostLosses + 1;
        }
    }
}
