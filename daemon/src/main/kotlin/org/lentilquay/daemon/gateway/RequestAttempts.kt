/*
 * Makes the attempts of one request. A request that may have run is sent again only where its route allows that, and a
 * stream that has begun goes on at another backend server where it may be resumed.
 */
package org.lentilquay.daemon.gateway

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.io.IOException
import org.lentilquay.coordination.gateway.RetryBudget
import org.lentilquay.coordination.gateway.ServerOutcome
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.state.Failure
import org.lentilquay.state.Outcome
import org.lentilquay.state.ServerId

/** A request with less time left before its deadline is not sent. */
private const val MINIMUM_REMAINING_MILLIS = 15L

/** Attempts to send one request, including those after which it did not run. */
private const val MAXIMUM_SENDS = 5

/** `Retry-After` when no server has a free slot; loading an adapter takes a quarter of a second. */
internal const val NO_SLOT_RETRY_AFTER_MILLIS = 400L

/** Delay before the servers are asked again to go on with a stream that has begun. */
private const val RESUME_RETRY_MILLIS = 200L

/** What the attempts of all requests share. */
internal class AttemptContext(
    val picker: ServerPicker,
    val runner: AttemptRunner,
    val crashes: CrashDetector,
    val retries: RetryBudget,
    val control: ControlThread,
    val scope: CoroutineScope,
    val now: () -> Long,
)

