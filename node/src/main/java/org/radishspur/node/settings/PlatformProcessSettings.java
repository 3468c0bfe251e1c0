package org.radishspur.node.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.radishspur.decision.dispatch.QuotaLedger;
import org.radishspur.decision.region.RegionMap;

/**
 * Holds the settings of one process of the platform's programs entry and control. The process discovers the other
 * processes by itself.
 *
 * @param node the name of the process, for logs.
 * @param failureDomain the failure domain of its host.
 * @param peerAddress the address to which other processes connect.
 * @param callerAddress the address to which callers connect; only entries have one.
 * @param readyAddress the address at which the load balancer checks whether the entry is ready; only entries have one.
 * @param operatorAddress the address to which operators connect; only control hosts have one.
 * @param operatorPort the port to which operators connect on every control host.
 * @param seeds the peer addresses of some control hosts, which may be stale.
 * @param founding whether the whole system starts for the first time, with empty disks, and founds a new control group.
 * @param dataFolder the folder for the state of a control host.
 * @param hostListAddress the address at which the platform serves its host list.
 * @param metricsAddress the address at which metrics are served, if they are.
 * @param bounds the bounds that the platform's users rely on, over all processes together.
 * @param regions the regions of the failure domains.
 * @param memory what is known of the memory of the process.
 */
public record PlatformProcessSettings(
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
        Bounds bounds,
        RegionMap regions,
        Memory memory) {

    /** Creates the settings with a copy of the seeds. */
    public PlatformProcessSettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Returns these settings with other seeds.
     *
     * @param newSeeds the new seeds.
     * @return the changed settings.
     */
    public PlatformProcessSettings withSeeds(List<HostPort> newSeeds) {
        return new PlatformProcessSettings(
                node,
                failureDomain,
                peerAddress,
                callerAddress,
                readyAddress,
                operatorAddress,
                operatorPort,
                newSeeds,
                founding,
                dataFolder,
                hostListAddress,
                metricsAddress,
                bounds,
                regions,
                memory);
    }

    /**
     * Holds the bounds that the platform's users rely on.
     *
     * @param revocationLimitMillis the time after which a revoked key must be refused everywhere, in milliseconds.
     * @param plannedStopMillis the maximum duration of a shutdown, in milliseconds.
     * @param retryShare the maximum share of requests that may be retried at another upstream, from 0 to 1.
     * @param retrySlack the number of retries allowed beyond that share, at all entries together.
     * @param maxTrialShare the maximum share of requests that a version under trial may get, from 0 to 1.
     * @param quotaTolerance the tolerance by which quotas may be exceeded.
     * @param toleratedHostLosses the number of control hosts that may be lost at the same time, together with their
     *     disks.
     * @param linkBytesPerSecond what the link of this host carries in each direction, in bytes per second.
     */
    public record Bounds(
            long revocationLimitMillis,
            long plannedStopMillis,
            double retryShare,
            int retrySlack,
            double maxTrialShare,
            QuotaLedger.Tolerance quotaTolerance,
            int toleratedHostLosses,
            double linkBytesPerSecond) {

        /**
         * Returns the number of voters in the control group, of which a majority remains after the tolerated losses.
         *
         * @return the number of voters.
         */
        public int voterCount() {
            return 2 * toleratedHostLosses + 1;
        }
    }

    /**
     * Holds what is known of the memory of a process.
     *
     * @param slowReaders whether callers and upstreams may read slowly, so that what waits for them has to be bounded.
     * @param processBytes the memory beyond which the process is killed, in bytes; 0 where it isn't stated.
     */
    public record Memory(boolean slowReaders, long processBytes) {
        /** Callers and upstreams read at once, and no limit is stated. */
        public static final Memory UNBOUNDED = new Memory(false, 0);
    }
}
