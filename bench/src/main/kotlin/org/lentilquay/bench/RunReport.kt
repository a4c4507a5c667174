/*
 * The report of one run of a scenario. Times are milliseconds unless the name says otherwise. "Refused" means an error
 * that a VM answered with a refusal code; "broken" means every other end without a whole answer.
 */
package org.lentilquay.bench

import kotlinx.serialization.Serializable

@Serializable
data class Percentiles(val count: Long, val p50: Double, val p95: Double, val p99: Double, val maximum: Double)

@Serializable
data class TeamFigures(
    val team: String,
    val requests: Int,
    val answered: Int,
    val firstToken: Percentiles,
    val refused: Int,
    /** Requests inside the team's rate, and those of them with a whole answer. */
    val insideRate: Int,
    val answeredInsideRate: Int,
    /**
     * Whether a twentieth of its requests or more are over its rate. Its bucket in the fleet then admits others of its
     * requests than the bucket of the report, so only the number of its answers can be compared with [insideRate].
     */
    val isOverRate: Boolean,
)

@Serializable
data class SecondFigures(
    val second: Int,
    val requests: Int,
    val firstTokenP95: Double?,
    val refused: Int,
    val broken: Int,
)

@Serializable
data class EventFigures(val name: String, val seconds: Double)

@Serializable
data class LoadFigures(
    /** Requests that waited for a load, of those that had a whole answer, by the daemons' metrics. */
    val stalledRequests: Long,
    val stalledShare: Double,
    /** The daemons' `lentilquay_load_wait_seconds`, mean. */
    val stallMeanMillis: Double,
    /** The bounds of the buckets of that metric below which half and 95 in 100 of the waits are. */
    val stallP50AtMostMillis: Double?,
    val stallP95AtMostMillis: Double?,
    /** Loads, unloads and the least loads count from empty slots, with the requests that filled them. */
    val loads: Long,
    val unloads: Long,
    val leastLoads: Int,
    val ratio: Double,
)

@Serializable
data class DomainFigures(
    val engines: List<String>,
    /** From the first event until an engine of the domain last accepted work before its return; 0 if none did. */
    val lastNewWorkSeconds: Double,
    val acceptedAfterBound: Long,
    /** From the second event until an engine of the domain accepted work again; null if none did. */
    val firstWorkAfterReturnSeconds: Double?,
)

/** The requests that were planned between two events, or between an event and the start or the end. */
@Serializable
data class PhaseFigures(
    val name: String,
    val fromSeconds: Double,
    val untilSeconds: Double,
    val requests: Int,
    val answered: Int,
    val refusedInsideRate: Int,
    val broken: Int,
    val firstToken: Percentiles,
    /** From the start of the phase to the last request that broke or was refused inside its rate; null if none. */
    val lastFailureSeconds: Double?,
)

/** What was run, and on how busy a machine. */
@Serializable
data class RunFigures(
    val scenario: String,
    val deployment: String,
    val placement: String,
    val label: String,
    val seed: Long,
    /** Length of the trace. */
    val traceSeconds: Int,
    val requestsPerSecond: Double,
    /** From the start of the trace to the last answer. */
    val elapsedSeconds: Double,
    val loadAverageAtStart: Double,
    val loadAverageAtEnd: Double,
    val delays: String,
)

@Serializable
data class RunReport(
    val run: RunFigures,
    val requests: Int,
    val answered: Int,
    val errors: Map<String, Int>,
    /** Requests inside their team's rate, and how they were refused or broke, of the teams that keep to their rates. */
    val insideRate: Int,
    val refusedInsideRate: Map<String, Int>,
    val brokenInsideRate: Map<String, Int>,
    /** The expected waits that `overloaded` refusals told. */
    val refusedWait: Percentiles,
    val firstToken: Percentiles,
    val firstTokenOfShort: Percentiles,
    val firstTokenOfLong: Percentiles,
    val tokenGap: Percentiles,
    val teams: List<TeamFigures>,
    /** Of the teams that keep to their rates: the highest p95 of the first token over the median one. */
    val worstTeamToMedian: Double?,
    /** Of the teams that keep to their rates: the lowest share of whole answers inside the rate. */
    val leastAnsweredShareOfTeam: Double?,
    /** Mean of running requests over the engines' maximum. */
    val batchEfficiency: Double,
    /** Mean size of the batch over the steps that engines made. */
    val tokensPerStep: Double,
    val loads: LoadFigures,
    /** Counters of the engines. */
    val orders: Map<String, Long>,
    val tableReadsPerSecond: Double,
    val tableWritesPerSecond: Double,
    /** With objects and list. */
    val platformReadsPerSecond: Double,
    val platformWritesPerSecond: Double,
    val phases: List<PhaseFigures>,
    val domain: DomainFigures?,
    val events: List<EventFigures>,
    val timeline: List<SecondFigures>,
)
