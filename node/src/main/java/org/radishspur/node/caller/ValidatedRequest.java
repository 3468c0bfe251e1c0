package org.radishspur.node.caller;

import java.util.Optional;

import org.radishspur.model.request.RequestKey;
import org.radishspur.model.request.Tier;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.RouteRow;

/**
 * Holds what the head of an acceptable request says.
 *
 * @param route the route that takes it.
 * @param poolKind what kind of upstream serves the route.
 * @param organisation the organisation that sends it.
 * @param tier its urgency, within the route's ceiling.
 * @param deadlineMillis how long its answer keeps its value, within the route's ceiling.
 * @param key its identity across resends, where the caller sends one.
 * @param promptTokens the announced length of the prompt, or -1.
 * @param outputTokens the announced length of the answer, or -1.
 */
record ValidatedRequest(
        RouteRow route,
        PoolKind poolKind,
        String organisation,
        Tier tier,
        long deadlineMillis,
        Optional<RequestKey> key,
        int promptTokens,
        int outputTokens) {}
