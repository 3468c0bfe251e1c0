package org.radishspur.model.request;

/**
 * Identifies a request across the caller's retries: the same organisation and key always mean the same request.
 *
 * @param organisation the organisation that sent the request.
 * @param key the idempotency key, chosen by the caller.
 */
public record RequestKey(String organisation, String key) {}
