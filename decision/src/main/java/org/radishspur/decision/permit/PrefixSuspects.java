package org.radishspur.decision.permit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.radishspur.decision.crash.Admission;
import org.radishspur.decision.crash.CrashGuard;
import org.radishspur.decision.crash.CrashLedger;
import org.radishspur.decision.crash.RequestSignatures;
import org.radishspur.model.request.PermitId;

/**
 * Keeps the beginnings of prompts that were in flight when upstreams of a pool crashed. Requests with a beginning that
 * crashes each upstream are refused although their contents differ.
 */
final class PrefixSuspects {
    /** The maximum number of blocks of a prompt that are counted. */
    private static final int MAX_BLOCKS = 32;

    private final CrashLedger ledger = new CrashLedger();
    private final CrashGuard guard;
    private final Map<PermitId, RequestSignatures> trials = new HashMap<>();
    private String pool = "";

    PrefixSuspects(String owner) {
        guard = new CrashGuard(ledger, owner.hashCode());
    }

    void setPool(String name) {
        pool = name;
    }

    /** Returns for how long a request is refused, in milliseconds; 0 if it may run. */
    long refusedForMillis(PermitRequest request, long nowMicros) {
        if (ledger.isEmpty()) {
            return 0;
        }
        Admission admission = guard.admit(signatures(request), millis(nowMicros));
        return admission.isRefused() ? Math.max(1, admission.retryAfterMillis()) : 0;
    }

    /** Lets a request run, as a trial if it has a suspected beginning. */
    void started(PermitRequest request, long nowMicros) {
        if (!ledger.isEmpty()) {
            RequestSignatures signatures = signatures(request);
            if (guard.admit(signatures, millis(nowMicros)).verdict() == Admission.Verdict.TRIAL) {
                trials.put(request.id(), signatures);
                guard.beginTrial(signatures, millis(nowMicros));
            }
        }
    }

    void ended(PermitId id) {
        RequestSignatures trial = trials.remove(id);
        if (trial != null) {
            guard.endTrial(trial);
        }
    }

    void recordCrash(PermitRequest request, String crash, long nowMicros) {
        guard.recordCrash(signatures(request), pool, crash.hashCode(), millis(nowMicros));
    }

    void recordAnswer(PermitRequest request, long nowMicros) {
        RequestSignatures signatures = signatures(request);
        guard.recordAnswer(signatures.parts(), pool, millis(nowMicros));
        guard.clear(signatures);
    }

    /** Returns the signatures of a request; {@link CrashSuspects} counts its content, so its id stands for that here. */
    private static RequestSignatures signatures(PermitRequest request) {
        List<Long> blocks = request.size().blockDigests();
        return new RequestSignatures(
                RequestSignatures.ofPart(request.id().text()), blocks.subList(0, Math.min(MAX_BLOCKS, blocks.size())));
    }

    private static long millis(long micros) {
        return TimeUnit.MICROSECONDS.toMillis(micros);
    }
}
