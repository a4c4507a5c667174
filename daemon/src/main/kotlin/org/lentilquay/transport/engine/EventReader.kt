/*
 * Parses server-sent events from a response body, in the event stream format of the HTML standard: `data:` lines, an
 * empty line ends an event, comments and other fields are skipped.
 */
package org.lentilquay.transport.engine

import org.lentilquay.transport.InputTimeoutException
import org.lentilquay.transport.describe
import org.lentilquay.transport.http.BodyReadResult
import org.lentilquay.transport.http.LineTooLongException
import org.lentilquay.transport.http.UnpooledExchange
import org.lentilquay.transport.http.readFully
import org.lentilquay.transport.runSuspendCatching

private const val STREAM_END = "[DONE]"
private const val DATA_FIELD = "data:"

/** Reads the events of [answer]; [idleMillis] is the maximum time between two events. */
internal class EventReader(
    private val answer: UnpooledExchange.Answered,
    private val idleMillis: Long,
    private val maximumEventBytes: Int,
) : EngineRun {
    private var eventCount = 0L
    private var finalStep: StreamStep? = null

    override suspend fun next(): StreamStep = finalStep ?: read().also { step ->
        if (step is StreamStep.Event) eventCount++ else finalStep = step
    }

    override suspend fun readFully(maximumBytes: Int): BodyReadResult = answer.readFully(maximumBytes, idleMillis)

    override fun close() = answer.close()

    private suspend fun read(): StreamStep {
        val outcome = runSuspendCatching { answer.body.within(idleMillis) { readEvent() } }
        val failure = outcome.exceptionOrNull()
        return when {
            failure is InputTimeoutException -> lost(LossReason.IDLE, "no event within $idleMillis ms")
            failure is LineTooLongException -> lost(LossReason.EVENT_TOO_LARGE, describe(failure))
            failure != null -> lost(LossReason.CONNECTION_LOST, describe(failure))
            else -> outcome.getOrThrow()
        }
    }

    private suspend fun readEvent(): StreamStep {
        val data = mutableListOf<String>()
        var totalLength = 0
        while (true) {
            val line = answer.body.line(maximumEventBytes)
                ?: return lost(LossReason.ENDED_EARLY, "the stream ended without $STREAM_END")
            if (line.isEmpty() && data.isNotEmpty()) {
                val text = data.joinToString("\n")
                return if (text == STREAM_END) StreamStep.Done else StreamStep.Event(text)
            }
            if (line.startsWith(DATA_FIELD)) {
                data += line.substring(DATA_FIELD.length).removePrefix(" ")
                totalLength += line.length
                if (totalLength > maximumEventBytes) throw LineTooLongException(maximumEventBytes)
            }
        }
    }

    private fun lost(reason: LossReason, detail: String) = StreamStep.Lost(eventCount, reason, detail)
}
