package org.radishspur.node.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.radishspur.model.codec.Json;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;
import org.radishspur.model.table.TableFault;

/**
 * Reads the settings of a node from a JSON file, and reports all faults together, each with its path and the allowed
 * range.
 */
public enum SettingsReader {
    /** The only instance; reading keeps no state. */
    INSTANCE;

    private static final long SECOND_MILLIS = 1_000;
    private static final long MINUTE_MILLIS = 60 * SECOND_MILLIS;
    private static final long HOUR_MILLIS = 60 * MINUTE_MILLIS;
    private static final long DAY_MILLIS = 24 * HOUR_MILLIS;
    private static final int KIBIBYTE = 1 << 10;
    private static final int MEBIBYTE = 1 << 20;
    private static final long GIBIBYTE = 1L << 30;

    /**
     * Reads a settings file; relative paths in it are resolved against its folder.
     *
     * @param file the file.
     * @return the settings.
     * @throws InvalidSettingsException if a setting is missing, unknown or out of range.
     * @throws RadishspurException if the file can't be read or isn't JSON.
     */
    public NodeSettings read(Path file) {
        try {
            return parse(Files.readString(file), file.toAbsolutePath().getParent());
        } catch (IOException exception) {
            throw new RadishspurException(ErrorCode.FILE_UNREADABLE, "can't read " + file, exception);
        }
    }

    /**
     * Reads settings from a JSON text.
     *
     * @param text the JSON text.
     * @param folder the folder against which relative paths are resolved.
     * @return the settings.
     * @throws InvalidSettingsException if a setting is missing, unknown or out of range.
     * @throws RadishspurException if the text isn't JSON.
     */
    public NodeSettings parse(String text, Path folder) {
        JsonNode tree = Json.INSTANCE.readTree(text, ErrorCode.SETTINGS_INVALID);
        List<TableFault> faults = new ArrayList<>();
        FieldReader root = new FieldReader(tree, "", faults);
        NodeSettings settings = new NodeSettings(
                root.text("cluster"),
                root.text("node"),
                root.text("failureDomain"),
                root.enumSet("roles", Role.class),
                root.address("callerAddress"),
                root.address("peerAddress"),
                root.address("adminAddress"),
                optionalPath(root.optionalText("dataFolder"), folder),
                folder.resolve(root.text("sharedKeyFile")),
                folder.resolve(root.text("adminTokenFile")),
                peers(root),
                limits(root.object("limits")),
                timeouts(root.object("timeouts")));
        root.rejectUnknownFields();
        checkConsistency(settings, faults);
        if (!faults.isEmpty()) {
            throw new InvalidSettingsException(faults);
        }
        return settings;
    }

    private static Optional<Path> optionalPath(String text, Path folder) {
        return text.isEmpty() ? Optional.empty() : Optional.of(folder.resolve(text));
    }

    private static List<PeerSettings> peers(FieldReader root) {
        List<PeerSettings> peers = new ArrayList<>();
        for (FieldReader peer : root.objects("peers")) {
            peers.add(new PeerSettings(peer.text("node"), peer.address("address"), peer.flag("control", false)));
            peer.rejectUnknownFields();
        }
        return peers;
    }

    private static Limits limits(FieldReader fields) {
        Limits limits = new Limits(
                (int) fields.number("headerBytes", 16 * KIBIBYTE, KIBIBYTE, MEBIBYTE),
                (int) fields.number("initialBodyBytes", 16 * KIBIBYTE, KIBIBYTE, MEBIBYTE),
                (int) fields.number("storedAnswerBytes", 64 * KIBIBYTE, 0, MEBIBYTE),
                (int) fields.number("frameBytes", 4 * MEBIBYTE, 64 * KIBIBYTE, 64 * MEBIBYTE),
                (int) fields.number("trafficThreads", Runtime.getRuntime().availableProcessors(), 1, 256),
                (int) fields.number("callerConnections", 20_000, 1, 1_000_000),
                fields.share("retryShare", 0.1),
                (int) fields.number("entriesPerSnapshot", 10_000, 10, 10_000_000),
                fields.number("minimumFreeBytes", 64L * MEBIBYTE, 0, 1024 * GIBIBYTE));
        fields.rejectUnknownFields();
        return limits;
    }

    private static Timeouts timeouts(FieldReader fields) {
        Timeouts timeouts = new Timeouts(
                fields.number("connectMillis", SECOND_MILLIS, 1, MINUTE_MILLIS),
                fields.number("firstByteMillis", MINUTE_MILLIS, 1, HOUR_MILLIS),
                fields.number("idleMillis", 30 * SECOND_MILLIS, 1, HOUR_MILLIS),
                fields.number("callerIdleMillis", 2 * MINUTE_MILLIS, 1, DAY_MILLIS),
                fields.number("upstreamKeepMillis", 4 * SECOND_MILLIS, 0, HOUR_MILLIS),
                fields.number("controlCallMillis", 5 * SECOND_MILLIS, 10, MINUTE_MILLIS),
                fields.number("heartbeatMillis", 500, 10, MINUTE_MILLIS),
                fields.number("nodeLostMillis", 3 * SECOND_MILLIS, 100, HOUR_MILLIS),
                fields.number("raftHeartbeatMillis", 100, 5, MINUTE_MILLIS),
                fields.number("electionMillis", 600, 50, MINUTE_MILLIS),
                fields.number("shutdownMillis", 10 * MINUTE_MILLIS, 0, DAY_MILLIS),
                fields.number("claimKeepMillis", DAY_MILLIS, SECOND_MILLIS, 30 * DAY_MILLIS),
                fields.number("suspectKeepMillis", 10 * MINUTE_MILLIS, SECOND_MILLIS, 30 * DAY_MILLIS));
        fields.rejectUnknownFields();
        return timeouts;
    }

    private static void checkConsistency(NodeSettings settings, List<TableFault> faults) {
        if (settings.isControl() && settings.dataFolder().isEmpty()) {
            faults.add(new TableFault("dataFolder", "must be given for a control node"));
        }
        if (settings.controlNodes().isEmpty()) {
            faults.add(new TableFault("peers", "must name a control node, since this node isn't one"));
        }
        Set<String> names = new HashSet<>(Set.of(settings.node()));
        for (int index = 0; index < settings.peers().size(); index++) {
            if (!names.add(settings.peers().get(index).node())) {
                faults.add(new TableFault("peers[" + index + "].node", "is used twice"));
            }
        }
        if (settings.timeouts().electionMillis() < 3 * settings.timeouts().raftHeartbeatMillis()) {
            faults.add(new TableFault("timeouts.electionMillis", "must be at least 3 times raftHeartbeatMillis"));
        }
        if (settings.timeouts().nodeLostMillis() < 2 * settings.timeouts().heartbeatMillis()) {
            faults.add(new TableFault("timeouts.nodeLostMillis", "must be at least 2 times heartbeatMillis"));
        }
    }
}
