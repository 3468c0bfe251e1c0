package org.radishspur.model.codec;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ContainerNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Builds trees of JSON values. It doesn't recurse, so that a deeply nested value can't exhaust the stack of the thread that reads
 * it.
 */
final class JsonTrees {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTrees() {}

    /**
     * Reads the object that starts at the current token, and passes on the elements of lists; afterwards its last token
     * is the current one.
     */
    static JsonNode readObject(
            JsonParser parser, JsonBounds bounds, Set<String> fields, Map<String, JsonListReader> lists)
            throws IOException {
        ObjectNode object = NODES.objectNode();
        int elements = 0;
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            JsonToken token = parser.nextToken();
            JsonListReader list = lists.get(name);
            if (list != null && token == JsonToken.START_ARRAY) {
                object.set(name, NODES.arrayNode());
                list.onBegin();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    JsonNode element = read(parser, bounds.maxTreeValues());
                    elements += 1 + countElements(element);
                    if (elements > bounds.maxListElements()) {
                        throw new StreamConstraintsException(
                                "the lists have more than " + bounds.maxListElements() + " elements");
                    }
                    list.onElement(element);
                }
            } else if (list != null || fields.contains(name)) {
                object.set(name, read(parser, bounds.maxTreeValues()));
            } else {
                parser.skipChildren();
            }
        }
        return object;
    }

    /** Counts the elements of the lists directly in an object. */
    private static int countElements(JsonNode node) {
        int count = 0;
        for (JsonNode child : node) {
            count += child.isArray() ? child.size() : 0;
        }
        return count;
    }

    /** Reads the value that starts at the current token; afterwards its last token is the current one. */
    static JsonNode read(JsonParser parser, int maxValues) throws IOException {
        Deque<ContainerNode<?>> open = new ArrayDeque<>();
        JsonToken token = parser.currentToken();
        int values = 0;
        while (true) {
            JsonNode complete;
            if (token.isStructEnd()) {
                complete = open.pop();
            } else {
                if (++values > maxValues) {
                    throw new StreamConstraintsException("a value holds more than " + maxValues + " values");
                }
                complete = nodeOf(token, parser);
                attach(complete, open.peek(), parser);
                if (token.isStructStart()) {
                    open.push((ContainerNode<?>) complete);
                }
            }
            if (open.isEmpty()) {
                return complete;
            }
            token = parser.nextToken();
            if (token == JsonToken.FIELD_NAME) {
                token = parser.nextToken();
            }
        }
    }

    private static void attach(JsonNode node, ContainerNode<?> parent, JsonParser parser) throws IOException {
        if (parent instanceof ObjectNode object) {
            object.set(parser.currentName(), node);
        } else if (parent instanceof ArrayNode array) {
            array.add(node);
        }
    }

    /** Returns the scalar at the current token, or an empty container if one starts there. */
    private static JsonNode nodeOf(JsonToken token, JsonParser parser) throws IOException {
        return switch (token) {
            case START_OBJECT -> NODES.objectNode();
            case START_ARRAY -> NODES.arrayNode();
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> integerOf(parser);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            default -> NODES.nullNode();
        };
    }

    private static JsonNode integerOf(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }
}
