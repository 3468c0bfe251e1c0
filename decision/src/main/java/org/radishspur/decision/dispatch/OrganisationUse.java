package org.radishspur.decision.dispatch;

/**
 * Holds what a scheduler counts as the use of one organisation in the present window, in the unit of its limit.
 *
 * @param organisation the name of the organisation.
 * @param limit the limit.
 * @param window the use in the window that is known, own and reported.
 * @param assumed the use that is assumed for schedulers that have fallen silent.
 * @param waiting the own use whose requests wait for a slot.
 * @param reportingShare the share of the schedulers whose use is known, from 0 to 1.
 */
public record OrganisationUse(
        String organisation, double limit, double window, double assumed, double waiting, double reportingShare) {}
