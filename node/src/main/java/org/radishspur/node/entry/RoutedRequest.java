package org.radishspur.node.entry;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.radishspur.decision.dispatch.RequestTerms;
import org.radishspur.decision.region.AllowedRegions;
import org.radishspur.decision.region.RegionMap;
import org.radishspur.decision.slot.SlotRequest;
import org.radishspur.model.catalogue.Catalogue;
import org.radishspur.model.catalogue.OrganisationRule;
import org.radishspur.model.catalogue.RequestKind;
import org.radishspur.model.catalogue.RouteRule;
import org.radishspur.node.dialect.CallerDialect.RequestHead;

/**
 * A request with the route, the organisation and the pool by which it is served.
 *
 * @param head what the caller stated.
 * @param route the route of the request.
 * @param organisation the organisation that holds the caller's key; empty where the route or the catalogue needs none.
 * @param pool the pool of the route that serves the request.
 */
record RoutedRequest(RequestHead head, RouteRule route, Optional<OrganisationRule> organisation, String pool) {
    /**
     * Returns whether a catalogue still routes the request to its pool, still assigns its key to its organisation, and
     * allows the same regions for both.
     */
    boolean isAllowedBy(Catalogue catalogue) {
        boolean routed = catalogue
                .match(head.host(), head.path())
                .filter(found ->
                        found.shares().stream().anyMatch(share -> share.pool().equals(pool)))
                .filter(found -> found.allowedRegions().equals(route.allowedRegions()))
                .isPresent();
        boolean keyValid = organisation.isEmpty()
                || head.apiKey()
                        .flatMap(catalogue::organisationByKey)
                        .filter(holder ->
                                holder.name().equals(organisation.get().name()))
                        .filter(holder -> holder.allowedRegions()
                                .equals(organisation.get().allowedRegions()))
                        .isPresent();
        return routed && keyValid;
    }

    /** Returns the priority of the organisation; 0 is the most urgent, and holds also for unknown organisations. */
    int organisationRank() {
        return organisation
                .map(OrganisationRule::priority)
                .filter(priority -> priority >= 0)
                .orElse(0);
    }

    /** Returns the name of the organisation, or an empty text where there is none. */
    String organisationName() {
        return organisation.map(OrganisationRule::name).orElse("");
    }

    /** Returns what the request counts against the quota of its organisation. */
    double quotaCost() {
        return organisation
                .map(rule -> rule.cost(head.promptTokens() + head.maxOutputTokens()))
                .orElse(0.0);
    }

    /** Returns what an upstream that runs the request has to expect. */
    SlotRequest.ExpectedLoad expectedLoad() {
        boolean generates = route.kind() == RequestKind.STREAM;
        return new SlotRequest.ExpectedLoad(
                head.promptTokens(),
                generates ? expectedTokens() : 0,
                generates ? head.maxOutputTokens() : 0,
                route.priority(),
                head.prefixId(),
                head.prefixTokens());
    }

    /** Returns the regions that the route and the organisation allow. */
    AllowedRegions allowedRegions() {
        return AllowedRegions.of(
                route.allowedRegions(),
                organisation.map(OrganisationRule::allowedRegions).orElse(Set.of()));
    }

    /** Returns whether an upstream in some failure domain may run the request. */
    boolean hasAllowedDomain(RegionMap regions) {
        return !allowedRegions().limited()
                || !regions.domainsIn(allowedRegions()).isEmpty();
    }

    /**
     * Returns what the route and the organisation state about how the request has to be served. Where
     * {@link #hasAllowedDomain} denies, no request may be made with these terms, as no failure domain stands for all.
     */
    RequestTerms terms(RegionMap regions) {
        AllowedRegions allowed = allowedRegions();
        return new RequestTerms(
                route.kind() == RequestKind.STREAM ? route.maxEventGapMillis() : 0,
                allowed.limited() ? regions.domainsIn(allowed) : List.of());
    }

    /** Returns how many tokens the caller expects, at most its own output limit, which its estimate may exceed. */
    long expectedTokens() {
        return head.maxOutputTokens() > 0
                ? Math.min(head.expectedOutputTokens(), head.maxOutputTokens())
                : head.expectedOutputTokens();
    }
}
