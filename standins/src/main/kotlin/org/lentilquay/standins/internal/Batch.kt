/*
 * Continuous batching of the model engine stand-in. In each step, every request of the batch gets one token; waiting
 * requests enter by priority as soon as a batch slot is free. Times are milliseconds of a monotonic clock unless a name
 * says otherwise. Not thread-safe: guarded by the engine's lock.
 */
package org.lentilquay.standins.internal

import org.lentilquay.standins.EngineOptions
import org.lentilquay.standins.RunStage
import org.lentilquay.standins.prefixHash

private const val NANOS_PER_MILLI = 1_000_000

internal class Batch(
    private val options: EngineOptions,
    private val cache: PrefixCache,
    private val counters: Counters,
) {
    // Stable sorting keeps requests of one priority in the order of their arrival.
    private val waiting = ArrayList<Run>()
    private val running = ArrayList<Run>()

    val size: Int get() = waiting.size + running.size
    val isFull: Boolean get() = size >= options.maximumInFlight + options.queueLimit
    val members: List<Run> get() = running + waiting

    /** Duration of a step of the current batch in nanoseconds. */
    val stepNanos: Long
        get() = (options.tokenMillis * (1 + options.slowdownPerRequest * (running.size - 1)) * NANOS_PER_MILLI).toLong()

    fun add(run: Run, now: Long) {
        waiting += run
        waiting.sortBy { it.request.priority }
        fill(now)
    }

    /** Removes [run] and sets its final [stage]. */
    fun remove(run: Run, stage: RunStage) {
        run.enter(stage)
        running.remove(run)
        waiting.remove(run)
    }

    /** Generates a token for each request whose first token is due. Returns false if a request crashes the engine. */
    fun step(now: Long): Boolean {
        fill(now)
        val due = running.filter { it.firstTokenAt <= now }
        // The first token was sent in an earlier step.
        if (due.any { it.isCrash && it.generated > 0 }) return false
        if (due.isNotEmpty()) {
            counters.count("steps")
            counters.count("tokens", due.size.toLong())
        }
        due.forEach { run ->
            run.addToken()
            if (run.progress.value.end >= run.totalTokens && !run.isCrash) remove(run, RunStage.FINISHED)
        }
        return true
    }

    private fun fill(now: Long) {
        while (running.size < options.maximumInFlight && waiting.isNotEmpty()) {
            val run = waiting.removeAt(0)
            val hit = cache.use(prefixHash(run.identity.model, run.identity.prompt), now)
            // A cached prefix halves the time to the first token.
            run.start(now, now + if (hit) options.firstTokenMillis / 2 else options.firstTokenMillis)
            running += run
        }
    }

    private val Run.isCrash: Boolean get() = options.crashMarker in request.prompt
}
