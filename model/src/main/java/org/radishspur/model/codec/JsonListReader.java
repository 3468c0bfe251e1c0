package org.radishspur.model.codec;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Receives the elements of a list in their order.
 */
public interface JsonListReader {
    /**
     * Handles the beginning of the list. If an object has the field several times, the last list counts.
     */
    void onBegin();

    /**
     * Handles an element.
     *
     * @param element the element.
     */
    void onElement(JsonNode element);
}
