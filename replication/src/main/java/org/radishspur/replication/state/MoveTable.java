package org.radishspur.replication.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.radishspur.decision.move.Move;
import org.radishspur.decision.move.MoveDriver;
import org.radishspur.decision.move.MoveState;
import org.radishspur.decision.move.TakeBackReason;
import org.radishspur.decision.move.VersionSplit;
import org.radishspur.model.table.Revisioned;
import org.radishspur.model.table.RouteRow;
import org.radishspur.model.table.Tables;

/**
 * Holds the latest move of each route, and the moves before it. An edit that gives a route another version begins a
 * move; from then on only proposals that fit where the move stands change it.
 */
public final class MoveTable {
    private static final int MAXIMUM_ENDED_MOVES = 1_000;
    private static final long DEFAULT_MOVE_MILLIS = 30L * 60 * 1000;

    private final Map<String, Move> latest = new TreeMap<>();
    private final LinkedHashMap<Long, Move> ended = new LinkedHashMap<>();

    /**
     * Creates a table without moves.
     */
    public MoveTable() {}

    MoveTable(Image image) {
        image.latest().forEach(move -> latest.put(move.route(), move));
        image.ended().forEach(move -> ended.put(move.id(), move));
    }

    /**
     * Begins, ends or leaves alone moves as an accepted edit asks for.
     *
     * @param before the tables before the edit.
     * @param after the tables after it.
     * @param now the proposer's wall clock.
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
     * Changes a move if it still stands where the proposal says; a taken back move never changes again.
     *
     * @param proposal the change.
     * @param now the proposer's wall clock.
     */
    public void change(MoveDriver.Proposal proposal, long now) {
        Move present = latest.get(proposal.route());
        if (present == null
                || present.id() != proposal.moveId()
                || present.state().isFinal()) {
            return;
        }
        boolean fits = present.state() == proposal.seenState() && present.stage() == proposal.seenStage();
        if (fits || proposal.state() == MoveState.TAKEN_BACK) {
            latest.put(present.route(), present.with(proposal.state(), proposal.stage(), proposal.reason(), now));
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
     * Returns the moves that were followed by another one of the same route.
     *
     * @return the moves, the earliest first.
     */
    public List<Move> ended() {
        return List.copyOf(ended.values());
    }

    /**
     * Says which versions serve each route.
     *
     * @param tables the tables in force.
     * @param moves the latest move of each route.
     * @return the splits by route; a route without a version is left out.
     */
    public static Map<String, VersionSplit> splits(Tables tables, Map<String, Move> moves) {
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
        Move present = latest.get(row.name());
        String inUse = present == null ? old.version() : present.settledVersion();
        boolean sameWish = row.version().equals(old.version()) && row.completeByMillis() == old.completeByMillis();
        if (sameWish) {
            return;
        }
        if (present != null && !present.state().isFinal()) {
            if (row.version().equals(present.to())) {
                changeCompletionTime(present, row, now);
                return;
            }
            boolean back = row.version().equals(present.from());
            TakeBackReason reason = back ? TakeBackReason.BY_OPERATOR : TakeBackReason.SUPERSEDED;
            latest.put(row.name(), present.with(MoveState.TAKEN_BACK, present.stage(), reason, now));
            if (back) {
                return;
            }
            inUse = present.from();
        }
        if (!row.version().isEmpty() && !inUse.isEmpty() && !row.version().equals(inUse)) {
            beginMove(row, inUse, revision, now);
        } else {
            archiveMove(row.name());
        }
    }

    /** Hastens or delays a move that is under way. */
    private void changeCompletionTime(Move present, RouteRow row, long now) {
        latest.put(
                row.name(),
                new Move(
                        present.id(),
                        present.route(),
                        present.from(),
                        present.to(),
                        present.startedAt(),
                        completeBy(row, now),
                        present.state(),
                        present.stage(),
                        present.stageSince(),
                        present.reason(),
                        present.history()));
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
     * @param ended the moves before them, the earliest first.
     */
    public record Image(List<Move> latest, List<Move> ended) {}
}
