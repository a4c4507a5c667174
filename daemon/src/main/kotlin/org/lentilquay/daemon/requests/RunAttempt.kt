/*
 * One attempt of an inference run: a slot at a backend server, and the stream of that server.
 */
package org.lentilquay.daemon.requests

import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import org.lentilquay.daemon.metrics.RetryReason
import org.lentilquay.protocol.RunOutcome
import org.lentilquay.transport.engine.EngineRun
import org.lentilquay.transport.engine.EngineRunResult
import org.lentilquay.transport.engine.RunHead
import org.lentilquay.transport.engine.StreamStep

/** An attempt whose server process [incarnation] has accepted the request. Used by one coroutine at a time. */
internal class RunAttempt(
    val reservation: Reservation,
    private val run: EngineRun,
    val incarnation: Long?,
) : AutoCloseable by run {
    /** A step that was read and not taken yet. */
    private var pending: StreamStep? = null

    /** Whether the step that was read last ends the stream before its time. */
    val isLost: Boolean get() = pending is StreamStep.Lost

    /** Takes the next step of the stream. */
    suspend fun next(): StreamStep = peek().also { pending = null }

    /**
     * Whether this attempt sends a step that [isUsable] before [other] sends its next one. Afterwards, the attempt that
     * was slower cannot be read any more, unless the faster one is lost.
     */
    suspend fun answersBefore(other: RunAttempt, isUsable: (RunAttempt, StreamStep) -> Boolean): Boolean =
        coroutineScope {
            val own = async { peek() }
            val others = async { other.peek() }
            val isFirst = select {
                own.onAwait { isUsable(this@RunAttempt, it) }
                others.onAwait { it is StreamStep.Lost && isUsable(this@RunAttempt, own.await()) }
            }
            // The end of this scope waits for the other attempt if this one is lost.
            if (isFirst) others.cancel() else own.cancel()
            isFirst
        }

    private suspend fun peek(): StreamStep = pending ?: run.next().also { pending = it }
}

/** The head of the response, or null if none was received. */
internal fun EngineRunResult.headOrNull(): RunHead? = when (this) {
    is EngineRunResult.Accepted -> head
    is EngineRunResult.NotLoaded -> head
    is EngineRunResult.Overloaded -> head
    is EngineRunResult.WrongStatus -> head
    is EngineRunResult.NotWritten, is EngineRunResult.LostBeforeHeaders -> null
}

/** The outcome that is reported to the owner for an attempt that ended for this reason. */
internal fun RetryReason.outcome(): RunOutcome = when (this) {
    RetryReason.ADAPTER_MISSING -> RunOutcome.ADAPTER_MISSING
    RetryReason.SERVER_OVERLOADED -> RunOutcome.SERVER_OVERLOADED
    RetryReason.WRONG_ANSWER -> RunOutcome.WRONG_ANSWER
    RetryReason.NOT_CONNECTED, RetryReason.CONNECTION_LOST, RetryReason.RESUMED -> RunOutcome.CONNECTION_LOST
}
