/**
 * Holds the identities of requests and of their dispatch attempts, and the tiers of urgency.
 */
package org.radishspur.model.request;
