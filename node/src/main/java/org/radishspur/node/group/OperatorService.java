package org.radishspur.node.group;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;

import org.radishspur.model.catalogue.Catalogue;
import org.radishspur.model.error.RadishspurException;
import org.radishspur.model.table.TableFault;
import org.radishspur.node.control.ControlLoop;
import org.radishspur.node.control.ReplicaRunner;
import org.radishspur.node.dialect.OperatorDialect;
import org.radishspur.node.dialect.OperatorDialect.Call;
import org.radishspur.node.log.EventCode;
import org.radishspur.node.log.EventLog;
import org.radishspur.node.settings.HostPort;
import org.radishspur.replication.control.ProposalOutcome;
import org.radishspur.replication.state.CatalogueState;
import org.radishspur.replication.state.ControlCommand;

/**
 * Answers operators' calls at the leader; the other replicas redirect them to the leader.
 */
final class OperatorService {
    /**
     * The maximum size of a catalogue in memory, in bytes; a sixteenth of the memory of a control host, which keeps and
     * copies it several times. It is enough for about sixteen thousand routes.
     */
    static final int MAX_DOCUMENT_BYTES = 4 << 20;

    /** The last character that takes one byte in memory; one beyond it makes each character of a text take two. */
    private static final char LAST_NARROW = 0xFF;

    private static final int OK = 200;
    private static final int TEMPORARY_REDIRECT = 307;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int TOO_LARGE = 413;
    private static final int UNAVAILABLE = 503;

    private final ControlLoop loop;
    private final ReplicaRunner replica;
    private final ViewService viewService;
    private final OperatorDialect dialect;
    private final int operatorPort;
    private final EventLog events;
    private final ControlMetrics metrics;
    private final Executor checker = Executors.newSingleThreadExecutor(action -> {
        Thread thread = new Thread(action, "catalogue-check");
        thread.setDaemon(true);
        return thread;
    });

    OperatorService(
            ControlLoop loop,
            ReplicaRunner replica,
            ViewService viewService,
            OperatorDialect dialect,
            int operatorPort,
            EventLog events,
            ControlMetrics metrics) {
        this.metrics = metrics;
        this.loop = loop;
        this.replica = replica;
        this.viewService = viewService;
        this.dialect = dialect;
        this.operatorPort = operatorPort;
        this.events = events;
    }

    /**
     * Handles a call; may be used from any thread.
     *
     * @param method the HTTP method.
     * @param target the path and query.
     * @param body the body.
     * @param listener receives the answer, on the control thread.
     */
    void handle(String method, String target, String body, AnswerListener listener) {
        loop.execute(() -> {
            long startedAt = loop.nowMillis();
            String path = target.contains("?") ? target.substring(0, target.indexOf('?')) : target;
            AnswerListener loggingListener = answer -> {
                long revision = replica.state().catalogue().document().revision();
                long millis = loop.nowMillis() - startedAt;
                events.emit(EventCode.OPERATOR, method + ' ' + path, answer.status(), revision, millis);
                metrics.recordOperatorCall(answer.status(), revision, millis);
                listener.onAnswer(answer);
            };
            if (!replica.isLeader()) {
                loggingListener.onAnswer(redirectToLeader(target));
                return;
            }
            answer(dialect.decodeCall(method, path, body), target, loggingListener);
        });
    }

    private void answer(Call call, String target, AnswerListener listener) {
        if (call instanceof Call.PublishCatalogue publish) {
            publish(publish.text(), target, listener);
        } else if (call instanceof Call.ReadCatalogue) {
            read(
                    listener,
                    state -> state.document().revision() == 0
                            ? Answer.of(UNAVAILABLE, "")
                            : Answer.of(OK, state.document().text()));
        } else if (call instanceof Call.StartRollout start) {
            propose(
                    new ControlCommand.StartRollout(
                            start.pool(), start.target(), start.periodMillis(), System.currentTimeMillis()),
                    target,
                    listener);
        } else if (call instanceof Call.ReadRollout rollout) {
            read(
                    listener,
                    state -> state.rollout(rollout.pool())
                            .map(found -> Answer.of(OK, dialect.encode(found)))
                            .orElse(Answer.of(NOT_FOUND, "")));
        } else if (call instanceof Call.Evacuate evacuate) {
            propose(
                    new ControlCommand.EvacuateDomain(evacuate.failureDomain(), System.currentTimeMillis()),
                    target,
                    listener);
        } else if (call instanceof Call.Readmit readmit) {
            propose(
                    new ControlCommand.ReadmitDomain(readmit.failureDomain(), System.currentTimeMillis()),
                    target,
                    listener);
        } else if (call instanceof Call.Malformed malformed) {
            listener.onAnswer(Answer.of(BAD_REQUEST, dialect.encode(malformed.faults())));
        } else {
            listener.onAnswer(Answer.of(NOT_FOUND, ""));
        }
    }

