/*
 * Counts the requests of one process, by team and window, and the demand for each service. Safe for use from any
 * thread: a request adds to a map, and nothing waits.
 */
package org.lentilquay.coordination.gateway.usage

import org.lentilquay.state.TeamId
import org.lentilquay.state.gateway.DemandRecord
import org.lentilquay.state.gateway.UsageRecord
import java.util.TreeMap

/** Windows before the present one that each record repeats, so that records of a time without writes are not missed. */
const val REPEATED_WINDOWS: Int = 6

/** Requests that are kept until the true time is known for the first time, normally within a second. */
private const val MAXIMUM_UNPLACED = 100_000

class UsageCounter(private val windowMillis: Long) {
    private val windows = TreeMap<Long, HashMap<TeamId, Long>>()
    private val unplaced = ArrayList<Pair<TeamId, Long>>()
    private val arrivals = HashMap<String, Long>()
    private val refusals = HashMap<String, Long>()
    private val waiting = HashMap<String, Long>()
    private var offsetMillis: Long? = null
    private var beganMillis = 0L
    private var completeMillis = Long.MIN_VALUE
    private var recordedAt: Long? = null

    /** Sets the true time minus the monotonic clock. */
    @Synchronized
    fun setOffset(millis: Long, now: Long) {
        if (offsetMillis == null) {
            beganMillis = now + millis
            unplaced.forEach { (team, at) -> add(team, at + millis) }
            unplaced.clear()
        }
        offsetMillis = millis
    }

    /** Counts a request of [team] that began to run at [now] of the monotonic clock. */
    @Synchronized
    fun began(team: TeamId, now: Long) {
        val offset = offsetMillis
        if (offset != null) add(team, now + offset) else if (unplaced.size < MAXIMUM_UNPLACED) unplaced += team to now
    }

    // A time that a record has called complete gets no more counts, also when the true time is set back.
    private fun add(team: TeamId, trueMillis: Long) {
        val window = maxOf(trueMillis, completeMillis).floorDiv(windowMillis)
        windows.getOrPut(window) { HashMap() }.merge(team, 1, Long::plus)
    }

    @Synchronized
    fun arrived(service: String) {
        arrivals.merge(service, 1, Long::plus)
    }

    @Synchronized
    fun refused(service: String) {
        refusals.merge(service, 1, Long::plus)
    }

    /** Adds [change] to the number of requests for [service] that wait for a backend server. */
    @Synchronized
    fun waitingChanged(service: String, change: Long) {
        waiting.merge(service, change, Long::plus)
    }

    /** The record as of [now], which begins a new time of demand; null while the true time is not known. */
    @Synchronized
    fun record(now: Long, isFinal: Boolean): UsageRecord? {
        val offset = offsetMillis ?: return null
        completeMillis = maxOf(completeMillis, now + offset)
        windows.headMap(completeMillis.floorDiv(windowMillis) - REPEATED_WINDOWS).clear()
        val teams = windows.values.flatMapTo(HashSet()) { it.keys }.sortedBy { it.text }
        val services = arrivals.keys + refusals.keys + waiting.filterValues { it > 0 }.keys
        val record = UsageRecord(
            completeMillis,
            beganMillis,
            isFinal,
            teams,
            windows.mapValues { (_, counts) -> teams.map { counts[it] ?: 0 }.dropLastWhile { it == 0L } },
            now - (recordedAt ?: now),
            services.associateWith {
                DemandRecord(arrivals[it] ?: 0, (waiting[it] ?: 0).coerceAtLeast(0), refusals[it] ?: 0)
            },
        )
        arrivals.clear()
        refusals.clear()
        recordedAt = now
        return record
    }
}
