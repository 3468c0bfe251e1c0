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
 * Applies edits to the tables and stores the answers, so that an edit that is sent again gets its original answer.
 */
public final class TablesState {
    /** The number of answers to keep, which covers two days at the required rate of 29,000 changes a day. */
    static final int MAXIMUM_STORED_ANSWERS = 60_000;

    /** The minimum time in which a route can move to another version, as that version is evaluated first. */
    private static final long MINIMUM_MOVE_MILLIS = 60_000;

    /** The number of revisions whose changes are kept for deltas. */
    private static final int MAXIMUM_STORED_REVISIONS = 2_000;

    private Tables tables = Tables.EMPTY;
    private final LinkedHashMap<String, AnsweredEdit> answers = new LinkedHashMap<>();
    private final Deque<ChangedRows> history = new ArrayDeque<>();

    /**
     * Creates a state with empty tables.
     */
    public TablesState() {}

    TablesState(Image image) {
        tables = image.tables();
        image.answers().forEach(answer -> answers.put(answer.changeId(), answer));
        history.addAll(image.history());
    }

    /**
     * Applies an edit, or returns the stored answer where the edit was answered before.
     *
     * @param edit the edit.
     * @param now the proposer's wall clock, in milliseconds since the epoch.
     * @return the answer, which is the same each time that the edit is sent.
     */
    public EditAnswer apply(TableEdit edit, long now) {
        int digest = Json.INSTANCE.write(edit).hashCode();
        AnsweredEdit stored = answers.get(edit.changeId());
        if (stored != null) {
            return stored.digest() == digest
                    ? stored.answer()
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
     * Returns the current tables.
     *
     * @return the tables.
     */
    public Tables tables() {
        return tables;
    }

    /**
     * Returns the delta that brings a copy of the tables up to date.
     *
     * @param revision the revision of the copy.
     * @return the changes since that revision, or the complete tables where some of these changes aren't stored any
     *     more.
     */
    public TablesDelta deltaSince(long revision) {
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
     * Returns a copy of the state for a snapshot.
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

    /** Finds routes whose completion time leaves too little time to evaluate the version that they move to. */
    private List<TableFault> tooEarlyCompletionTimes(TableEdit edit, long now) {
        List<TableFault> faults = new ArrayList<>();
        for (RowChange change : edit.changes()) {
            if (change instanceof RowChange.PutRoute put) {
                Revisioned<RouteRow> old = tables.routes().get(put.row().name());
                boolean versionOrTimeChanged = old != null
                        && (!old.row().version().equals(put.row().version())
                                || old.row().completeByMillis() != put.row().completeByMillis());
                long completionTime = put.row().completeByMillis();
                if (versionOrTimeChanged && completionTime > 0 && completionTime < now + MINIMUM_MOVE_MILLIS) {
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
     * Holds the answer to one edit.
     *
     * @param changeId the identity of the edit.
     * @param digest a digest of the edit; an edit with the same identity and another digest is rejected.
     * @param answer the answer.
     */
    public record AnsweredEdit(String changeId, int digest, EditAnswer answer) {}

    /**
     * Lists the rows that one revision changed.
     *
     * @param revision the revision.
     * @param routes the names of the changed or deleted routes.
     * @param pools the names of the changed or deleted pools.
     */
    public record ChangedRows(long revision, Set<String> routes, Set<String> pools) {}

    /**
     * Holds a copy of the state for a snapshot.
     *
     * @param tables the tables.
     * @param answers the stored answers, oldest first.
     * @param history the stored changes, oldest first.
     */
    public record Image(Tables tables, List<AnsweredEdit> answers, List<ChangedRows> history) {}

    /**
     * Returns the stored answers to edits.
     *
     * @return the answers by the identity of the edit, oldest first.
     */
    public Map<String, EditAnswer> storedAnswers() {
        Map<String, EditAnswer> copy = new LinkedHashMap<>();
        answers.forEach((changeId, answer) -> copy.put(changeId, answer.answer()));
        return copy;
    }
}
