package org.radishspur.model.codec;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
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

    /** Reads the value that starts at the current token; afterwards its last token is the current one. */
    static JsonNode read(JsonParser parser) throws IOException {
        Deque<ContainerNode<?>> open = new ArrayDeque<>();
        JsonToken token = parser.currentToken();
        while (true) {
            JsonNode complete;
            if (token.isStructEnd()) {
                complete = open.pop();
            } else {
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
