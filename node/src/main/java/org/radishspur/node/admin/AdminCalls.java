package org.radishspur.node.admin;

import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.radishspur.model.codec.Json;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;
import org.radishspur.model.table.EditAnswer;
import org.radishspur.model.table.TableEdit;
import org.radishspur.node.control.NodeCore;
import org.radishspur.node.metrics.NodeMetrics;
import org.radishspur.node.peer.PeerMessage.ControlRequest;
import org.radishspur.node.peer.PeerMessage.ControlResult;
import org.radishspur.node.settings.NodeSettings;
import org.radishspur.replication.state.ControlAnswer;
import org.radishspur.replication.state.ControlCommand;

/**
 * Executes operators' calls and turns their results into HTTP answers.
 */
final class AdminCalls {
    private static final Pattern REPLACE = Pattern.compile("/v1/replicas/([a-z0-9._-]+)/replace");

    private static final Pattern EVACUATION = Pattern.compile("/v1/domains/([A-Za-z0-9._-]+)/evacuation");

    private final NodeSettings settings;
    private final NodeCore core;
    private final NodeMetrics metrics;
    private final BooleanSupplier readiness;
    private final ObjectMapper metricsMapper = new ObjectMapper()
            .registerModule(new MetricsModule(
                    java.util.concurrent.TimeUnit.SECONDS, java.util.concurrent.TimeUnit.MICROSECONDS, false));

    AdminCalls(NodeSettings settings, NodeCore core, NodeMetrics metrics, BooleanSupplier readiness) {
        this.settings = settings;
        this.core = core;
        this.metrics = metrics;
        this.readiness = readiness;
    }

    /** Returns whether a path needs no token, because load balancers and monitoring call it. */
    static boolean isPublicPath(String path) {
        return path.equals("/health") || path.equals("/ready") || path.equals("/metrics");
    }

    void handle(HttpMethod method, String path, String body, Reply reply) {
        Matcher replace = REPLACE.matcher(path);
        Matcher evacuation = EVACUATION.matcher(path);
        if (method.equals(HttpMethod.POST) && path.equals("/v1/edits")) {
            edit(body, reply);
        } else if (method.equals(HttpMethod.POST) && replace.matches()) {
            call(new ControlRequest.Replace(replace.group(1)), reply);
        } else if (method.equals(HttpMethod.POST) && evacuation.matches()) {
            commit(new ControlCommand.EvacuateDomain(evacuation.group(1), System.currentTimeMillis()), reply);
        } else if (method.equals(HttpMethod.DELETE) && evacuation.matches()) {
            commit(new ControlCommand.ReadmitDomain(evacuation.group(1), System.currentTimeMillis()), reply);
        } else if (method.equals(HttpMethod.GET)) {
            read(path, reply);
        } else {
            reply.send(unknownCall(path));
        }
    }

    private void read(String path, Reply reply) {
        switch (path) {
            case "/health", "/ready" -> reply.send(health());
            case "/metrics" -> reply.send(AdminAnswer.ok(metricsJson()));
            case "/v1/tables" -> reply.send(AdminAnswer.ok(core.tables()));
            case "/v1/pools" -> core.poolReport(report -> reply.send(AdminAnswer.ok(report)));
            case "/v1/status" -> call(new ControlRequest.Status(), reply);
            default -> reply.send(unknownCall(path));
        }
    }

    private JsonNode metricsJson() {
        return metricsMapper.valueToTree(metrics.registry());
    }

    private AdminAnswer health() {
        boolean ready = readiness.getAsBoolean();
        Map<String, Object> body = Map.of(
                "node",
                settings.node(),
                "ready",
                ready,
                "revision",
                core.tables().revision());
        return new AdminAnswer(ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, body);
    }

    private void edit(String body, Reply reply) {
        TableEdit edit;
        try {
            edit = Json.INSTANCE.read(body, TableEdit.class, ErrorCode.TABLE_INVALID);
        } catch (RadishspurException exception) {
            metrics.countError(exception.code());
            reply.send(AdminAnswer.failure(
                    HttpResponseStatus.BAD_REQUEST, exception.code().code(), exception.getMessage()));
            return;
        }
        if (edit.changeId() == null || edit.changeId().isBlank()) {
            reply.send(AdminAnswer.failure(
                    HttpResponseStatus.BAD_REQUEST, ErrorCode.TABLE_INVALID.code(), "changeId must not be empty"));
            return;
        }
        commit(new ControlCommand.ApplyEdit(edit, System.currentTimeMillis()), reply);
    }

    private void commit(ControlCommand command, Reply reply) {
        call(new ControlRequest.Commit(command), reply);
    }

    private void call(ControlRequest request, Reply reply) {
        core.call(request, settings.timeouts().controlCallMillis(), result -> reply.send(answerOf(result)));
    }

    private AdminAnswer answerOf(ControlResult result) {
        if (result instanceof ControlResult.Committed committed) {
            return committed.answer() instanceof ControlAnswer.EditResult edit
                    ? answerOf(edit.answer())
                    : AdminAnswer.ok(Map.of("answer", "accepted"));
        } else if (result instanceof ControlResult.Report report) {
            return AdminAnswer.ok(report.status());
        } else if (result instanceof ControlResult.Refused refused) {
            metrics.countError(ErrorCode.REPLICA_CHANGE_REFUSED);
            return AdminAnswer.failure(
                    HttpResponseStatus.CONFLICT, ErrorCode.REPLICA_CHANGE_REFUSED.code(), refused.problem());
        } else if (result instanceof ControlResult.Busy) {
            metrics.countError(ErrorCode.DISK_FULL);
            return AdminAnswer.failure(
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    ErrorCode.DISK_FULL.code(),
                    "the leader takes no edits now; nothing was changed");
        }
        metrics.countError(ErrorCode.CONTROL_UNREACHABLE);
        return AdminAnswer.failure(
                HttpResponseStatus.SERVICE_UNAVAILABLE,
                ErrorCode.CONTROL_UNREACHABLE.code(),
                "no control leader answered; the edit may or may not be accepted: send it again with its change id");
    }

    private AdminAnswer answerOf(EditAnswer answer) {
        if (answer instanceof EditAnswer.Conflict) {
            metrics.countError(ErrorCode.EDIT_CONFLICT);
            return new AdminAnswer(HttpResponseStatus.CONFLICT, answer);
        } else if (answer instanceof EditAnswer.Invalid) {
            metrics.countError(ErrorCode.TABLE_INVALID);
            return new AdminAnswer(HttpResponseStatus.UNPROCESSABLE_ENTITY, answer);
        }
        return AdminAnswer.ok(answer);
    }

    private static AdminAnswer unknownCall(String path) {
        return AdminAnswer.failure(
                HttpResponseStatus.NOT_FOUND, ErrorCode.CALL_INVALID.code(), "no such call: " + path);
    }

    /**
     * Sends the answer to one call.
     */
    interface Reply {
        /**
         * Sends the answer. May be called from any thread.
         *
         * @param answer the answer.
         */
        void send(AdminAnswer answer);
    }
}
