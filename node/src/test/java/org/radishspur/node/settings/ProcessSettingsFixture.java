package org.radishspur.node.settings;

import java.util.List;
import java.util.Optional;

import org.radishspur.decision.dispatch.QuotaLedger;
import org.radishspur.decision.region.RegionMap;

/**
 * Holds the settings of a process that a test runs without a network.
 */
public final class ProcessSettingsFixture {
    private ProcessSettingsFixture() {}

    /**
     * Returns the settings of a process in failure domain a.
     *
     * @param node the name of the process.
     * @param address its address for all purposes, on which it doesn't listen.
     * @return the settings.
     */
    public static PlatformProcessSettings of(String node, HostPort address) {
        return of(node, address, RegionMap.NONE);
    }

    /**
     * Returns the settings of a process in failure domain a, with the regions of failure domains.
     *
     * @param node the name of the process.
     * @param address its address for all purposes, on which it doesn't listen.
     * @param regions the regions.
     * @return the settings.
     */
    public static PlatformProcessSettings of(String node, HostPort address, RegionMap regions) {
        PlatformProcessSettings.Bounds bounds = new PlatformProcessSettings.Bounds(
                5_000, 8_000, 0.2, 54, 0.1, new QuotaLedger.Tolerance(0, 0, 8_000), 1, 125_000_000);
        return new PlatformProcessSettings(
                node,
                "a",
                address,
                Optional.of(address),
                Optional.of(address),
                Optional.empty(),
                0,
                List.of(),
                false,
                Optional.empty(),
                address,
                Optional.empty(),
                bounds,
                regions,
                PlatformProcessSettings.Memory.UNBOUNDED);
    }
}
