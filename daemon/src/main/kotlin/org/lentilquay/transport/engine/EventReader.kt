/*
 * Reads server-sent events one by one from the body of an answer, as the event stream format of the HTML standard
 * defines them: lines of `data:`, an empty line ends an event, comments and other fields are skipped.
 */
package org.lentilquay.transport.engine

import kotlinx.coroutines.withTimeoutOrNull
import org.lentilquay.transport.describe
import org.lentilquay.transport.http.BodyReadResult
import org.lentilquay.transport.http.LineTooLongException
import org.lentilquay.transport.http.UnpooledExchange
import org.lentilquay.transport.http.readFully
import org.lentilquay.transport.runSuspendCatching

private const val STREAM_END = "[DONE]"
private const val DATA_FIELD = "data:"

/** Reads the events of [answer]; [idleMillis] bounds the time between two events. */
internal class EventReader(
    private val answer: UnpooledExchange.Answered,
    private val idleMillis: Long,
    private val maximumEventBytes: Int,
) : EngineRun {
    private var events = 0L
    private var last: StreamStep? = null

    override suspend fun next(): StreamStep = last ?: read().also { step ->
        if (step is StreamStep.Event) events++ else last = step
    }

    override suspend fun readFully(maximumBytes: Int): BodyReadResult = answer.readFully(maximumBytes, idleMillis)

    override fun close() = answer.close()

    private suspend fun read(): StreamStep {
        val outcome = runSuspendCatching { withTimeoutOrNull(idleMillis) { readEvent() } }
        val failure = outcome.exceptionOrNull()
        return when {
            failure is LineTooLongException -> lost(LossReason.EVENT_TOO_LARGE, describe(failure))
            failure != null -> lost(LossReason.CONNECTION_LOST, describe(failure))
            else -> outcome.getOrNull() ?: lost(LossReason.IDLE, "no event within $idleMillis ms")
        }
    }

    private suspend fun readEvent(): StreamStep {
        val data = mutableListOf<String>()
        var length = 0
        while (true) {
            val line = answer.body.line(maximumEventBytes)
                ?: return lost(LossReason.ENDED_EARLY, "the stream ended without $STREAM_END")
            if (line.isEmpty() && data.isNotEmpty()) {
                val text = data.joinToString("\n")
                return if (text == STREAM_END) StreamStep.Done else StreamStep.Event(text)
            }
            if (line.startsWith(DATA_FIELD)) {
                data += line.substring(DATA_FIELD.length).removePrefix(" ")
                length += line.length
                if (length > maximumEventBytes) throw LineTooLongException(maximumEventBytes)
            }
        }
    }

    private fun lost(reason: LossReason, detail: String) = StreamStep.Lost(events, reason, detail)
}
