/*
 * Makes the attempts of one request. A request that may have run is sent again only where its route allows that, and a
 * stream that has begun goes on at another backend server where it may be resumed. While an attempt is slow, one other
 * attempt may run beside it; the slow one is not given up for a server that may refuse the request or be slow as well.
 */
package org.lentilquay.daemon.gateway

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withContext
import kotlinx.io.IOException
import org.lentilquay.coordination.gateway.Departure
import org.lentilquay.coordination.gateway.RetryBudget
import org.lentilquay.coordination.gateway.ServerOutcome
import org.lentilquay.coordination.gateway.departureOf
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.state.Failure
import org.lentilquay.state.Outcome
import org.lentilquay.state.ServerId
import org.lentilquay.transport.describe
import org.lentilquay.transport.runSuspendCatching
import java.util.concurrent.atomic.AtomicInteger

/** A request with less time left before its deadline is not sent. */
internal const val MINIMUM_REMAINING_MILLIS = 15L

/** Attempts to send one request, including those after which it did not run. */
private const val MAXIMUM_SENDS = 5

/** `Retry-After` when no server has a free slot; loading an adapter takes a quarter of a second. */
internal const val NO_SLOT_RETRY_AFTER_MILLIS = 400L

/** Delay before the servers are asked again to go on with a stream that has begun. */
private const val RESUME_RETRY_MILLIS = 200L

/** Longest wait of a stream that has begun for a retry in the budget, for callers that name no deadline. */
private const val MAXIMUM_RETRY_WAIT_MILLIS = 10_000L

/** What the attempts of all requests share. */
internal class AttemptContext(
    val picker: ServerPicker,
    val runner: AttemptRunner,
    val crashes: CrashDetector,
    val retries: RetryBudget,
    /** The servers that leave at short notice. */
    val departures: StateFlow<Map<ServerId, Departure>>,
    /** Called when an attempt beside one whose server leaves has gone on, or has ended without that. */
    val onMove: (Boolean) -> Unit,
    val control: ControlThread,
    val scope: CoroutineScope,
    val now: () -> Long,
)

/**
 * Makes the attempts of one request and decides after each whether another one follows. The coroutine of the request
 * owns the fields; while an attempt runs, its watch does, and the coroutine of the request waits for both.
 */
