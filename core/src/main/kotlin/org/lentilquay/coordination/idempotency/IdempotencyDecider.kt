/*
 * Decides on non-repeatable calls, which run at most once. One instance serves all attempts of one VM. Three rules
 * guarantee at most one run:
 * - Only the attempt whose nonce is in the record dispatches the call.
 * - A started record is replaced only after its writer has reported that the attempt did not run.
 * - The writer never dispatches the attempt after it has reported that.
 * All writes are conditional on versions, so stale reads and late writes only cost time.
 *
 * Expected failures are [IdempotencyDecision.Refuse], whose kind says whether the call ran. Single-threaded use.
 */
package org.lentilquay.coordination.idempotency

import kotlinx.serialization.json.Json
import org.lentilquay.coordination.WriteResult
import org.lentilquay.protocol.RecordedCallState
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.IdempotencyRecord
import org.lentilquay.state.IdempotencyState
import org.lentilquay.state.Incarnation
import org.lentilquay.state.StoredAnswer
import org.lentilquay.state.VmId

/** How long a duplicate call waits for the result of the first one. */
const val DUPLICATE_WAIT_MILLIS: Long = 10_000

/** The interval at which a waiting duplicate reads the record again. */
const val DUPLICATE_POLL_MILLIS: Long = 200

/** How long the record of an ended call is kept. A started record never expires, because its call may have run. */
const val RECORD_EXPIRY_MILLIS: Long = 24 * 60 * 60 * 1_000L

/** The reads without a record after which a cleanup ends: an abandoned write can still take effect for a while. */
const val CLEANUP_READS: Int = 10

private const val RETRY_ADVICE_MILLIS = 1_000L

