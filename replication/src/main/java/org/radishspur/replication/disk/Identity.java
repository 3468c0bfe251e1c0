package org.radishspur.replication.disk;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;

/**
 * Identifies a data folder and its replica permanently. The identity is assigned when the folder is formatted, and is
 * never reused, not even after the disk is wiped.
 *
 * @param cluster the cluster that the folder belongs to.
 * @param node the node that formatted the folder.
 * @param replica the identity of the replica, as a voter or a learner.
 * @param initialVoters the identities of the founding replicas, or an empty set for a replica that joins the cluster
 *     later.
 */
public record Identity(String cluster, String node, String replica, Set<String> initialVoters) {

    private static final String FOUNDING_SUFFIX = "#founder";

    /**
     * Returns the identity of one of the replicas that found a cluster.
     *
     * @param cluster the cluster.
     * @param node the node.
     * @param founders the nodes of all founding replicas.
     * @return the identity.
     */
    public static Identity ofFounder(String cluster, String node, Set<String> founders) {
        Set<String> voters = founders.stream()
                .map(founder -> founder + FOUNDING_SUFFIX)
                .collect(java.util.stream.Collectors.toCollection(java.util.TreeSet::new));
        return new Identity(cluster, node, node + FOUNDING_SUFFIX, voters);
    }

    /**
     * Returns the identity of a replica that joins an existing cluster.
     *
     * @param cluster the cluster.
     * @param node the node.
     * @param suffix a text that no earlier identity of the node has had.
     * @return the identity.
     */
    public static Identity ofJoiner(String cluster, String node, String suffix) {
        return new Identity(cluster, node, node + "#" + suffix, Set.of());
    }

    /**
     * Parses an identity from JSON. It is read field by field, because setting up a general object mapper takes a fifth
     * of a second when a small host restarts.
     *
     * @param text the JSON text.
     * @return the identity.
     * @throws RadishspurException if the text is malformed or lacks a field.
     */
    static Identity parse(String text) {
        Map<String, String> texts = new HashMap<>();
        Set<String> voters = new TreeSet<>();
        try (JsonParser parser = new JsonFactory().createParser(text)) {
            String field = "";
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                if (token == JsonToken.FIELD_NAME) {
                    field = parser.currentName();
                } else if (token == JsonToken.VALUE_STRING && field.equals("initialVoters")) {
                    voters.add(parser.getText());
                } else if (token == JsonToken.VALUE_STRING) {
                    texts.put(field, parser.getText());
                }
            }
        } catch (IOException exception) {
            throw new RadishspurException(
                    ErrorCode.FOREIGN_DATA, "can't parse the identity of the data folder", exception);
        }
        if (!texts.keySet().containsAll(Set.of("cluster", "node", "replica"))) {
            throw new RadishspurException(
                    ErrorCode.FOREIGN_DATA, "the identity of the data folder lacks a field: " + text);
        }
        return new Identity(texts.get("cluster"), texts.get("node"), texts.get("replica"), voters);
    }

    /**
     * Writes the identity as JSON.
     *
     * @return the JSON text.
     */
    String write() {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = new JsonFactory().createGenerator(text).useDefaultPrettyPrinter()) {
            generator.writeStartObject();
            generator.writeStringField("cluster", cluster);
            generator.writeStringField("node", node);
            generator.writeStringField("replica", replica);
            generator.writeArrayFieldStart("initialVoters");
            for (String voter : initialVoters) {
                generator.writeString(voter);
            }
            generator.writeEndArray();
            generator.writeEndObject();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        return text.toString();
    }
}
