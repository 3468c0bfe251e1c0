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
 * Reads structured events from the logs of any number of processes, through which other lines may be strewn.
 */
enum EventReader {
    /** The only instance; it keeps no state. */
    INSTANCE;

    /**
     * Reads files, or standard input where there are none.
     *
     * @param files the files.
     * @param wanted tells by its text whether a line may be of interest, before it is parsed.
     * @param events takes the events.
     * @throws IOException if standard input can't be read.
     */
    void read(List<Path> files, Predicate<String> wanted, Consumer<JsonNode> events) throws IOException {
        if (files.isEmpty()) {
            read(new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)), wanted, events);
        }
        for (Path file : files) {
            try (BufferedReader reader = Files.newBufferedReader(file)) {
                read(reader, wanted, events);
            } catch (IOException exception) {
                throw new RadishspurException(ErrorCode.FILE_UNREADABLE, "can't read " + file, exception);
            }
        }
    }

    private static void read(BufferedReader reader, Predicate<String> wanted, Consumer<JsonNode> events)
            throws IOException {
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            if (wanted.test(line)) {
                parse(line).ifPresent(events);
            }
        }
    }

    /** Reads the object in a line, which a log collector may have put a prefix before; other lines tell nothing. */
    private static Optional<JsonNode> parse(String line) {
        int begin = line.indexOf('{');
        if (begin < 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(Json.INSTANCE.readTree(line.substring(begin), ErrorCode.CALL_INVALID));
        } catch (RadishspurException exception) {
            System.err.println("left out a line that can't be read: " + exception.getMessage());
            return Optional.empty();
        }
    }
}
