package org.radishspur.replication.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.radishspur.model.codec.Json;
import org.radishspur.model.table.EditAnswer;
import org.radishspur.model.table.Revisioned;
import org.radishspur.model.table.RouteRow;
import org.radishspur.model.table.RowChange;
import org.radishspur.model.table.TableEdit;
import org.radishspur.model.table.TableFault;
import org.radishspur.model.table.Tables;
import org.radishspur.model.table.TablesValidator;

/**
 * Applies edits to the tables and remembers the answers, so that a resent edit gets its first answer again.
 */
public final class TablesState {
    /** How many answers are remembered; the users' target makes 29,000 changes a day. */
    static final int MAXIMUM_STORED_ANSWERS = 60_000;

    private static final long MINIMUM_MOVE_MILLIS = 60_000;
    private static final int MAXIMUM_STORED_REVISIONS = 2_000;

    private Tables tables = Tables.EMPTY;
    private final LinkedHashMap<String, AnsweredEdit> answers = new LinkedHashMap<>();
    private final Deque<ChangedRows> history = new ArrayDeque<>();

    /**
     * Creates empty tables.
     */
    public TablesState() {}

    TablesState(Image image) {
        tables = image.tables();
        image.answers().forEach(answer -> answers.put(answer.changeId(), answer));
        history.addAll(image.history());
    }

    /**
     * Applies an edit, unless it was answered before.
     *
     * @param edit the edit.
     * @param now the proposer's wall clock, in milliseconds since the epoch.
     * @return the answer, the same for every resend.
     */
    public EditAnswer apply(TableEdit edit, long now) {
        int digest = Json.INSTANCE.write(edit).hashCode();
        AnsweredEdit remembered = answers.get(edit.changeId());
        if (remembered != null) {
            return remembered.digest() == digest
                    ? remembered.answer()
                    : new EditAnswer.Invalid(
                            List.of(new TableFault("changeId", "was used for another edit: " + edit.changeId())));
        }
        EditAnswer answer = validateAndApply(edit, now);
        answers.put(edit.changeId(), new AnsweredEdit(edit.changeId(), digest, answer));
        if (answers.size() > MAXIMUM_STORED_ANSWERS) {
            answers.remove(answers.keySet().iterator().next());
        }
        return answer;
    }

    /**
     * Returns the tables as they stand.
     *
     * @return the tables.
     */
    public Tables tables() {
        return tables;
    }

    /**
     * Makes what a copy needs to catch up.
     *
     * @param revision the revision of the copy.
     * @return the changes since then, or the whole tables where they are not remembered that far back.
     */
    public TablesDelta since(long revision) {
        boolean covered = !history.isEmpty() && history.peekFirst().revision() <= revision + 1;
        if (revision <= 0 || revision > tables.revision() || !covered) {
            return TablesDelta.ofAll(tables);
        }
        Set<String> routes = new TreeSet<>();
        Set<String> pools = new TreeSet<>();
        for (ChangedRows change : history) {
            if (change.revision() > revision) {
                routes.addAll(change.routes());
                pools.addAll(change.pools());
            }
        }
        return deltaOf(revision, routes, pools);
    }

    /**
     * Copies the state for a snapshot.
     *
     * @return the copy.
     */
    Image image() {
        return new Image(tables, new ArrayList<>(answers.values()), new ArrayList<>(history));
    }

    private TablesDelta deltaOf(long revision, Set<String> routes, Set<String> pools) {
        Set<String> removedRoutes = new TreeSet<>(routes);
        removedRoutes.removeAll(tables.routes().keySet());
        Set<String> removedPools = new TreeSet<>(pools);
        removedPools.removeAll(tables.pools().keySet());
        return new TablesDelta(
                revision,
                tables.revision(),
                routes.stream()
                        .filter(tables.routes()::containsKey)
                        .map(tables.routes()::get)
                        .toList(),
                pools.stream()
                        .filter(tables.pools()::containsKey)
                        .map(tables.pools()::get)
                        .toList(),
                removedRoutes,
                removedPools);
    }

