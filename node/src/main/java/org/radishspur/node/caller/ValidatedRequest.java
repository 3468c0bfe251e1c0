package org.radishspur.node.caller;

import java.util.Optional;

import org.radishspur.model.request.RequestKey;
import org.radishspur.model.request.Tier;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.RouteRow;

/**
 * Holds the parameters of a request whose head passed validation.
 *
 * @param route the route that matches the request.
 * @param poolKind the kind of upstream that serves the route.
 * @param organisation the organisation that sends the request.
 * @param tier the tier of the request, bounded by the route's ceiling.
 * @param deadlineMillis the time from its arrival to its deadline, in milliseconds, bounded by the route's ceiling.
 * @param key the idempotency key, which is the same for every retry by the caller, or nothing.
 * @param promptTokens the announced length of the prompt in tokens, or -1 where it isn't announced.
 * @param outputTokens the announced length of the answer in tokens, or -1 where it isn't announced.
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
