package org.radishspur.model.codec;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;

/**
 * Reads and writes the JSON that operators see; unknown keys are faults.
 */
public enum Json {
    /** The only instance; all that it uses is safe for all threads. */
    INSTANCE;

    private final JsonFactory factory = new JsonFactory();

    /**
     * Parses a text.
     *
     * @param text the JSON text.
     * @param type the record to make of it.
     * @param fault the code under which a malformed text is reported.
     * @param <T> the type of the record.
     * @return the record.
     */
    public <T> T read(String text, Class<T> type, ErrorCode fault) {
        try {
            return LazyMapper.INSTANCE.readValue(text, type);
        } catch (JsonProcessingException exception) {
            throw new RadishspurException(fault, exception.getOriginalMessage(), exception);
        }
    }

    /**
     * Parses a text into a tree.
     *
     * @param text the JSON text.
     * @param fault the code under which a malformed text is reported.
     * @return the root of the tree.
     */
    public JsonNode readTree(String text, ErrorCode fault) {
        try (JsonParser parser = factory.createParser(text)) {
            return parser.nextToken() == null ? MissingNode.getInstance() : tree(parser);
        } catch (JsonProcessingException exception) {
            throw new RadishspurException(fault, exception.getOriginalMessage(), exception);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Makes a tree of what begins with the present token. */
    private static JsonNode tree(JsonParser parser) throws IOException {
        JsonNodeFactory nodes = JsonNodeFactory.instance;
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> array(parser);
            case VALUE_STRING -> nodes.textNode(parser.getText());
            case VALUE_NUMBER_INT -> integer(parser);
            case VALUE_NUMBER_FLOAT -> nodes.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> nodes.booleanNode(true);
            case VALUE_FALSE -> nodes.booleanNode(false);
            default -> nodes.nullNode();
        };
    }

    private static JsonNode integer(JsonParser parser) throws IOException {
        JsonNodeFactory nodes = JsonNodeFactory.instance;
        return switch (parser.getNumberType()) {
            case INT -> nodes.numberNode(parser.getIntValue());
            case LONG -> nodes.numberNode(parser.getLongValue());
            default -> nodes.numberNode(parser.getBigIntegerValue());
        };
    }

    private static JsonNode object(JsonParser parser) throws IOException {
        ObjectNode object = JsonNodeFactory.instance.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            object.set(name, tree(parser));
        }
        return object;
    }

    private static JsonNode array(JsonParser parser) throws IOException {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(tree(parser));
        }
        return array;
    }

    /**
     * Makes a record of a part of a tree.
     *
     * @param tree the part.
     * @param type the record to make of it.
     * @param fault the code under which a malformed part is reported.
     * @param <T> the type of the record.
     * @return the record.
     */
    public <T> T convert(JsonNode tree, Class<T> type, ErrorCode fault) {
        try {
            return LazyMapper.INSTANCE.treeToValue(tree, type);
        } catch (JsonProcessingException exception) {
            throw new RadishspurException(fault, exception.getOriginalMessage(), exception);
        }
    }

    /**
     * Writes a value on one line.
     *
     * @param value the value.
     * @return the JSON text.
     */
    public String write(Object value) {
        try {
            return LazyMapper.INSTANCE.writeValueAsString(value);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Writes a value over several lines.
     *
     * @param value the value.
     * @return the JSON text.
     */
    public String writePretty(Object value) {
        try {
            return LazyMapper.INSTANCE.writerWithDefaultPrettyPrinter().writeValueAsString(value);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Holds the general mapper, which is made at its first use. Making it takes a tenth of the processor time of a start, as
     * it loads calendars and locales; entries read trees only and must not need it.
     */
    private static final class LazyMapper {
        static final ObjectMapper INSTANCE = JsonMapper.builder()
                .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                .build();
    }
}