internal class RequestAttempts(
    private val context: AttemptContext,
    private val routed: RoutedRequest,
    private val writer: ResponseWriter,
    private val trace: RequestTrace,
) {
    private val excluded = HashSet<ServerId>()

    /** The engines that refused the request because they do not hold its adapter; they may load it. */
    private val withoutAdapter = HashSet<ServerId>()

    /** Attempts that have ended and after which the request may have run. */
    private val runs = AtomicInteger()
    private var sends = 0

    /** Whether a retry was taken from the budget and not used yet. */
    private var hasReservedRetry = false

    /** The attempt beside a slow one, or null. */
    private var parallel: ParallelAttempt? = null
    private var resumeAfter: String? = null

    /** The last error response of a backend server, which the caller gets if no attempt succeeds. */
    private var errorResponse: BufferedResponse? = null
    val mayHaveRun: Boolean get() = runs.get() > 0
    private val isOutOfTime: Boolean get() = routed.deadlineAt - context.now() < MINIMUM_REMAINING_MILLIS

    /** Makes attempts until the request is answered, and returns the status of the response. */
    suspend fun complete(): Int = coroutineScope {
        var status: Int? = null
        while (status == null) status = tryOnce(this)
        parallel?.stop()
        status
    }

    /** Makes one attempt; returns the status of the response, or null if another attempt is to follow. */
    private suspend fun tryOnce(scope: CoroutineScope): Int? {
        takeParallel()?.let { return after(it.target, it.end.await().getOrThrow()) }
        if (isOutOfTime) return fail("no time is left before the deadline")
        context.crashes.quarantineOf(routed)?.let { return fail(it.reason, it.remainingMillis) }
        return when (val found = pick(excluded, trace)) {
            is Outcome.Success -> after(found.value, attempt(scope, found.value, beside = null))
            is Outcome.Failed -> afterNoServer(found.failure)
        }
    }

    /** Returns the status of the response after an attempt, or null if another attempt is to follow. */
    private suspend fun after(target: AttemptTarget, outcome: AttemptOutcome): Int? =
        when (val result = outcome.result) {
            is AttemptResult.Delivered -> result.status
            is AttemptResult.NotRun -> afterRefusal(target, result, outcome.isAdapterMissing)
            is AttemptResult.Failed -> afterFailure(target, result)
            is AttemptResult.BrokenStream -> afterBrokenStream(target, result)
            is AttemptResult.Superseded -> null
        }

    /** The attempt that runs beside one which has ended, or null if there is none that may go on. */
    private suspend fun takeParallel(): ParallelAttempt? {
        val other = parallel ?: return null
        parallel = null
        if (other.canFollow) return other
        other.stop()
        return null
    }

    /** Whether an attempt runs that goes on now that the slow one has ended. */
    private val hasFollowing: Boolean get() = parallel?.canFollow ?: false

    private suspend fun pick(excluded: Set<ServerId>, trace: RequestTrace) =
        context.picker.pick(routed, excluded, withoutAdapter, trace)

    /** A stream that has begun waits for a server, because its caller can no longer be refused. */
    private suspend fun afterNoServer(failure: Failure): Int? {
        if (!writer.isStarted) return fail(failure.message, failure.retryAfterMillis ?: NO_SLOT_RETRY_AFTER_MILLIS)
        // The servers that were left may take requests again, and no other one does.
        excluded.clear()
        delay(RESUME_RETRY_MILLIS)
        return null
    }

    private suspend fun afterRefusal(
        target: AttemptTarget,
        result: AttemptResult.NotRun,
        isAdapterMissing: Boolean,
    ): Int? {
        if (isAdapterMissing) withoutAdapter += target.server.id else excluded += target.server.id
        return when {
            hasFollowing -> null
            ++sends >= MAXIMUM_SENDS -> fail(result.reason)
            result.hasArrived && !awaitRetry() -> fail("${result.reason}, the retry budget is exhausted")
            else -> null
        }
    }

    private suspend fun afterFailure(target: AttemptTarget, result: AttemptResult.Failed): Int? {
        errorResponse = result.answer ?: errorResponse
        excluded += target.server.id
        return if (hasFollowing || (canRunAgain() && awaitRetry())) null else fail(result.reason)
    }

    private suspend fun afterBrokenStream(target: AttemptTarget, result: AttemptResult.BrokenStream): Int? {
        resumeAfter = result.lastEventId
        excluded += target.server.id
        if (hasFollowing) return null
        val canResume = routed.route.isResumable && result.lastEventId != null && canRunAgain()
        if (!canResume || !awaitRetry()) throw IOException("the stream broke off: ${result.reason}")
        return null
    }

    /** Makes one attempt, as the only one or [beside] a slow one. */
    private suspend fun attempt(scope: CoroutineScope, target: AttemptTarget, beside: SlowAttempt?): AttemptOutcome {
        val startedAt = context.now()
        val progress = AttemptProgress(routed.promptParts, startedAt)
        var outcome = interrupted("an unexpected exception")
        try {
            val watch = AttemptWatch(
                beside,
                resumeAfter = if (beside == null) resumeAfter else beside.lastEventId,
                isCallerBusy = writer::isWriting,
                context.now,
            ) { slow -> tryOther(scope, target.server.id, slow) }
            // The response of an attempt beside another one is not the last that the caller can get.
            val mayRetry = beside != null || mayRunBeside()
            val options = AttemptOptions(mayRetry, watch) { context.crashes.firstEvent(progress) }
            // The request may have become quarantined while it waited for a server.
            outcome = context.crashes.quarantineOf(routed)?.let { notSent(it.reason) }
                ?: context.runner.run(routed, target, writer, options)
        } catch (cancelled: CancellationException) {
            val interruption = interruptionOf(cancelled)
            outcome = interrupted(interruption.text, serverOutcomeOf(interruption))
            throw cancelled
        } finally {
            // Also after a cancellation: the server may have run the request, so its tokens count as used.
            if (outcome.result !is AttemptResult.NotRun) runs.incrementAndGet()
            trace.addAttempt(target.server.id, startedAt, outcome.result)
            withContext(NonCancellable) { ended(target, outcome, progress) }
        }
        return outcome
    }

    private fun interrupted(reason: String, outcome: ServerOutcome = ServerOutcome.UNKNOWN) =
        AttemptOutcome(AttemptResult.Failed(reason), outcome)

    private fun serverOutcomeOf(interruption: Interruption): ServerOutcome = when (interruption) {
        Interruption.OutputEnded, is Interruption.ConnectionFailed -> ServerOutcome.LEFT
        Interruption.StopEnded, Interruption.Cancelled, is Interruption.Failed -> ServerOutcome.UNKNOWN
    }

    private fun notSent(reason: String) =
        AttemptOutcome(AttemptResult.NotRun(reason, hasArrived = false), ServerOutcome.UNKNOWN)

    private fun canRunAgain() =
        routed.route.mayRunAgain && runs.get() < routed.route.maximumAttempts && sends++ < MAXIMUM_SENDS

    /** Whether the request may run at [others] more servers beside the one at which it runs. */
    private fun mayRunBeside(others: Int = 1) =
        routed.route.mayRunAgain && runs.get() + others < routed.route.maximumAttempts

    /** Makes an attempt beside [slow], which runs at [server]; returns whether it goes on in place of that one. */
    private suspend fun tryOther(scope: CoroutineScope, server: ServerId, slow: SlowAttempt): Boolean {
        if (parallel != null) return false
        val obstacle = obstacleBeside(slow)
        val target = if (obstacle == null) findBeside(server) else null
        when {
            target == null -> trace.addNoteOnce("stays at $server: ${obstacle ?: "no other server takes the request"}")
            !slow.hold() -> release(target)
            else -> return runBeside(scope, target, slow)
        }
        return false
    }

    /** Why no attempt is made beside [slow], or null if one may be; a retry is then reserved for it. */
    private suspend fun obstacleBeside(slow: SlowAttempt): String? {
        hasReservedRetry = hasReservedRetry && sends < MAXIMUM_SENDS - 1
        return when {
            writer.isStarted && !routed.route.isResumable -> "the route does not allow to resume a stream"
            writer.isStarted && slow.lastEventId == null -> "the last event has no id"
            !mayRunBeside() -> "all attempts of the route are used"
            // One send is left for the case that the slow attempt breaks off.
            sends >= MAXIMUM_SENDS - 1 -> "the request was sent $sends times"
            !hasReservedRetry && !tryRetry() -> "the retry budget is exhausted"
            else -> null.also { hasReservedRetry = true }
        }
    }

    /** Finds a place at a server other than [server]; one that has refused the request may take it by now. */
    private suspend fun findBeside(server: ServerId): AttemptTarget? {
        val found = search(excluded + server)
        if (found != null || excluded.isEmpty()) return found
        excluded.clear()
        return search(setOf(server))
    }

    private suspend fun search(excluded: Set<ServerId>): AttemptTarget? {
        // In the scope of the forwarder, so that a place that is found after the end of the request is released.
        val search = context.scope.async { pick(excluded, RequestTrace(context.now)) }
        return try {
            (search.await() as? Outcome.Success)?.value
        } catch (cancelled: CancellationException) {
            context.scope.launch { (search.await() as? Outcome.Success)?.let { release(it.value) } }
            throw cancelled
        }
    }

    /**
     * Makes an attempt at [target] beside [slow] until one of both goes on, or the new one ends without a response;
     * returns whether it goes on in place of the slow one. If the slow attempt ends meanwhile, this is cancelled and
     * the new attempt follows it, see [takeParallel].
     */
    private suspend fun runBeside(scope: CoroutineScope, target: AttemptTarget, slow: SlowAttempt): Boolean {
        hasReservedRetry = false
        sends++
        // Started at once, so that the place at the server is freed also if the request ends now.
        val end = scope.async(start = CoroutineStart.UNDISPATCHED) {
            runSuspendCatching { attempt(scope, target, slow) }
        }
        val other = ParallelAttempt(target, slow, end)
        parallel = other
        val decision = select {
            slow.decision.onAwait { it }
            end.onAwait { slow.decided }
            // Where the request may run at one more server, it is not left to two that are both slow.
            if (mayRunBeside(others = 2)) onTimeout(routed.route.targetLatencyMillis * 2) { null }
        }
        val isReplaced = decision == SlowOutcome.REPLACED || !slow.resume()
        if (slow.isLeaving) context.onMove(isReplaced)
        if (!isReplaced) {
            other.stop()
            parallel = null
            if (decision == null) endedBeside(other)
        }
        return isReplaced
    }

    /** An attempt beside a slow one has ended without anything that its caller could get. */
    private suspend fun endedBeside(other: ParallelAttempt) {
        val end = if (other.end.isCancelled) null else other.end.await()
        end?.onFailure { trace.addNote("attempt at ${other.target.server.id} failed: ${describe(it)}") }
        val outcome = end?.getOrNull()
        if (outcome?.isAdapterMissing == true) {
            withoutAdapter += other.target.server.id
        } else {
            excluded += other.target.server.id
        }
        (outcome?.result as? AttemptResult.Failed)?.answer?.let { errorResponse = it }
    }

    /** Frees the place of an attempt that is not made. */
    private suspend fun release(target: AttemptTarget) = withContext(NonCancellable) {
        context.control.decide { context.picker.attemptEnded(routed, target, notSent("not needed")) }
    }

    /** Takes a retry from the budget. A stream that has begun waits for one, as its caller cannot be refused. */
    private suspend fun awaitRetry(): Boolean {
        val until = minOf(routed.deadlineAt - MINIMUM_REMAINING_MILLIS, context.now() + MAXIMUM_RETRY_WAIT_MILLIS)
        while (!tryRetry()) {
            val remaining = until - context.now()
            if (!writer.isStarted || remaining <= 0) return false
            delay(minOf(remaining, RESUME_RETRY_MILLIS))
            if (isOutOfTime) return false
        }
        return true
    }

    private suspend fun tryRetry(): Boolean {
        val isReserved = hasReservedRetry
        hasReservedRetry = false
        return isReserved || context.control.decide { context.retries.tryAcquire(routed.service, context.now()) }
    }

    private suspend fun fail(reason: String, retryAfterMillis: Long = NO_SLOT_RETRY_AFTER_MILLIS): Int {
        if (writer.isStarted) throw IOException("the stream broke off: $reason")
        val answer = errorResponse
        if (answer != null) {
            writer.respond(answer.status, answer.headers, answer.body, answer.statedLength)
            return answer.status
        }
        val failure = if (!mayHaveRun) notRunFailure(reason, retryAfterMillis) else unknownOutcome(reason)
        return refuse(writer, failure, trace)
    }

    private suspend fun ended(
        target: AttemptTarget,
        outcome: AttemptOutcome,
        progress: AttemptProgress,
    ) = context.control.decide {
        context.picker.attemptEnded(routed, target, outcome)
        // The end of a server that leaves looks like a crash, and would make suspects of the requests that stayed.
        val isLeaving = departureOf(context.departures.value, target.server) != null
        if (outcome.serverOutcome == ServerOutcome.LOST && !isLeaving) {
            context.crashes.connectionLost(target.server, routed.fingerprint, progress)
        } else {
            context.crashes.ended(progress, outcome.result)
        }
    }
}

/**
 * The quarantine of [routed], or null. Its refusal promises that the request did not run, which the caller of a
 * non-repeatable call needs to know; on this platform a status of 422 makes no such promise.
 */
internal suspend fun CrashDetector.quarantineOf(routed: RoutedRequest): RequestQuarantine? =
    if (hasSuspects) quarantine(routed.fingerprint, routed.promptParts) else null

/** Refuses a request with [failure], and returns the status of the response. */
internal suspend fun refuse(writer: ResponseWriter, failure: Failure, trace: RequestTrace): Int {
    trace.addNote("${failure.kind.code}: ${failure.message}")
    writer.respondFailure(failure)
    return failure.kind.status
}
