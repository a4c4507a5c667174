/*
 * One inference request from its admission to the last chunk of the response: reserves a slot, starts the run at the
 * engine, checks each chunk, and continues at the next missing chunk when a connection or server is lost. The number of
 * attempts is limited. Once any byte of the request may have reached a server, no failure may say that it did not run.
 */
package org.lentilquay.daemon.requests

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.lentilquay.daemon.metrics.RetryReason
import org.lentilquay.protocol.ActiveRun
import org.lentilquay.protocol.EngineHeaders
import org.lentilquay.protocol.ResumeOrder
import org.lentilquay.protocol.RunOutcome
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.Outcome
import org.lentilquay.state.RunState
import org.lentilquay.state.ServerId
import org.lentilquay.transport.engine.EngineRunResult
import org.lentilquay.transport.engine.ReportResult
import org.lentilquay.transport.engine.RunHead
import org.lentilquay.transport.engine.StreamStep

class InferenceRun(
    private val admitted: AdmittedInference,
    private val dependencies: InferenceDependencies,
    private val activeCall: ActiveCall,
    private val metrics: RequestMetrics,
) {
    private val excluded = mutableSetOf<ServerId>()
    private var attempts = 0

    /** Reservations that were asked for, which number the attempts; one that finds no slot is no attempt. */
    private var reservationCount = 0

    /** Why the last attempt ended; counted only when the request is sent again. */
    private var retryReason: RetryReason? = null
    private var lastChunkAt: Long? = null

    @Volatile
    private var current: RunAttempt? = null

    /** The attempt at another server that may replace [current], or null. */
    @Volatile
    private var replacement: RunAttempt? = null

    /** How often the stream was resumed since the last new chunk. */
    private var resumesWithoutChunk = 0
    private var nextIndex = 0
    private var mayHaveRun = false
    private var isSuspect = admitted.isSuspect

    /** The token counts that the engine reported, or the number of chunks so far until it reports any. */
    var usage: Usage = Usage()
        private set

    /** Time for which attempts waited for their adapter to be loaded; null if none did. */
    var loadWaitMillis: Long? = null
        private set

    /** Whether a backend server may have received the request. */
    val mayHaveStarted: Boolean get() = mayHaveRun

    init {
        // Closing the connection ends the wait for the next event of the engine.
        activeCall.whenAborted { listOfNotNull(current, replacement).forEach { it.close() } }
    }

    /** The next event. After [RunEvent.Done] or [RunEvent.Failed] the run is over. */
    suspend fun next(): RunEvent {
        while (true) {
            activeCall.abortFailure?.let { return endAborted(it) }
            val attempt = current ?: when (val opened = openNext()) {
                is Outcome.Failed ->
                    return activeCall.abortFailure?.let { endAborted(it) }
                        ?: RunEvent.Failed(correctRunState(opened.failure))
                is Outcome.Success -> opened.value.also { current = it }
            }
            when (val step = attempt.next()) {
                is StreamStep.Event -> processEvent(attempt, step.data)?.let { return it }
                is StreamStep.Lost -> if (activeCall.abortFailure == null) resumeOrEnd(attempt)
                StreamStep.Done -> {
                    end(attempt, RunOutcome.COMPLETED)
                    return RunEvent.Done
                }
            }
        }
    }

    private suspend fun endAborted(failure: Failure): RunEvent {
        cancel()
        val kind = if (mayHaveRun) failure.kind else ErrorKind.KEY_INVALID
        return RunEvent.Failed(failure.copy(kind = kind))
    }

    /** Ends the run early, because the caller disconnected or the call was aborted, and cancels it at the engine. */
    suspend fun cancel() {
        val attempt = current ?: return
        dependencies.engines.cancel(attempt.reservation.address, attempt.reservation.attemptId)
        end(attempt, RunOutcome.CANCELLED)
    }

    private suspend fun openNext(): Outcome<RunAttempt> {
        var last = Failure(ErrorKind.BACKEND_FAILED, "no backend server completed the request")
        while (attempts < MAXIMUM_ATTEMPTS) {
            val askedAt = dependencies.now()
            val reservation = when (val reserved = reserveUnlessAborted(reservationRequest(reservationCount++))) {
                is Outcome.Failed -> return reserved
                is Outcome.Success -> reserved.value
            }
            attempts++
            if (reservation.waitedForLoad) loadWaitMillis = (loadWaitMillis ?: 0) + dependencies.now() - askedAt
            when (val started = startRun(reservation)) {
                is Outcome.Success -> return started
                is Outcome.Failed -> last = started.failure
            }
        }
        return Outcome.Failed(last)
    }

    /** Waits for a reservation until the call is aborted. */
    private suspend fun reserveUnlessAborted(request: ReservationRequest): Outcome<Reservation> = coroutineScope {
        val reserving = async { dependencies.reservations.reserve(request) }
        val abortWatch = launch {
            activeCall.awaitAbort()
            reserving.cancel()
        }
        try {
            reserving.await()
        } catch (_: CancellationException) {
            ensureActive()
            failure(ErrorKind.NO_CAPACITY, "the call was aborted while it waited for a slot at a backend server")
        } finally {
            abortWatch.cancel()
        }
    }

    private suspend fun startRun(reservation: Reservation): Outcome<RunAttempt> {
        if (dependencies.now() > reservation.dispatchDeadline || activeCall.abortFailure != null) {
            dependencies.reservations.release(reservation, RunOutcome.NOT_STARTED, null)
            return failure(ErrorKind.NO_CAPACITY, "the reservation expired before the request could start")
        }
        activeCall.run =
            reservation.server to ActiveRun(reservation.attemptId, reservation.adapter, admitted.fingerprint)
        val body = admitted.request.engineBody(
            admitted.adapter.engineName,
            admitted.route.defaultMaximumTokens,
            nextIndex,
        )
        retryReason?.let(metrics::retried)
        val headers = listOf(EngineHeaders.REQUEST_ID to reservation.attemptId)
        val answer = dependencies.engines.startRun(reservation.address, admitted.request.form.path, body, headers)
        return accept(reservation, answer)
    }

    private suspend fun accept(reservation: Reservation, answer: EngineRunResult): Outcome<RunAttempt> {
        val head = answer.headOrNull()
        head?.notice?.let { dependencies.reservations.noticed(reservation, head.incarnation, it) }
        return when (answer) {
            is EngineRunResult.Accepted -> checkHead(reservation, answer)
            is EngineRunResult.NotWritten ->
                failAttempt(reservation, RetryReason.NOT_CONNECTED, "server not reached", null)
            is EngineRunResult.NotLoaded -> {
                // The server may be tried again, because its owner will load the adapter again.
                failAttempt(reservation, RetryReason.ADAPTER_MISSING, "adapter not loaded", answer.head.incarnation)
                    .also { excluded -= reservation.server }
            }
            is EngineRunResult.Overloaded ->
                failAttempt(reservation, RetryReason.SERVER_OVERLOADED, "server overloaded", answer.head.incarnation)
            is EngineRunResult.WrongStatus -> {
                mayHaveRun = true
                val message = "server answered ${answer.head.status}"
                failAttempt(reservation, RetryReason.WRONG_ANSWER, message, answer.head.incarnation)
            }
            is EngineRunResult.LostBeforeHeaders -> {
                mayHaveRun = true
                if (!isAlive(reservation, reservation.incarnation)) serverLost(reservation, reservation.incarnation)
                failAttempt(reservation, RetryReason.CONNECTION_LOST, "connection lost", null)
            }
        }
    }

    private fun checkHead(reservation: Reservation, answer: EngineRunResult.Accepted): Outcome<RunAttempt> {
        mayHaveRun = true
        val fault = headFault(reservation, answer.head)
        if (fault != null) {
            answer.run.close()
            return failAttempt(reservation, RetryReason.WRONG_ANSWER, fault, answer.head.incarnation)
        }
        activeCall.answered()
        dependencies.reservations.progress(reservation, answer.head.incarnation)
        return Outcome.Success(RunAttempt(reservation, answer.run, answer.head.incarnation))
    }

    private fun headFault(reservation: Reservation, head: RunHead): String? = when {
        head.requestId != null && head.requestId != reservation.attemptId -> "the answer belongs to another request"
        head.servedModel != null && head.servedModel != admitted.adapter.engineName ->
            "the answer comes from model ${head.servedModel}"
        else -> null
    }

    private suspend fun processEvent(attempt: RunAttempt, data: String): RunEvent? {
        return when (val check = check(attempt, data)) {
            is ChunkCheck.Next -> {
                if (check.chunk.index != null) nextIndex++
                recordTokenGap()
                resumesWithoutChunk = 0
                usage = check.chunk.usage ?: usage.copy(completionTokens = maxOf(usage.completionTokens, chunkCount()))
                RunEvent.Part(callerData(data, attempt.reservation.attemptId), check.chunk)
            }
            ChunkCheck.Duplicate -> null
            is ChunkCheck.Invalid -> {
                excluded += attempt.reservation.server
                dependencies.engines.cancel(attempt.reservation.address, attempt.reservation.attemptId)
                retryReason = RetryReason.WRONG_ANSWER
                end(attempt, RunOutcome.WRONG_ANSWER)
                null
            }
        }
    }

    /** Replaces the id of the attempt by that of the request, so that all chunks carry the same id. */
    private fun callerData(data: String, attemptId: String): String =
        if (attemptId == admitted.requestId) data else data.replace(attemptId, admitted.requestId)

    private fun chunkCount(): Long = nextIndex.toLong()

    /**
     * The stream broke off: resumes it at the same server if possible, otherwise leaves the rest to the next attempt.
     */
    private suspend fun resumeOrEnd(attempt: RunAttempt) {
        attempt.close()
        val order = ResumeOrder(attempt.reservation.attemptId, nextIndex)
        val answer = dependencies.engines.resume(attempt.reservation.address, order)
        if (answer is EngineRunResult.Accepted) {
            val isSameProcess = answer.head.incarnation == attempt.incarnation
            if (isSameProcess && ++resumesWithoutChunk <= MAXIMUM_RESUMES_WITHOUT_CHUNK) {
                metrics.retried(RetryReason.RESUMED)
                val resumed = RunAttempt(attempt.reservation, answer.run, attempt.incarnation)
                current = resumed
                if (resumesWithoutChunk > 1) tryReplace(resumed)
                return
            }
            answer.run.close()
        }
        excluded += attempt.reservation.server
        if (isFromOtherProcess(answer, attempt)) serverLost(attempt.reservation, attempt.incarnation)
        retryReason = RetryReason.CONNECTION_LOST
        end(attempt, RunOutcome.CONNECTION_LOST)
    }

    /**
     * Replaces [silent], whose server is sound and sends nothing, by an attempt at another server if one has a free
     * slot now. The silent server is left only when the other one has sent the next chunk.
     */
    private suspend fun tryReplace(silent: RunAttempt) {
        excluded += silent.reservation.server
        retryReason = RetryReason.CONNECTION_LOST
        val silentRun = activeCall.run
        val other = openReplacement(silent.reservation.server)
        replacement = other
        try {
            if (other != null && activeCall.abortFailure == null && other.answersBefore(silent, ::isNextChunk)) {
                replacement = null
                leave(silent, RunOutcome.CONNECTION_LOST)
                current = other
            } else if (other?.isLost == true && !isAlive(other.reservation, other.incarnation)) {
                serverLost(other.reservation, other.incarnation)
            }
        } finally {
            replacement = null
            if (current === silent) {
                activeCall.run = silentRun
                withContext(NonCancellable) { other?.let { leave(it, RunOutcome.CANCELLED) } }
            }
        }
    }

    private suspend fun openReplacement(left: ServerId): RunAttempt? {
        if (attempts >= MAXIMUM_ATTEMPTS) return null
        val request = reservationRequest(reservationCount++).copy(waitMillis = 0)
        val reservation = (reserveUnlessAborted(request) as? Outcome.Success)?.value
        return when (reservation?.server) {
            null -> null
            left -> {
                dependencies.reservations.release(reservation, RunOutcome.NOT_STARTED, null)
                null
            }
            else -> {
                attempts++
                (startRun(reservation) as? Outcome.Success)?.value
            }
        }
    }

    private fun isNextChunk(attempt: RunAttempt, step: StreamStep): Boolean = step == StreamStep.Done ||
        (step is StreamStep.Event && check(attempt, step.data) is ChunkCheck.Next)

    private fun check(attempt: RunAttempt, data: String): ChunkCheck =
        checkChunk(data, attempt.reservation.attemptId, admitted.adapter.engineName, nextIndex)

    /** Cancels [attempt] at its engine and frees its slot. */
    private suspend fun leave(attempt: RunAttempt, outcome: RunOutcome) {
        attempt.close()
        dependencies.engines.cancel(attempt.reservation.address, attempt.reservation.attemptId)
        dependencies.reservations.release(attempt.reservation, outcome, attempt.incarnation)
    }

    /** Whether the server process that ran the request has ended, judged by the answer to the resume order. */
    private suspend fun isFromOtherProcess(answer: EngineRunResult, attempt: RunAttempt): Boolean {
        val head = answer.headOrNull() ?: return !isAlive(attempt.reservation, attempt.incarnation)
        return head.incarnation != attempt.incarnation
    }

    /** Whether the process [incarnation] still answers; if it does, only the connection was lost. */
    private suspend fun isAlive(reservation: Reservation, incarnation: Long?): Boolean {
        val report = dependencies.engines.loadReport(reservation.address) as? ReportResult.Received
        return incarnation != null && report?.report?.incarnation == incarnation
    }

    private suspend fun serverLost(reservation: Reservation, incarnation: Long?) {
        isSuspect = true
        dependencies.suspects.serverLost(reservation, incarnation, admitted.fingerprint)
        // A request that is now quarantined must not crash another server.
        if (dependencies.suspects.quarantineStatus(admitted.fingerprint) == QuarantineStatus.QUARANTINED) {
            attempts = MAXIMUM_ATTEMPTS
        }
    }

    private fun recordTokenGap() {
        val now = dependencies.now()
        lastChunkAt?.let { metrics.tokenGap(now - it) }
        lastChunkAt = now
    }

    private fun failAttempt(
        reservation: Reservation,
        reason: RetryReason,
        message: String,
        incarnation: Long?,
    ): Outcome.Failed {
        excluded += reservation.server
        retryReason = reason
        dependencies.reservations.release(reservation, reason.outcome(), incarnation)
        activeCall.run = null
        val kind = if (mayHaveRun) ErrorKind.BACKEND_FAILED else ErrorKind.NO_CAPACITY
        return failure(kind, "backend server ${reservation.server}: $message")
    }

    private fun end(attempt: RunAttempt, outcome: RunOutcome) {
        attempt.close()
        dependencies.reservations.release(attempt.reservation, outcome, attempt.incarnation)
        activeCall.run = null
        current = null
    }

    private fun failure(kind: ErrorKind, message: String) = Outcome.Failed(Failure(kind, message))

    private fun correctRunState(failure: Failure): Failure =
        if (mayHaveRun && failure.kind.run == RunState.NOT_RUN) {
            Failure(ErrorKind.BACKEND_FAILED, "the request may have run before it failed: ${failure.message}")
        } else {
            failure
        }

    private fun reservationRequest(number: Int) = ReservationRequest(
        attemptId = if (number == 0) admitted.requestId else "${admitted.requestId}-$number",
        target = ReservationTarget.Engine(admitted.baseModel, admitted.adapter),
        team = admitted.team,
        estimatedTokens = admitted.request.estimatedTokens(admitted.route.defaultMaximumTokens),
        priority = admitted.request.priority(admitted.route.defaultMaximumTokens),
        waitMillis = if (mayHaveRun) MAXIMUM_CONTINUATION_WAIT_MILLIS else admitted.route.maximumWaitMillis,
        fingerprint = admitted.fingerprint,
        isSuspect = isSuspect,
        excluded = excluded.toSet(),
    )
}

/**
 * How long an interrupted request waits for its next reservation. It is longer than the maximum wait of a route,
 * because the caller already has a part of the response, and because each server runs only one suspect request at a
 * time.
 */
private const val MAXIMUM_CONTINUATION_WAIT_MILLIS = 30_000L

/**
 * How often a stream is resumed at a server that accepts this and sends no new chunk. It bounds the time for which a
 * server whose run hangs is waited for.
 */
private const val MAXIMUM_RESUMES_WITHOUT_CHUNK = 4

/** Attempts of one request, over all servers. */
private const val MAXIMUM_ATTEMPTS = 4
