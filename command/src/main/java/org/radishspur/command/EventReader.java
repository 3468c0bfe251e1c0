package org.radishspur.command;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.JsonNode;
import org.radishspur.model.codec.Json;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;

/**
 * Reads structured events from the logs of any number of processes, which may also hold other lines.
 */
enum EventReader {
    /** The only instance; it keeps no state. */
    INSTANCE;

    /**
     * Reads events from files, or from standard input if there are none.
     *
     * @param files the files.
     * @param lineFilter selects the lines to parse, by their text.
     * @param events receives the events.
     * @throws IOException if standard input can't be read.
     * @throws RadishspurException if a file can't be read.
     */
    void read(List<Path> files, Predicate<String> lineFilter, Consumer<JsonNode> events) throws IOException {
        if (files.isEmpty()) {
            read(new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)), lineFilter, events);
        }
        for (Path file : files) {
            try (BufferedReader reader = Files.newBufferedReader(file)) {
                read(reader, lineFilter, events);
            } catch (IOException exception) {
                throw new RadishspurException(ErrorCode.FILE_UNREADABLE, "can't read " + file, exception);
            }
        }
    }

    private static void read(BufferedReader reader, Predicate<String> lineFilter, Consumer<JsonNode> events)
            throws IOException {
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            if (lineFilter.test(line)) {
                parse(line).ifPresent(events);
            }
        }
    }

    /**
     * Parses the JSON object in a line, before which a log collector may have put a prefix. Other lines hold no event.
     */
    private static Optional<JsonNode> parse(String line) {
        int begin = line.indexOf('{');
        if (begin < 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(Json.INSTANCE.readTree(line.substring(begin), ErrorCode.CALL_INVALID));
        } catch (RadishspurException exception) {
            System.err.println("skipped a line that is not valid JSON: " + exception.getMessage());
            return Optional.empty();
        }
    }
}
