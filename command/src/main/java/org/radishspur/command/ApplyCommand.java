package org.radishspur.command;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.radishspur.model.codec.Json;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.table.RowChange;
import org.radishspur.model.table.TableEdit;
import org.radishspur.model.table.TableFault;
import org.radishspur.model.table.Tables;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Changes the tables of the cluster to match a table file.
 */
@Command(
        name = "apply",
        description = "Changes the tables of the cluster to match a table file.",
        mixinStandardHelpOptions = true)
final class ApplyCommand implements Callable<Integer> {
    private static final int CONFLICT = 409;
    private static final int INVALID = 422;
    private static final long POLL_MILLIS = 50;

    @CommandLine.Mixin
    private AdminClient client;

    @Parameters(paramLabel = "FILE", description = "The table file.")
    private Path file;

    @Option(names = "--dry-run", description = "Show the changes without making them.")
    private boolean dryRun;

    @Option(names = "--prune", description = "Delete the rows that the file doesn't contain.")
    private boolean prune;

    @Option(names = "--wait", description = "Wait until the edit is in force on every live node.")
    private boolean wait;

    @Option(
            names = "--wait-millis",
            defaultValue = "15000",
            description = "How long to wait, in milliseconds (default: ${DEFAULT-VALUE}).")
    private long waitMillis;

    @Option(names = "--change-id", description = "The id of the edit; repeat it to resend the edit.")
    private String changeId;

    @Option(names = "--json", description = "Print JSON.")
    private boolean json;

    /** {@inheritDoc} */
    @Override
    public Integer call() {
        Tables current = Json.INSTANCE.convert(client.get("/v1/tables").body(), Tables.class, ErrorCode.TABLE_INVALID);
        TableFile desired = TableFile.read(file);
        List<TableFault> faults = desired.faults(current, prune);
        if (!faults.isEmpty()) {
            faults.forEach(fault -> System.err.println(fault.path() + ": " + fault.problem()));
            return ExitCode.INVALID.code();
        }
        List<RowChange> changes = desired.changes(current, prune);
        if (!json) {
            changes.forEach(change -> System.out.println(describe(change)));
        }
        if (dryRun || changes.isEmpty()) {
            print("unchanged", current.revision(), List.of());
            return ExitCode.DONE.code();
        }
        return send(new TableEdit(changeId == null ? UUID.randomUUID().toString() : changeId, changes));
    }

    private int send(TableEdit edit) {
        AdminClient.Reply reply = client.post("/v1/edits", Json.INSTANCE.write(edit));
        if (reply.status() == CONFLICT) {
            System.err.println("conflict: " + reply.body());
            return ExitCode.CONFLICT.code();
        }
        if (reply.status() == INVALID || !reply.isSuccess()) {
            System.err.println("refused: " + reply.body());
            return reply.status() == INVALID ? ExitCode.INVALID.code() : ExitCode.FAILED.code();
        }
        long revision = reply.body().path("revision").asLong();
        if (!wait) {
            print("accepted", revision, List.of());
            return ExitCode.DONE.code();
        }
        return awaitInForce(revision);
    }

    private int awaitInForce(long revision) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        List<String> missing = nodesNotInForce(revision);
        while (!missing.isEmpty() && System.nanoTime() < deadlineNanos) {
            try {
                Thread.sleep(POLL_MILLIS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                break;
            }
            missing = nodesNotInForce(revision);
        }
        print(missing.isEmpty() ? "in force on all" : "accepted, not in force on", revision, missing);
        return missing.isEmpty() ? ExitCode.DONE.code() : ExitCode.NOT_IN_FORCE.code();
    }

    private List<String> nodesNotInForce(long revision) {
        List<String> missing = new ArrayList<>();
        for (JsonNode node : client.get("/v1/status").body().path("nodes")) {
            if (node.path("revisionInForce").asLong() < revision) {
                missing.add(node.path("node").asText());
            }
        }
        return missing;
    }

    private void print(String state, long revision, List<String> missing) {
        if (json) {
            System.out.println(Json.INSTANCE.write(new Result(state, revision, missing)));
        } else {
            System.out.println(state + " at revision " + revision + (missing.isEmpty() ? "" : ": " + missing));
        }
    }

    private static String describe(RowChange change) {
        String verb = change instanceof RowChange.DeletePool || change instanceof RowChange.DeleteRoute
                ? "delete"
                : change.expectedRevision() == 0 ? "create" : "change";
        boolean route = change instanceof RowChange.PutRoute || change instanceof RowChange.DeleteRoute;
        return verb + (route ? " route " : " pool ") + change.rowName();
    }

    /**
     * Holds the result of the command, which is printed as JSON.
     *
     * @param state the state that the edit has reached.
     * @param revision the revision of the tables, with the edit if one was made.
     * @param missing the nodes on which the edit is not in force yet.
     */
    record Result(String state, long revision, List<String> missing) {}
}
