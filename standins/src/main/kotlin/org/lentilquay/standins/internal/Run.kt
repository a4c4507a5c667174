/*
 * One accepted request of the model engine stand-in: what was asked, what the engine answers it with, and how far it
 * has come. Times are milliseconds of a monotonic clock.
 */
package org.lentilquay.standins.internal

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import org.lentilquay.standins.DeterministicOutput
import org.lentilquay.standins.EngineRun
import org.lentilquay.standins.RunStage
import org.lentilquay.standins.promptHash

/** What an answer is for. A correct engine answers for the model and request that it was asked for. */
internal data class AnswerIdentity(val requestId: String, val model: String, val prompt: String)

/** The tokens up to, but without, [end] are generated. */
internal data class Progress(val end: Int, val stage: RunStage)

internal class Run(
    val request: InferenceRequest,
    val identity: AnswerIdentity,
    val incarnation: Long,
    /** The number of tokens of the whole answer. */
    val totalTokens: Int,
    val acceptedAt: Long,
) {
    private val mutableProgress = MutableStateFlow(Progress(request.fromIndex, RunStage.QUEUED))

    val output: DeterministicOutput = DeterministicOutput(identity.model, identity.prompt)

    /** From this index on, chunks are those of another answer. */
    var strayFrom = Int.MAX_VALUE
    val progress: StateFlow<Progress> get() = mutableProgress
    val stage: RunStage get() = mutableProgress.value.stage
    val generated: Int get() = mutableProgress.value.end - request.fromIndex
    val isStoppedBySize: Boolean get() = totalTokens < request.maximumTokens

    /** Connections that receive the answer now, initially that of the request. */
    var readers = 1

    /** Rises with each reader that goes, so that only the last departure starts the time to the end of the run. */
    var departures = 0

    /** The number of the run's record. */
    var number = 0L
    var startedAt: Long? = null
    var firstTokenAt: Long = 0

    fun start(now: Long, firstTokenAt: Long) {
        startedAt = now
        this.firstTokenAt = firstTokenAt
        enter(RunStage.RUNNING)
    }

    fun addToken() {
        val end = minOf(mutableProgress.value.end + 1, totalTokens)
        mutableProgress.value = Progress(end, RunStage.RUNNING)
    }

    fun enter(stage: RunStage) {
        if (!this.stage.isOver) mutableProgress.value = mutableProgress.value.copy(stage = stage)
    }

    fun snapshot(clockOffset: Long, withBody: Boolean): EngineRun = EngineRun(
        requestId = request.id,
        model = request.model,
        servedModel = identity.model,
        promptHash = promptHash(request.prompt),
        headers = request.headers,
        priority = request.priority,
        fromIndex = request.fromIndex,
        tokens = generated,
        stage = stage,
        incarnation = incarnation,
        acceptedMillis = acceptedAt + clockOffset,
        startedMillis = startedAt?.plus(clockOffset),
        body = request.body.takeIf { withBody },
    )
}
