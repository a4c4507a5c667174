/*
 * The report of one run of a scenario. Times are milliseconds unless the name says otherwise. "Refused"
 * requests got an error with a refusal code; "broken" ones ended in any other way without a complete answer.
 */
package org.lentilquay.bench

import kotlinx.serialization.Serializable

@Serializable
data class Percentiles(val count: Long, val p50: Double, val p95: Double, val p99: Double, val maximum: Double)

@Serializable
data class TeamStatistics(
    val team: String,
    val requests: Int,
    val answered: Int,
    val firstToken: Percentiles,
    val refused: Int,
    /** Requests within the team's rate; [answeredInsideRate] counts those of them with a complete answer. */
    val insideRate: Int,
    val answeredInsideRate: Int,
    /**
     * Whether at least a twentieth of the team's requests are over its rate. The token bucket of the fleet then admits
     * other requests than that of the report, so only the number of answers can be compared with [insideRate].
     */
    val isOverRate: Boolean,
)

@Serializable
data class SecondStatistics(
    val second: Int,
    val requests: Int,
    val firstTokenP95: Double?,
    val refused: Int,
    val broken: Int,
)

@Serializable
data class EventEntry(val name: String, val seconds: Double)

@Serializable
data class LoadStatistics(
    /** Requests with a complete answer that waited for an adapter load, by the daemons' metrics. */
    val stalledRequests: Long,
    val stalledShare: Double,
    /** Mean of the daemons' `lentilquay_load_wait_seconds`. */
    val stallMeanMillis: Double,
    /** Upper bounds of the buckets of that metric that contain the 50th and the 95th percentile. */
    val stallP50AtMostMillis: Double?,
    val stallP95AtMostMillis: Double?,
    /** Loads, unloads and the minimum number of loads count from empty adapter slots, warm-up requests included. */
    val loads: Long,
    val unloads: Long,
    val leastLoads: Int,
    val ratio: Double,
)

@Serializable
data class DomainStatistics(
    val engines: List<String>,
    /** From the first event to the last work that an engine of the domain accepted before its return; 0 if none. */
    val lastNewWorkSeconds: Double,
    val acceptedAfterBound: Long,
    /** From the second event to the first time that an engine of the domain accepted work; null if none did. */
    val firstWorkAfterReturnSeconds: Double?,
)

/** Statistics of the requests planned between two events, or between an event and the start or end of the run. */
@Serializable
data class PhaseStatistics(
    val name: String,
    val fromSeconds: Double,
    val untilSeconds: Double,
    val requests: Int,
    val answered: Int,
    val refusedInsideRate: Int,
    val broken: Int,
    val firstToken: Percentiles,
    /** From the start of the phase to its last request that broke or was refused within the rate; null if none. */
    val lastFailureSeconds: Double?,
)

/** The parameters of the run, and the load average of the machine. */
@Serializable
data class RunDetails(
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
    val run: RunDetails,
    val requests: Int,
    val answered: Int,
    val errors: Map<String, Int>,
    /** Requests within the rate, of teams that keep to their rates, and the error codes of those refused or broken. */
    val insideRate: Int,
    val refusedInsideRate: Map<String, Int>,
    val brokenInsideRate: Map<String, Int>,
    /** The expected waits in `overloaded` refusals. */
    val refusedWait: Percentiles,
    val firstToken: Percentiles,
    val firstTokenOfShort: Percentiles,
    val firstTokenOfLong: Percentiles,
    val tokenGap: Percentiles,
    val teams: List<TeamStatistics>,
    /** Of the teams that keep to their rates: ratio of the highest to the median p95 of the first token. */
    val worstTeamToMedian: Double?,
    /** Of the teams that keep to their rates: the lowest ratio of complete answers to requests within the rate. */
    val leastAnsweredShareOfTeam: Double?,
    /** Ratio of the mean number of running requests to the engines' maximum. */
    val batchEfficiency: Double,
    /** Mean batch size of the engines' steps. */
    val tokensPerStep: Double,
    val loads: LoadStatistics,
    /** Counters of the engines. */
    val orders: Map<String, Long>,
    val tableReadsPerSecond: Double,
    val tableWritesPerSecond: Double,
    /** Table, objects and VM list. */
    val platformReadsPerSecond: Double,
    val platformWritesPerSecond: Double,
    val phases: List<PhaseStatistics>,
    val domain: DomainStatistics?,
    val events: List<EventEntry>,
    val timeline: List<SecondStatistics>,
)
