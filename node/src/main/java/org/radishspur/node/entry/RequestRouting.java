package org.radishspur.node.entry;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

import io.netty.handler.codec.http.HttpRequest;
import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.model.catalogue.Catalogue;
import org.radishspur.model.catalogue.OrganisationRule;
import org.radishspur.model.catalogue.RouteRule;
import org.radishspur.node.dialect.CallerDialect.RequestHead;
import org.radishspur.node.schedule.ConfirmedView;

/**
 * Finds the route and the organisation of one request by the confirmed view, and checks later whether the current view still
 * allows the request. The traffic thread owns it.
 */
final class RequestRouting {
    /**
     * In how many milliseconds a control leader is usually elected and confirms views again. A request waits so long for the
     * view to be confirmed; an entry whose view isn't by then may be cut off, and its callers can go to another one.
     */
    static final long CONFIRMATION_MILLIS = 1_000;

    private final EntryExchange exchange;
    private final EntryServices services;
    private final HttpRequest request;
    private final RequestDeadline deadline;
    private RequestHead head;
    private RoutedRequest routed;

    RequestRouting(EntryExchange exchange, EntryServices services, HttpRequest request, RequestDeadline deadline) {
        this.exchange = exchange;
        this.services = services;
        this.request = request;
        this.deadline = deadline;
    }

    /** Reads the head of the request, which states its deadline. */
    RequestHead readHead() {
        head = services.dialect().decodeHead(request);
        return head;
    }

    /** Routes the request, once the view is confirmed. */
    void begin() {
        if (readHead().requestId().isEmpty()) {
            exchange.refuse(EndReason.MALFORMED, 0, false);
            return;
        }
        long statedMillis = deadline.set(head);
        if (services.isConfirmed()) {
            matchRoute();
        } else {
            awaitConfirmation(statedMillis);
        }
    }

    /**
     * Waits for the view to be confirmed before the request is routed, as after a restart or the loss of the control leader.
     */
    private void awaitConfirmation(long statedMillis) {
        long waitMillis = Math.min(CONFIRMATION_MILLIS, statedMillis);
        deadline.schedule(
                () -> exchange.refuse(EndReason.UNCONFIRMED, deadline.boundRetryAfter(CONFIRMATION_MILLIS), false),
                waitMillis);
        services.awaitConfirmation(exchange, () -> {
            deadline.cancelTimer();
            matchRoute();
        });
    }

    /** Finds the route, checks the key and the regions, and bounds the deadline by the timeout of the route. */
    private void matchRoute() {
        Catalogue catalogue = services.view().catalogue().orElseThrow();
        Optional<RouteRule> matched = catalogue.match(head.host(), head.path());
        if (matched.isEmpty()) {
            exchange.refuse(EndReason.ROUTE_UNKNOWN, 0, false);
            return;
        }
        RouteRule route = matched.get();
        Optional<OrganisationRule> organisation = head.apiKey().flatMap(catalogue::organisationByKey);
        // Chooses one of the pools of the route by their shares.
        String pool = route.choosePool(ThreadLocalRandom.current().nextDouble());
        routed = new RoutedRequest(head, route, organisation, pool);
        if (!route.allowsAnonymous() && !catalogue.organisations().isEmpty() && organisation.isEmpty()) {
            exchange.refuse(EndReason.KEY_UNKNOWN, 0, false);
            return;
        }
        deadline.limit(route.timeoutMillis());
        if (!routed.hasAllowedDomain(services.regions())) {
            exchange.refuse(EndReason.REGION_UNAVAILABLE, deadline.maxRetryAfter(), false);
            return;
        }
        exchange.onRouted();
    }

    /** Returns whether the view is confirmed and its catalogue still allows the request. */
    boolean isStillAllowed() {
        return services.isConfirmed() && isAllowedByCatalogue();
    }

    private boolean isAllowedByCatalogue() {
        return routed.isAllowedBy(services.view().catalogue().orElseThrow());
    }

    /** Returns whether the current view still allows the request to be sent to the granted upstream. */
    boolean isStillUsable(UpstreamLoad upstream, ConfirmedView viewAtGrant) {
        long now = EntryServices.now();
        boolean unchanged = services.view().hasSameContent(viewAtGrant);
        return services.isConfirmed()
                && services.slots().isUsable(upstream, now)
                && (unchanged || isAllowedByCatalogue())
                && isInAllowedRegion(upstream);
    }

    /** Returns whether an upstream lies in a region that the request may reach, by the current settings. */
    private boolean isInAllowedRegion(UpstreamLoad upstream) {
        return routed.hasAllowedDomain(services.regions())
                && routed.terms(services.regions())
                        .allowsDomain(upstream.upstream().failureDomain());
    }

    /** Returns whether the body of the request may pass through another host of this system. */
    boolean mayBeRelayed() {
        return services.regions().allowsAnyHost(routed.allowedRegions());
    }

    /** Returns what the caller stated, null before the head is read. */
    RequestHead head() {
        return head;
    }

    /** Returns the request with its route, null before its route is found. */
    RoutedRequest routed() {
        return routed;
    }
}
