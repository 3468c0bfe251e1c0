package org.radishspur.replication.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.radishspur.decision.move.Move;
import org.radishspur.decision.move.MoveDriver;
import org.radishspur.decision.move.MoveState;
import org.radishspur.decision.move.RollbackReason;
import org.radishspur.decision.move.VersionSplit;
import org.radishspur.model.table.Revisioned;
import org.radishspur.model.table.RouteRow;
import org.radishspur.model.table.Tables;

/**
 * Stores the latest move of each route to another version, and earlier moves. An accepted edit that changes the version
 * of a route begins a move. After that, the move only changes by proposals that match its current state and stage, by
 * being rolled back, or by another edit.
 */
public final class MoveTable {
    private static final int MAXIMUM_ENDED_MOVES = 1_000;

    /** How long a move may take where the route states no completion time. */
    private static final long DEFAULT_MOVE_MILLIS = 30L * 60 * 1000;

    private final Map<String, Move> latest = new TreeMap<>();
    private final LinkedHashMap<Long, Move> ended = new LinkedHashMap<>();

    /**
     * Creates an empty table.
     */
    public MoveTable() {}

    MoveTable(Image image) {
        image.latest().forEach(move -> latest.put(move.route(), move));
        image.ended().forEach(move -> ended.put(move.id(), move));
    }

    /**
     * Begins, changes, rolls back or removes moves according to an accepted edit.
     *
     * @param before the tables before the edit.
     * @param after the tables after the edit.
     * @param now the proposer's wall clock, in milliseconds since the epoch.
     */
    public void onEdit(Tables before, Tables after, long now) {
        latest.keySet().removeIf(route -> !after.routes().containsKey(route));
        for (Map.Entry<String, Revisioned<RouteRow>> entry : after.routes().entrySet()) {
            Revisioned<RouteRow> old = before.routes().get(entry.getKey());
            boolean changed = entry.getValue().revision() == after.revision();
            if (changed && old != null) {
                onRouteEdit(old.row(), entry.getValue().row(), after.revision(), now);
            }
        }
    }

    /**
     * Changes a move if it is still in the state and stage that the proposal expects. A move that hasn't ended can be
     * rolled back from any state and stage; a move that has ended never changes again.
     *
     * @param proposal the proposed change.
     * @param now the proposer's wall clock, in milliseconds since the epoch.
     */
    public void change(MoveDriver.Proposal proposal, long now) {
        Move current = latest.get(proposal.route());
        if (current == null
                || current.id() != proposal.moveId()
                || current.state().isFinal()) {
            return;
        }
        boolean matches = current.state() == proposal.expectedState() && current.stage() == proposal.expectedStage();
        if (matches || proposal.state() == MoveState.TAKEN_BACK) {
            latest.put(current.route(), current.with(proposal.state(), proposal.stage(), proposal.reason(), now));
        }
    }

    /**
     * Returns the latest move of each route that has had one.
     *
     * @return the moves by route.
     */
    public Map<String, Move> latest() {
        return Map.copyOf(latest);
    }

    /**
     * Returns the moves that are no longer the latest one of their route.
     *
     * @return the moves, earliest first.
     */
    public List<Move> ended() {
        return List.copyOf(ended.values());
    }

    /**
     * Returns which versions serve each route.
     *
     * @param tables the current tables.
     * @param moves the latest move of each route.
     * @return the splits by route; a route without a version is left out.
     */
    public static Map<String, VersionSplit> versionSplits(Tables tables, Map<String, Move> moves) {
        Map<String, VersionSplit> splits = new TreeMap<>();
        for (Revisioned<RouteRow> route : tables.routes().values()) {
            RouteRow row = route.row();
            Move move = moves.get(row.name());
            if (move != null) {
                splits.put(row.name(), new VersionSplit(move.id(), move.from(), move.to(), move.share()));
            } else if (!row.version().isEmpty()) {
                splits.put(row.name(), new VersionSplit(0, "", row.version(), 1));
            }
        }
        return splits;
    }

    Image image() {
        return new Image(new ArrayList<>(latest.values()), new ArrayList<>(ended.values()));
    }

    private void onRouteEdit(RouteRow old, RouteRow row, long revision, long now) {
        Move current = latest.get(row.name());
        String currentVersion = current == null ? old.version() : current.finalVersion();
        boolean unchanged = row.version().equals(old.version()) && row.completeByMillis() == old.completeByMillis();
        if (unchanged) {
            return;
        }
        if (current != null && !current.state().isFinal()) {
            if (row.version().equals(current.to())) {
                changeCompletionTime(current, row, now);
                return;
            }
            boolean reverts = row.version().equals(current.from());
            RollbackReason reason = reverts ? RollbackReason.BY_OPERATOR : RollbackReason.SUPERSEDED;
            latest.put(row.name(), current.with(MoveState.TAKEN_BACK, current.stage(), reason, now));
            if (reverts) {
                return;
            }
            currentVersion = current.from();
        }
        if (!row.version().isEmpty()
                && !currentVersion.isEmpty()
                && !row.version().equals(currentVersion)) {
            beginMove(row, currentVersion, revision, now);
        } else {
            archiveMove(row.name());
        }
    }

    /** Gives a move that has not ended another completion time. */
    private void changeCompletionTime(Move current, RouteRow row, long now) {
        latest.put(
                row.name(),
                new Move(
                        current.id(),
                        current.route(),
                        current.from(),
                        current.to(),
                        current.startedAt(),
                        completeBy(row, now),
                        current.state(),
                        current.stage(),
                        current.stageSince(),
                        current.reason(),
                        current.history()));
    }

    private void beginMove(RouteRow row, String from, long revision, long now) {
        archiveMove(row.name());
        latest.put(row.name(), Move.begin(revision, row.name(), from, row.version(), now, completeBy(row, now)));
    }

    private void archiveMove(String route) {
        Move old = latest.remove(route);
        if (old != null) {
            ended.put(old.id(), old);
            if (ended.size() > MAXIMUM_ENDED_MOVES) {
                ended.remove(ended.keySet().iterator().next());
            }
        }
    }

    private static long completeBy(RouteRow row, long now) {
        return row.completeByMillis() > 0 ? row.completeByMillis() : now + DEFAULT_MOVE_MILLIS;
    }

    /**
     * Holds the content of the table for a snapshot.
     *
     * @param latest the latest move of each route.
     * @param ended the earlier moves, earliest first.
     */
    public record Image(List<Move> latest, List<Move> ended) {}
}
