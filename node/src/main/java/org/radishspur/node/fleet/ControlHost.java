package org.radishspur.node.fleet;

/**
 * Names a control host.
 *
 * @param address the address at which other processes reach it.
 * @param failureDomain its failure domain, empty where that isn't known.
 */
public record ControlHost(String address, String failureDomain) {}
