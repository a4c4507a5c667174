/*
 * Estimates the wait of a request from exponential moving averages of run and load times. The estimate decides about
 * spilling and early refusals, never about whether a run may start.
 */
package org.lentilquay.coordination.allocation.internal

import org.lentilquay.coordination.allocation.AllocatorPolicy
import kotlin.math.pow

/** Averages of the recent runs and loads of one server, in milliseconds and estimated tokens. */
internal class WaitEstimator(private val policy: AllocatorPolicy) {
    private var service: Double = policy.initialServiceMillis.toDouble()
    private var load: Double = policy.initialLoadMillis.toDouble()
    private var loadedAt = 0L
    private var tokens: Double = 0.0

    val serviceMillis: Long get() = service.toLong()

    fun observeRun(millis: Long, estimatedTokens: Long) {
        service = average(service, millis.toDouble())
        tokens = if (tokens == 0.0) estimatedTokens.toDouble() else average(tokens, estimatedTokens.toDouble())
    }

    /**
     * A load ended [millis] after it was planned behind [loadsAhead] others. Only its own part of that time counts,
     * because the estimate for a load adds the loads ahead of it again. Counting them twice refused requests that had
     * enough time.
     */
    fun observeLoad(millis: Long, loadsAhead: Int, now: Long) {
        load = average(expectedLoad(now), millis / behind(loadsAhead))
        loadedAt = now
    }

    /** The wait behind [tokensAhead] queued tokens while [freeGrants] of [limit] runs may be granted. */
    fun queueMillis(tokensAhead: Double, freeGrants: Int, limit: Int): Long {
        val requestsAhead = if (tokens <= 0.0) 0.0 else tokensAhead / tokens
        val ends = (requestsAhead + 1 - freeGrants).coerceAtLeast(0.0)
        return (ends * service / limit.coerceAtLeast(1)).toLong()
    }

    /** The wait for a load behind [loadsAhead] others. */
    fun loadMillis(loadsAhead: Int, now: Long): Long = (expectedLoad(now) * behind(loadsAhead)).toLong()

    /**
     * Decays to the initial value while no load ends. Otherwise an estimate above the maximum wait of requests would
     * refuse every request that needs a load, and without loads it would never be corrected.
     */
    private fun expectedLoad(now: Long): Double {
        val initial = policy.initialLoadMillis.toDouble()
        val age = (now - loadedAt).toDouble() / policy.loadEstimateHalfLifeMillis
        return initial + (load - initial) * HALF.pow(age)
    }

    /** The time until a load behind [loadsAhead] others has ended, as a multiple of the time of one load. */
    private fun behind(loadsAhead: Int): Double = 1 + loadsAhead.toDouble() / PARALLEL_LOADS

    private fun average(old: Double, sample: Double): Double = old + policy.averageWeight * (sample - old)

    private companion object {
        /** Parallel loads that the weight store serves at full speed (docs/design.md, section 1.5). */
        const val PARALLEL_LOADS = 2
        const val HALF = 0.5
    }
}
