/*
 * Runs non-repeatable calls at most once: carries out the steps that the idempotency decider returns, one after the
 * other, until the call was dispatched, replayed or rejected. Docs: docs/design.md, section 4.7.
 */
package org.lentilquay.daemon.requests

import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.lentilquay.coordination.idempotency.CallKey
import org.lentilquay.coordination.idempotency.CleanupStep
import org.lentilquay.coordination.idempotency.IdempotencyDecider
import org.lentilquay.coordination.idempotency.IdempotencyDecision
import org.lentilquay.coordination.idempotency.RecordLookup
import org.lentilquay.coordination.idempotency.callKeyOf
import org.lentilquay.daemon.control.write
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.RecordedCallState
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.IdempotencyRecord
import org.lentilquay.state.MAXIMUM_INLINE_ANSWER_BYTES
import org.lentilquay.state.Outcome
import org.lentilquay.state.ServerId
import org.lentilquay.state.StoredAnswer
import org.lentilquay.state.VmId
import org.lentilquay.transport.platform.ObjectWriteResult
import org.lentilquay.transport.platform.PlatformClient
import org.lentilquay.transport.platform.ReadResult
import java.security.MessageDigest
import java.util.Base64

class AtMostOnceCalls(
    private val decider: IdempotencyDecider,
    private val platform: PlatformClient,
    private val dispatcher: ServiceDispatcher,
    private val control: ControlThread,
    /** Asks another VM for the state of the attempt with the nonce; null if it cannot be reached. */
    private val askVm: suspend (VmId, nonce: String) -> RecordedCallState?,
    private val now: () -> Long,
) {
    private class Attempt(val key: CallKey, val fingerprint: String, val startedAt: Long)

    /** Runs [admitted] under the `Idempotency-Key` header [header], or replays the response of an earlier run. */
    suspend fun run(admitted: AdmittedServiceCall, header: String?): Outcome<ServiceReply> =
        when (val key = callKeyOf(admitted.access.team, admitted.access.route.id, header)) {
            is Outcome.Failed -> key
            is Outcome.Success -> runSteps(admitted, Attempt(key.value, admitted.fingerprint, now()))
        }

    /** The state of an attempt of this VM, for another VM that asks for it. */
    suspend fun status(nonce: String): RecordedCallState = control.decide { decider.status(nonce) }

    /** Writes the outcomes of ended calls to their records, and removes abandoned records. Called periodically. */
    suspend fun settleRecords(epochMillis: Long) {
        control.decide { decider.pendingCompletions() }.forEach { (nonce, operations) ->
            val result = platform.write(operations)
            control.decide { decider.completionWritten(nonce, result) }
        }
        control.decide { decider.pendingCleanups() }.forEach { (nonce, key) ->
            val found = read(key)
            val step = control.decide { decider.cleanup(nonce, found, epochMillis) }
            if (step is CleanupStep.Write) platform.write(step.operations)
        }
    }

    private suspend fun runSteps(admitted: AdmittedServiceCall, attempt: Attempt): Outcome<ServiceReply> {
        var nonce: String? = null
        try {
            var decision = begin(attempt)
            while (true) {
                nonce = (decision as? IdempotencyDecision.Write)?.nonce ?: nonce
                decision = when (val step = decision) {
                    is IdempotencyDecision.Write -> {
                        val result = platform.write(step.operations)
                        control.decide { decider.written(step.nonce, result) }
                    }
                    is IdempotencyDecision.ReadBack -> {
                        val found = read(attempt.key)
                        control.decide { decider.readBack(step.nonce, found, waitedMillis(attempt)) }
                    }
                    is IdempotencyDecision.ReadAgain -> {
                        delay(step.delayMillis)
                        begin(attempt)
                    }
                    is IdempotencyDecision.AskVm -> {
                        val state = askVm(step.vm, step.nonce)
                        control.decide {
                            decider.peerAnswered(
                                attempt.key,
                                attempt.fingerprint,
                                step.found,
                                state,
                                waitedMillis(attempt),
                            )
                        }
                    }
                    is IdempotencyDecision.Dispatch -> {
                        nonce = null
                        // When the caller disconnects, the outcome of the call must still be recorded.
                        return withContext(NonCancellable) { dispatch(admitted, step.nonce) }
                    }
                    is IdempotencyDecision.Replay -> return replay(step.answer)
                    is IdempotencyDecision.Refuse -> return Outcome.Failed(step.failure)
                }
            }
        } finally {
            nonce?.let { left -> withContext(NonCancellable) { control.decide { decider.cancelled(left) } } }
        }
    }

    private suspend fun begin(attempt: Attempt): IdempotencyDecision {
        val found = read(attempt.key)
        return control.decide { decider.begin(attempt.key, attempt.fingerprint, found, waitedMillis(attempt)) }
    }

    private suspend fun dispatch(admitted: AdmittedServiceCall, nonce: String): Outcome<ServiceReply> {
        val excluded = mutableSetOf<ServerId>()
        var failure = Failure(ErrorKind.NO_CAPACITY, "no backend server was reached")
        repeat(MAXIMUM_DISPATCH_ATTEMPTS) { number ->
            when (val result = dispatcher.attempt(admitted, number, excluded)) {
                is ServiceAttempt.Answered -> return finish(nonce, result.reply)
                is ServiceAttempt.Unknown -> return outcomeUnknown(nonce)
                is ServiceAttempt.NotRun -> {
                    failure = result.failure
                    result.server?.let { excluded += it }
                }
            }
        }
        control.decide { decider.refusedByService(nonce, System.currentTimeMillis()) }
        settleRecords(System.currentTimeMillis())
        return Outcome.Failed(failure)
    }

    private suspend fun finish(nonce: String, reply: ServiceReply): Outcome<ServiceReply> {
        val stored = store(nonce, reply)
        control.decide { decider.finished(nonce, stored, System.currentTimeMillis()) }
        settleRecords(System.currentTimeMillis())
        return Outcome.Success(reply)
    }

    private suspend fun outcomeUnknown(nonce: String): Outcome<ServiceReply> {
        val refusal = control.decide { decider.connectionLost(nonce) } as IdempotencyDecision.Refuse
        return Outcome.Failed(refusal.failure)
    }

    private suspend fun store(nonce: String, reply: ServiceReply): StoredAnswer {
        val type = reply.headers.firstOrNull { it.first.equals("content-type", ignoreCase = true) }?.second
        if (reply.body.size <= MAXIMUM_INLINE_ANSWER_BYTES) {
            return StoredAnswer(reply.status, type, bodyBase64 = Base64.getEncoder().encodeToString(reply.body))
        }
        val name = "answers/$nonce"
        val isWritten = platform.putObject(name, reply.body) == ObjectWriteResult.Written
        return StoredAnswer(reply.status, type, objectName = name.takeIf { isWritten })
    }

    private suspend fun replay(answer: StoredAnswer): Outcome<ServiceReply> {
        val name = answer.objectName
        val body = when {
            name != null -> (platform.getObject(name) as? ReadResult.Read)?.value
            else -> Base64.getDecoder().decode(answer.bodyBase64.orEmpty())
        }
        val headers = listOfNotNull(answer.contentType?.let { "Content-Type" to it }) + REPLAYED
        return if (body != null) {
            Outcome.Success(ServiceReply(answer.status, headers, body))
        } else {
            Outcome.Failed(
                Failure(ErrorKind.OUTCOME_UNKNOWN, "the call ran, but its stored response cannot be read now"),
            )
        }
    }

    private fun waitedMillis(attempt: Attempt): Long = now() - attempt.startedAt

    private suspend fun read(key: CallKey): RecordLookup = when (val result = platform.item(key.tableKey)) {
        is ReadResult.Unavailable -> RecordLookup.Unavailable
        is ReadResult.Read -> {
            val item = result.value
            if (item == null) {
                RecordLookup.Absent
            } else {
                try {
                    RecordLookup.Found(Json.decodeFromString<IdempotencyRecord>(item.value), item.version)
                } catch (_: SerializationException) {
                    // A record of a later version of the format must not be taken for an absent one.
                    RecordLookup.Unavailable
                }
            }
        }
    }
}

/** A hash of the content of a call and its team. */
fun callFingerprint(team: String, method: String, pathAndQuery: String, body: ByteArray): String {
    val digest = MessageDigest.getInstance("SHA-256")
    listOf(team, method, pathAndQuery).forEach {
        digest.update(it.encodeToByteArray())
        digest.update(0)
    }
    return digest.digest(body).toHex()
}

/** Marks a response that is replayed from the record. */
private val REPLAYED = listOf("Idempotent-Replayed" to "true")

/** Reservations that are tried as long as no byte of the call was written to a server. */
private const val MAXIMUM_DISPATCH_ATTEMPTS = 3
