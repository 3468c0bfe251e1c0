package org.radishspur.model.codec;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;

/**
 * Reads and writes the JSON of operators' files and calls; a key that a record doesn't have is an error.
 */
public enum Json {
    /** The only instance; it is thread-safe. */
    INSTANCE;

    /** The maximum depth of nested values; earlier versions accepted documents up to this depth. */
    public static final int MAX_DEPTH = 1_000;

    private final JsonFactory factory = JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
            .build();

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
     * Parses a text that holds one value into a tree.
     *
     * @param text the JSON text.
     * @param errorCode the code of the error that is thrown for a malformed text.
     * @return the root of the tree, a missing node if the text is empty.
     * @throws RadishspurException if the text is malformed, nested too deeply or goes on after the value.
     */
    public JsonNode readTree(String text, ErrorCode errorCode) {
        try (JsonParser parser = factory.createParser(text)) {
            JsonNode root = parser.nextToken() == null
                    ? MissingNode.getInstance()
                    : JsonTrees.read(parser, JsonBounds.UNBOUNDED.maxTreeValues());
            if (parser.nextToken() != null) {
                throw new RadishspurException(errorCode, "there is more text after the value");
            }
            return root;
        } catch (JsonProcessingException exception) {
            throw new RadishspurException(errorCode, exception.getOriginalMessage(), exception);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Parses an object whose lists may be long. Their elements are passed on one by one, so that a large document needs
     * little more memory than its text.
     *
     * @param text the JSON text.
     * @param bounds how much of the text is read and how many values it may hold.
     * @param errorCode the code of the error that is thrown for a malformed text.
     * @param fields the names of the fields that the result contains.
     * @param lists the receivers of the elements, by the names of their fields.
     * @return the object with the given fields, and with an empty list in place of each list that was passed on; all
     *     other fields are skipped.
     * @throws RadishspurException if the text is malformed, holds no object or exceeds the bounds.
     */
    public JsonNode readObject(
            String text,
            JsonBounds bounds,
            ErrorCode errorCode,
            Set<String> fields,
            Map<String, JsonListReader> lists) {
        try (JsonParser parser = factory.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new RadishspurException(errorCode, "must be an object");
            }
            JsonNode object = JsonTrees.readObject(parser, bounds, fields, lists);
            if (bounds.wholeText() && parser.nextToken() != null) {
                throw new RadishspurException(errorCode, "there is more text after the value");
            }
            return object;
        } catch (JsonProcessingException exception) {
            throw new RadishspurException(errorCode, exception.getOriginalMessage(), exception);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
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
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                .build();
    }
}