    private EditAnswer validateAndApply(TableEdit edit, long now) {
        Tables changed = tables;
        long revision = tables.revision() + 1;
        if (edit.changes().isEmpty()) {
            return new EditAnswer.Invalid(List.of(new TableFault("changes", "must not be empty")));
        }
        for (RowChange change : edit.changes()) {
            if (change.currentRevision(tables) != change.expectedRevision()) {
                return conflict(change);
            }
            changed = change.applyTo(changed, revision);
        }
        List<TableFault> faults = new ArrayList<>(TablesValidator.INSTANCE.validate(changed));
        faults.addAll(tooEarlyCompletionTimes(edit, now));
        if (!faults.isEmpty()) {
            return new EditAnswer.Invalid(faults);
        }
        tables = new Tables(revision, changed.routes(), changed.pools());
        recordChangedRows(revision, edit);
        return new EditAnswer.Accepted(revision);
    }

    /** Finds routes that are to be on another version by a time that leaves no room for a look at that version. */
    private List<TableFault> tooEarlyCompletionTimes(TableEdit edit, long now) {
        List<TableFault> faults = new ArrayList<>();
        for (RowChange change : edit.changes()) {
            if (change instanceof RowChange.PutRoute put) {
                Revisioned<RouteRow> old = tables.routes().get(put.row().name());
                boolean moves = old != null
                        && (!old.row().version().equals(put.row().version())
                                || old.row().completeByMillis() != put.row().completeByMillis());
                long by = put.row().completeByMillis();
                if (moves && by > 0 && by < now + MINIMUM_MOVE_MILLIS) {
                    faults.add(new TableFault(
                            "routes." + put.row().name() + ".completeByMillis",
                            "must be at least " + MINIMUM_MOVE_MILLIS + " ms from now"));
                }
            }
        }
        return faults;
    }

    private EditAnswer conflict(RowChange change) {
        boolean route = isRoute(change);
        Object row =
                route ? tables.routes().get(change.rowName()) : tables.pools().get(change.rowName());
        return new EditAnswer.Conflict(
                change.rowName(),
                change.expectedRevision(),
                change.currentRevision(tables),
                row == null ? "" : Json.INSTANCE.write(row));
    }

    private void recordChangedRows(long revision, TableEdit edit) {
        Set<String> routes = new TreeSet<>();
        Set<String> pools = new TreeSet<>();
        for (RowChange change : edit.changes()) {
            (isRoute(change) ? routes : pools).add(change.rowName());
        }
        history.addLast(new ChangedRows(revision, routes, pools));
        if (history.size() > MAXIMUM_STORED_REVISIONS) {
            history.removeFirst();
        }
    }

    private static boolean isRoute(RowChange change) {
        return change instanceof RowChange.PutRoute || change instanceof RowChange.DeleteRoute;
    }

    /**
     * Remembers the answer to one edit.
     *
     * @param changeId the identity of the edit.
     * @param digest a digest of the edit, which a resend must share.
     * @param answer the answer.
     */
    public record AnsweredEdit(String changeId, int digest, EditAnswer answer) {}

    /**
     * Remembers which rows one revision changed.
     *
     * @param revision the revision.
     * @param routes the names of the routes.
     * @param pools the names of the pools.
     */
    public record ChangedRows(long revision, Set<String> routes, Set<String> pools) {}

    /**
     * Holds the state for a snapshot.
     *
     * @param tables the tables.
     * @param answers the remembered answers, the oldest first.
     * @param history the remembered changes, the oldest first.
     */
    public record Image(Tables tables, List<AnsweredEdit> answers, List<ChangedRows> history) {}

    /**
     * Returns the answers that are remembered, by change.
     *
     * @return the number of remembered answers.
     */
    public Map<String, EditAnswer> rememberedAnswers() {
        Map<String, EditAnswer> copy = new LinkedHashMap<>();
        answers.forEach((changeId, answer) -> copy.put(changeId, answer.answer()));
        return copy;
    }
}
