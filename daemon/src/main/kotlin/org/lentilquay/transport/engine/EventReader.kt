/*
 * Reads server-sent events one by one from the body of an answer, as the event stream format of the HTML standard
 * defines them: lines of `data:`, an empty line ends an event, comments and other fields are skipped. Nothing is read
 * ahead beyond the bounded buffer of the connection, so a slow reader slows the engine down.
 */
package org.lentilquay.transport.engine

import io.ktor.utils.io.readLineStrict
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.lentilquay.transport.http.Exchange
import org.lentilquay.transport.http.WholeBody
import org.lentilquay.transport.http.attempt
import org.lentilquay.transport.http.describe
import org.lentilquay.transport.http.readWhole

private const val STREAM_END = "[DONE]"
private const val DATA_FIELD = "data:"

/** Reads the events of [answer]; [idleMillis] bounds the time between two events. */
internal class EventReader(
    private val answer: Exchange.Answered,
    private val idleMillis: Long,
    private val maximumEventBytes: Int,
) : EngineRun {
    private var events = 0L
    private var last: StreamStep? = null

    override suspend fun next(): StreamStep = last ?: read().also { step ->
        if (step is StreamStep.Event) events++ else last = step
    }

    override suspend fun whole(maximumBytes: Int): WholeBody = answer.readWhole(maximumBytes, idleMillis)

    override fun close() = answer.close()

    private suspend fun read(): StreamStep {
        val outcome = attempt { withTimeoutOrNull(idleMillis) { readEvent() } }
        val failure = outcome.exceptionOrNull()
        return when {
            failure is EventTooLargeException -> lost(LossReason.EVENT_TOO_LARGE, describe(failure))
            failure != null -> lost(LossReason.CONNECTION_LOST, describe(failure))
            else -> outcome.getOrNull() ?: lost(LossReason.IDLE, "no event within $idleMillis ms")
        }
    }

    private suspend fun readEvent(): StreamStep {
        val data = StringBuilder()
        var hasData = false
        while (true) {
            val line = readLine() ?: return endOfBody()
            if (line.isEmpty() && hasData) {
                return if (data.contentEquals(STREAM_END)) StreamStep.Done else StreamStep.Event(data.toString())
            }
            if (line.startsWith(DATA_FIELD)) {
                if (hasData) data.append('\n')
                data.append(line.substring(DATA_FIELD.length).removePrefix(" "))
                hasData = true
                if (data.length > maximumEventBytes) throw EventTooLargeException(maximumEventBytes)
            }
        }
    }

    private suspend fun readLine(): String? =
        try {
            answer.body.readLineStrict(maximumEventBytes.toLong())
        } catch (failure: io.ktor.utils.io.charsets.TooLongLineException) {
            throw EventTooLargeException(maximumEventBytes, failure)
        }

    private fun endOfBody(): StreamStep {
        val cause = answer.body.closedCause
        return if (cause == null) {
            lost(LossReason.ENDED_EARLY, "the stream ended without $STREAM_END")
        } else {
            lost(LossReason.CONNECTION_LOST, describe(cause))
        }
    }

    private fun lost(reason: LossReason, detail: String) = StreamStep.Lost(events, reason, detail)
}

private class EventTooLargeException(maximumBytes: Int, cause: Throwable? = null) :
    IOException("event longer than $maximumBytes bytes", cause)