/** Makes the attempts of one request and decides after each whether another one follows. */
internal class RequestAttempts(
    private val context: AttemptContext,
    private val routed: RoutedRequest,
    private val writer: ResponseWriter,
    private val trace: RequestTrace,
) {
    private val excluded = HashSet<ServerId>()

    /** The engines that refused the request because they do not hold its adapter; they may load it. */
    private val withoutAdapter = HashSet<ServerId>()

    /** Attempts after which the request may have run. */
    private var runs = 0
    private var sends = 0

    /** Whether a retry was taken from the budget and not used yet. */
    private var hasReservedRetry = false

    /** The server that has reserved a place for a stream that leaves its server, or null. */
    private var nextTarget: AttemptTarget? = null
    private var resumeAfter: String? = null

    /** The last error response of a backend server, which the caller gets if no attempt succeeds. */
    private var errorResponse: BufferedResponse? = null
    val mayHaveRun: Boolean get() = runs > 0
    private val isOutOfTime: Boolean get() = routed.deadlineAt - context.now() < MINIMUM_REMAINING_MILLIS

    /** Makes attempts until the request is answered, and returns the status of the response. */
    suspend fun complete(): Int {
        var status: Int? = null
        try {
            while (status == null) status = tryOnce()
        } finally {
            withContext(NonCancellable) { takeNextTarget()?.let { release(it) } }
        }
        return status
    }

    /** Makes one attempt; returns the status of the response, or null if another attempt is to follow. */
    private suspend fun tryOnce(): Int? {
        if (isOutOfTime) return fail("no time is left before the deadline")
        context.crashes.quarantineOf(routed)?.let { return fail(it.reason, it.remainingMillis) }
        val target = takeNextTarget() ?: when (val found = pick(excluded, trace)) {
            is Outcome.Success -> found.value
            is Outcome.Failed -> return afterNoServer(found.failure)
        }
        val outcome = attempt(target)
        return when (val result = outcome.result) {
            is AttemptResult.Delivered -> result.status
            is AttemptResult.NotRun -> afterRefusal(target, result, outcome.isAdapterMissing)
            is AttemptResult.Failed -> afterFailure(target, result)
            is AttemptResult.BrokenStream -> afterBrokenStream(target, result)
        }
    }

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
            ++sends >= MAXIMUM_SENDS -> fail(result.reason)
            result.hasArrived && !awaitRetry() -> fail("${result.reason}, the retry budget is exhausted")
            else -> null
        }
    }

    private suspend fun afterFailure(target: AttemptTarget, result: AttemptResult.Failed): Int? {
        errorResponse = result.answer ?: errorResponse
        excluded += target.server.id
        return if (canRunAgain() && tryRetry()) null else fail(result.reason)
    }

    private suspend fun afterBrokenStream(target: AttemptTarget, result: AttemptResult.BrokenStream): Int? {
        resumeAfter = result.lastEventId
        excluded += target.server.id
        val canResume = routed.route.isResumable && result.lastEventId != null && canRunAgain()
        if (!canResume || !tryRetry()) throw IOException("the stream broke off: ${result.reason}")
        return null
    }

    private suspend fun attempt(target: AttemptTarget): AttemptOutcome {
        val startedAt = context.now()
        val progress = AttemptProgress(routed.promptParts, startedAt)
        var outcome = AttemptOutcome(
            AttemptResult.Failed("the caller disconnected or the time ran out"),
            ServerOutcome.UNKNOWN,
        )
        try {
            val mayRetry = routed.route.mayRunAgain && runs + 1 < routed.route.maximumAttempts
            val stream = StreamProgress(resumeAfter, { context.crashes.firstEvent(progress) }) { isStalled ->
                mayRetry && tryMove(target.server.id, isStalled)
            }
            // The request may have become quarantined while it waited for a server.
            outcome = context.crashes.quarantineOf(routed)?.let { notSent(it.reason) }
                ?: context.runner.run(routed, target, writer, mayRetry, stream)
        } finally {
            // Also after a cancellation: the server may have run the request, so its tokens count as used.
            if (outcome.result !is AttemptResult.NotRun) runs++
            trace.addAttempt(target.server.id, startedAt, outcome.result)
            withContext(NonCancellable) { ended(target, outcome, progress) }
        }
        return outcome
    }

    private fun notSent(reason: String) =
        AttemptOutcome(AttemptResult.NotRun(reason, hasArrived = false), ServerOutcome.UNKNOWN)

    private fun canRunAgain() =
        routed.route.mayRunAgain && runs < routed.route.maximumAttempts && sends++ < MAXIMUM_SENDS

    /** Reserves a retry, and a place at another server, for a stream that is about to leave the server [left]. */
    private suspend fun tryMove(left: ServerId, isStalled: () -> Boolean): Boolean {
        hasReservedRetry = hasReservedRetry || tryRetry()
        if (!hasReservedRetry) return false
        // In the scope of the forwarder, so that a place that is found after the end of the stream is released.
        val search = context.scope.async { pick(excluded + left, RequestTrace(context.now)) }
        val found = try {
            (search.await() as? Outcome.Success)?.value
        } catch (cancelled: CancellationException) {
            context.scope.launch { (search.await() as? Outcome.Success)?.let { release(it.value) } }
            throw cancelled
        }
        when {
            found == null -> trace.addNote("stays at $left, no other server takes the stream")
            isStalled() -> nextTarget = found
            else -> release(found)
        }
        return nextTarget != null
    }

    private fun takeNextTarget(): AttemptTarget? = nextTarget.also { nextTarget = null }

    /** Frees the place of an attempt that is not made. */
    private suspend fun release(target: AttemptTarget) =
        context.control.decide { context.picker.attemptEnded(routed, target, notSent("not needed")) }

    /** Takes a retry from the budget. A stream that has begun waits for one, as its caller cannot be refused. */
    private suspend fun awaitRetry(): Boolean {
        while (!tryRetry()) {
            if (!writer.isStarted || isOutOfTime) return false
            delay(RESUME_RETRY_MILLIS)
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
            writer.respond(answer.status, answer.headers, answer.body)
            return answer.status
        }
        val failure = if (runs == 0) notRunFailure(reason, retryAfterMillis) else unknownOutcome(reason)
        return refuse(writer, failure, trace)
    }

    private suspend fun ended(
        target: AttemptTarget,
        outcome: AttemptOutcome,
        progress: AttemptProgress,
    ) = context.control.decide {
        context.picker.attemptEnded(routed, target, outcome)
        if (outcome.serverOutcome == ServerOutcome.LOST) {
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
