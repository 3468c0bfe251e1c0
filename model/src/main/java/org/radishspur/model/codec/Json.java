package org.radishspur.model.codec;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
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
 * Reads and writes the JSON of operators' files and calls; a key that a record doesn't have is an error.
 */
public enum Json {
    /** The only instance; it is thread-safe. */
    INSTANCE;

    private final JsonFactory factory = new JsonFactory();

    /**
     * Parses a text into a record.
     *
     * @param text the JSON text.
     * @param type the type of the record.
     * @param errorCode the code of the error that is thrown for a malformed text.
     * @param <T> the type of the record.
     * @return the record.
     * @throws RadishspurException if the text is malformed or doesn't match the record.
     */
    public <T> T read(String text, Class<T> type, ErrorCode errorCode) {
        try {
            return LazyMapper.INSTANCE.readValue(text, type);
        } catch (JsonProcessingException exception) {
            throw new RadishspurException(errorCode, exception.getOriginalMessage(), exception);
        }
    }

    /**
     * Parses a text into a tree.
     *
     * @param text the JSON text.
     * @param errorCode the code of the error that is thrown for a malformed text.
     * @return the root of the tree, a missing node if the text is empty.
     * @throws RadishspurException if the text is malformed.
     */
    public JsonNode readTree(String text, ErrorCode errorCode) {
        try (JsonParser parser = factory.createParser(text)) {
            return parser.nextToken() == null ? MissingNode.getInstance() : tree(parser);
        } catch (JsonProcessingException exception) {
            throw new RadishspurException(errorCode, exception.getOriginalMessage(), exception);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Reads the value that starts at the current token. */
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
     * Converts a tree to a record.
     *
     * @param tree the tree, or a subtree of a larger one.
     * @param type the type of the record.
     * @param errorCode the code of the error that is thrown for a tree that doesn't match the record.
     * @param <T> the type of the record.
     * @return the record.
     * @throws RadishspurException if the tree doesn't match the record.
     */
    public <T> T convert(JsonNode tree, Class<T> type, ErrorCode errorCode) {
        try {
            return LazyMapper.INSTANCE.treeToValue(tree, type);
        } catch (JsonProcessingException exception) {
            throw new RadishspurException(errorCode, exception.getOriginalMessage(), exception);
        }
    }

    /**
     * Writes a value as JSON on one line.
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
     * Writes an object of texts as JSON on one line, its fields in the order of their names. Creates no object mapper, which
     * would hold up the first caller for a tenth of a second and more.
     *
     * @param fields the texts by their names.
     * @return the JSON text.
     */
    public String writeTexts(Map<String, String> fields) {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = factory.createGenerator(text)) {
            generator.writeStartObject();
            for (Map.Entry<String, String> field : new TreeMap<>(fields).entrySet()) {
                generator.writeStringField(field.getKey(), field.getValue());
            }
            generator.writeEndObject();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        return text.toString();
    }

    /**
     * Writes a value as indented JSON on several lines.
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
     * Creates the object mapper at its first use. Creating it takes a tenth of the processor time of a process start,
     * because it loads calendars and locales. Entry nodes only read trees, which must not need the mapper.
     */
    private static final class LazyMapper {
        static final ObjectMapper INSTANCE = JsonMapper.builder()
                .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                .build();
    }
}
