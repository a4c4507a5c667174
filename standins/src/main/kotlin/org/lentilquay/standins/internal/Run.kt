/*
 * One accepted request of the model engine stand-in: the request, the identity that its answer is generated for, and
 * its progress. Times are milliseconds of a monotonic clock.
 */
package org.lentilquay.standins.internal

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import org.lentilquay.standins.DeterministicOutput
import org.lentilquay.standins.EngineRun
import org.lentilquay.standins.RunStage
import org.lentilquay.standins.promptHash

/** The request and model that an answer is generated for; those of the request, unless a fault is switched on. */
internal data class AnswerIdentity(val requestId: String, val model: String, val prompt: String)

/** The tokens before index [end] are generated. */
internal data class Progress(val end: Int, val stage: RunStage)

internal class Run(
    val request: InferenceRequest,
    val identity: AnswerIdentity,
    val incarnation: Long,
    /** Number of tokens of the complete answer. */
    val totalTokens: Int,
    val acceptedAt: Long,
) {
    private val mutableProgress = MutableStateFlow(Progress(request.fromIndex, RunStage.QUEUED))

    val output: DeterministicOutput = DeterministicOutput(identity.model, identity.prompt)

    /** From this index on, chunks of another answer are sent. */
    var strayFromIndex = Int.MAX_VALUE
    val progress: StateFlow<Progress> get() = mutableProgress
    val stage: RunStage get() = mutableProgress.value.stage
    val generated: Int get() = mutableProgress.value.end - request.fromIndex
    val isStoppedBySize: Boolean get() = totalTokens < request.maximumTokens

    /** Number of connections that receive the answer; initially that of the request. */
    var readers = 1

    /** Number of readers that have left. Only the timeout of the latest departure may cancel the run. */
    var departures = 0

    /** Number of the record of this run. */
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