    /**
     * Checks a catalogue on a thread of its own, as that takes longer than an election timeout for a large one, and
     * proposes it if it is valid.
     */
    private void publish(String text, String target, AnswerListener listener) {
        checker.execute(() -> {
            Check check = check(text);
            loop.execute(() -> {
                if (check.refusal().isPresent()) {
                    listener.onAnswer(check.refusal().get());
                } else {
                    CatalogueState.Document document = new CatalogueState.Document(check.revision(), text);
                    propose(
                            new ControlCommand.PublishCatalogue(document, System.currentTimeMillis()),
                            target,
                            listener);
                }
            });
        });
    }

    private Check check(String text) {
        long bytes = bytesInMemory(text);
        if (bytes > MAX_DOCUMENT_BYTES) {
            String problem = "takes " + bytes + " bytes, at most " + MAX_DOCUMENT_BYTES + " are accepted";
            return refusal(TOO_LARGE, List.of(new TableFault("", problem)));
        }
        try {
            Catalogue catalogue = dialect.decodeCatalogue(text);
            return catalogue.faults().isEmpty()
                    ? new Check(Optional.empty(), catalogue.revision())
                    : refusal(BAD_REQUEST, catalogue.faults());
        } catch (RadishspurException exception) {
            return refusal(BAD_REQUEST, List.of(new TableFault("", exception.getMessage())));
        }
    }

    private Check refusal(int status, List<TableFault> faults) {
        return new Check(Optional.of(Answer.of(status, dialect.encode(faults))), 0);
    }

    private static long bytesInMemory(String text) {
        boolean narrow = text.chars().allMatch(character -> character <= LAST_NARROW);
        return narrow ? text.length() : 2L * text.length();
    }

    private void propose(ControlCommand command, String target, AnswerListener listener) {
        replica.propose(command, outcome -> {
            if (outcome instanceof ProposalOutcome.Committed) {
                listener.onAnswer(Answer.of(OK, "{}"));
            } else if (outcome instanceof ProposalOutcome.NotLeader) {
                listener.onAnswer(redirectToLeader(target));
            } else {
                listener.onAnswer(Answer.of(UNAVAILABLE, ""));
            }
        });
    }

    private void read(AnswerListener listener, StateReader reader) {
        viewService.read(new ViewService.ReadListener() {
            @Override
            public void onConfirmed(CatalogueState state) {
                listener.onAnswer(reader.read(state));
            }

            @Override
            public void onUnconfirmed() {
                listener.onAnswer(Answer.of(UNAVAILABLE, ""));
            }
        });
    }

    private Answer redirectToLeader(String target) {
        String leader = replica.leaderNode();
        if (leader.isEmpty() || replica.isLeader()) {
            return Answer.of(UNAVAILABLE, "");
        }
        String location = "http://" + new HostPort(HostPort.parse(leader).host(), operatorPort) + target;
        return new Answer(TEMPORARY_REDIRECT, "", Optional.of(location));
    }

    /**
     * The result of the check of a catalogue.
     *
     * @param refusal the answer if the catalogue is refused.
     * @param revision its revision otherwise.
     */
    private record Check(Optional<Answer> refusal, long revision) {}

    /**
     * Builds an answer from the current state.
     */
    private interface StateReader {
        Answer read(CatalogueState state);
    }

    /**
     * Receives the answer to a call.
     */
    interface AnswerListener {
        /**
         * Receives the answer, on the control thread.
         *
         * @param answer the answer.
         */
        void onAnswer(Answer answer);
    }

    /**
     * The answer to a call.
     *
     * @param status the HTTP status.
     * @param body the body.
     * @param location the address of the leader that answers the call instead, or nothing.
     */
    record Answer(int status, String body, Optional<String> location) {
        static Answer of(int status, String body) {
            return new Answer(status, body, Optional.empty());
        }
    }
}