class IdempotencyDecider(
    private val own: VmId,
    private val incarnation: Incarnation,
    maximumEnded: Int = MAXIMUM_ENDED_CALLS,
    private val newNonce: () -> String,
) {
    private class Cleanup(val key: CallKey, var readsLeft: Int = CLEANUP_READS)

    private val calls = CallRegistry(maximumEnded)
    private val completions = LinkedHashMap<String, List<TableOperation>>()
    private val cleanups = LinkedHashMap<String, Cleanup>()

    /**
     * The first step of an attempt, or the next one after [IdempotencyDecision.ReadAgain]; [waitedMillis] is its age.
     */
    fun begin(key: CallKey, fingerprint: String, found: RecordLookup, waitedMillis: Long): IdempotencyDecision =
        when (found) {
            RecordLookup.Absent -> record(key, fingerprint, version = 0)
            RecordLookup.Unavailable -> refuseUnavailable()
            is RecordLookup.Found -> beginFound(key, fingerprint, found, waitedMillis)
        }

    /** The next step after the VM of [found] answered with [state]; null if it could not be reached. */
    fun peerAnswered(
        key: CallKey,
        fingerprint: String,
        found: RecordLookup.Found,
        state: RecordedCallState?,
        waitedMillis: Long,
    ): IdempotencyDecision = when (state) {
        RecordedCallState.NEVER_DISPATCHED -> record(key, fingerprint, found.version)
        RecordedCallState.RUNNING, RecordedCallState.FINISHED -> waitOrRefuse(waitedMillis)
        RecordedCallState.UNKNOWN, null -> refuseUnknown()
    }

    /** The next step after the transaction of [IdempotencyDecision.Write] ended with [result]. */
    fun written(nonce: String, result: WriteResult): IdempotencyDecision {
        val call = calls[nonce]
        return when {
            call?.phase != CallPhase.RECORDING -> refuseUnavailable()
            result == WriteResult.COMMITTED -> dispatch(nonce, call, call.version + 1)
            result == WriteResult.UNKNOWN -> IdempotencyDecision.ReadBack(nonce)
            result == WriteResult.CONFLICT -> {
                // The transport may have sent the transaction twice, so the record may still be that of this attempt.
                abandon(nonce, call)
                IdempotencyDecision.ReadAgain(0)
            }
            else -> {
                calls[nonce] = call.copy(phase = CallPhase.NOT_RUN)
                refuseUnavailable()
            }
        }
    }

    /** The next step after [IdempotencyDecision.ReadBack]. */
    fun readBack(nonce: String, found: RecordLookup, waitedMillis: Long): IdempotencyDecision {
        val call = calls[nonce]
        if (call?.phase != CallPhase.RECORDING) return refuseUnavailable()
        if (found is RecordLookup.Found && found.record.nonce == nonce) return dispatch(nonce, call, found.version)
        // The write can still take effect, or the read was stale, so this attempt must never dispatch.
        abandon(nonce, call)
        return when (found) {
            is RecordLookup.Found -> beginFound(call.key, call.fingerprint, found, waitedMillis)
            else -> refuseUnavailable()
        }
    }

    /** Abandons the attempt [nonce] before its dispatch, for example because its caller has disconnected. */
    fun cancelled(nonce: String) {
        calls[nonce]?.takeIf { it.phase == CallPhase.RECORDING }?.let { abandon(nonce, it) }
    }

    /** Records the [answer] of the service. The completion stays in [pendingCompletions] until it is written. */
    fun finished(nonce: String, answer: StoredAnswer, epochMillis: Long) =
        end(nonce, CallPhase.FINISHED, IdempotencyState.FINISHED, answer, epochMillis)

    /** Records that the service refused the call without running it; the same key may be used again. */
    fun refusedByService(nonce: String, epochMillis: Long) =
        end(nonce, CallPhase.NOT_RUN, IdempotencyState.ABANDONED, null, epochMillis)

    /** Handles a connection lost after the dispatch. The record stays started, because the call may have run. */
    fun connectionLost(nonce: String): IdempotencyDecision {
        calls[nonce]?.takeIf { it.phase == CallPhase.RUNNING }?.let {
            calls[nonce] = it.copy(phase = CallPhase.OUTCOME_UNKNOWN)
        }
        return refuseUnknown()
    }

    /** The transactions, by nonce, that mark records as ended. The caller repeats each until it is written. */
    fun pendingCompletions(): Map<String, List<TableOperation>> = completions.toMap()

    /**
     * Handles the [result] of a completion. A conflict means that an earlier try took effect or another VM took over.
     */
    fun completionWritten(nonce: String, result: WriteResult) {
        if (result == WriteResult.COMMITTED || result == WriteResult.CONFLICT) completions.remove(nonce)
    }

    /** The keys, by nonce, of records that this VM may have written without dispatching the call. */
    fun pendingCleanups(): Map<String, CallKey> = cleanups.mapValues { it.value.key }

    /**
     * The next step for the record of the abandoned attempt [nonce] after a read. After a write the caller reads again.
     */
    fun cleanup(nonce: String, found: RecordLookup, epochMillis: Long): CleanupStep {
        val open = cleanups[nonce] ?: return CleanupStep.Done
        if (found is RecordLookup.Unavailable) return CleanupStep.Later
        if (found is RecordLookup.Absent && --open.readsLeft > 0) return CleanupStep.Later
        if (found is RecordLookup.Found && found.record.nonce == nonce &&
            found.record.state == IdempotencyState.STARTED
        ) {
            val closed = found.record.copy(state = IdempotencyState.ABANDONED, endedAtEpochMillis = epochMillis)
            return CleanupStep.Write(listOf(put(open.key, closed, found.version)))
        }
        cleanups.remove(nonce)
        return CleanupStep.Done
    }

    /** The answer to `IdempotencyStatus`. After NEVER_DISPATCHED, this VM never dispatches the attempt. */
    fun status(nonce: String): RecordedCallState = when (calls[nonce]?.phase) {
        CallPhase.RECORDING, CallPhase.RUNNING -> RecordedCallState.RUNNING
        CallPhase.FINISHED -> RecordedCallState.FINISHED
        CallPhase.NOT_RUN -> RecordedCallState.NEVER_DISPATCHED
        CallPhase.OUTCOME_UNKNOWN, null -> RecordedCallState.UNKNOWN
    }

    private fun beginFound(
        key: CallKey,
        fingerprint: String,
        found: RecordLookup.Found,
        waitedMillis: Long,
    ): IdempotencyDecision {
        val record = found.record
        val answer = record.answer
        return when {
            record.state == IdempotencyState.ABANDONED -> record(key, fingerprint, found.version)
            record.fingerprint != fingerprint -> refuse(
                ErrorKind.IDEMPOTENCY_KEY_REUSED,
                "the Idempotency-Key was used before with another body",
            )
            record.state == IdempotencyState.FINISHED && answer != null -> IdempotencyDecision.Replay(answer)
            record.vm == own ->
                peerAnswered(key, fingerprint, found, status(record.nonce), waitedMillis)
            waitedMillis >= DUPLICATE_WAIT_MILLIS -> refuseUnknown()
            else -> IdempotencyDecision.AskVm(record.vm, record.nonce, found)
        }
    }

    private fun record(key: CallKey, fingerprint: String, version: Long): IdempotencyDecision {
        val nonce = newNonce()
        calls[nonce] = Call(key, fingerprint, CallPhase.RECORDING, version)
        val record = IdempotencyRecord(IdempotencyState.STARTED, fingerprint, own, incarnation, nonce)
        return IdempotencyDecision.Write(nonce, listOf(put(key, record, version)))
    }

    private fun dispatch(nonce: String, call: Call, version: Long): IdempotencyDecision {
        calls[nonce] = call.copy(phase = CallPhase.RUNNING, version = version)
        return IdempotencyDecision.Dispatch(nonce)
    }

    private fun abandon(nonce: String, call: Call) {
        calls[nonce] = call.copy(phase = CallPhase.NOT_RUN)
        cleanups[nonce] = Cleanup(call.key)
    }

    private fun end(
        nonce: String,
        phase: CallPhase,
        state: IdempotencyState,
        answer: StoredAnswer?,
        epochMillis: Long,
    ) {
        val call = calls[nonce]?.takeIf { it.phase == CallPhase.RUNNING } ?: return
        calls[nonce] = call.copy(phase = phase)
        val record = IdempotencyRecord(state, call.fingerprint, own, incarnation, nonce, answer, epochMillis)
        completions[nonce] = listOf(put(call.key, record, call.version))
    }

    private fun put(key: CallKey, record: IdempotencyRecord, version: Long): TableOperation =
        TableOperation.Put(key.tableKey, Json.encodeToString(record), version)

    private fun waitOrRefuse(waitedMillis: Long): IdempotencyDecision =
        if (waitedMillis < DUPLICATE_WAIT_MILLIS) {
            IdempotencyDecision.ReadAgain(DUPLICATE_POLL_MILLIS)
        } else {
            refuseUnknown()
        }

    private fun refuseUnknown() = refuse(
        ErrorKind.OUTCOME_UNKNOWN,
        "an earlier call with this Idempotency-Key may have run, and its result is not known",
    )

    private fun refuseUnavailable() = refuse(
        ErrorKind.PLATFORM_UNAVAILABLE,
        "the call was not recorded, so it was not sent to the service",
    )

    private fun refuse(kind: ErrorKind, message: String) =
        IdempotencyDecision.Refuse(Failure(kind, message, RETRY_ADVICE_MILLIS))
}

/** The operations that delete an ended record that has expired, or null. A started record is never deleted. */
fun expiryOperations(key: CallKey, found: RecordLookup.Found, epochMillis: Long): List<TableOperation>? {
    val endedAt = found.record.endedAtEpochMillis ?: return null
    val isExpired = found.record.state != IdempotencyState.STARTED && epochMillis - endedAt >= RECORD_EXPIRY_MILLIS
    return if (isExpired) listOf(TableOperation.Delete(key.tableKey, found.version)) else null
}
