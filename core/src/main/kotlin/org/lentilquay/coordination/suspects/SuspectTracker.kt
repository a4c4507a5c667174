/*
 * Which requests are suspected of crashing backend servers. Each VM keeps the crashes it saw or was told of; the same
 * notice may arrive any number of times and in any order. Times are monotonic milliseconds of this VM.
 * Docs: docs/design.md, section 4.9.
 */
package org.lentilquay.coordination.suspects

import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.ServerId

/** How long a crash counts, and how long a request is quarantined after its latest crash. */
const val QUARANTINE_MILLIS: Long = 600_000

/** A request that crashed this many servers is quarantined, unless [SuspectTracker] is told otherwise. */
private const val QUARANTINE_CRASHES = 2

/** A server that crashed this often with different requests is itself the likely cause. */
private const val FAULTY_SERVER_CRASHES = 3

/** Bounds memory: a fingerprint of a crash takes about 150 bytes, so this is about 1.5 MB. */
private const val MAXIMUM_FINGERPRINTS = 10_000

/** What is known of a request. */
sealed interface SuspectVerdict {
    data object Clear : SuspectVerdict

    /** The request runs only where no other suspect runs, once at a time. */
    data class Suspect(val crashes: Int) : SuspectVerdict

    /** The request is refused (`request_quarantined`) for [remainingMillis] more. */
    data class Quarantined(val crashes: Int, val remainingMillis: Long) : SuspectVerdict
}

/** The crashes of the last 10 min. A request is quarantined after [quarantineCrashes] of them. */
class SuspectTracker(private val quarantineCrashes: Int = QUARANTINE_CRASHES) {
    private data class CrashId(val server: ServerId, val incarnation: Long)

    private class Crash(val at: Long, val fingerprints: LinkedHashSet<String>)

    // In the order of arrival, so the eldest is the first.
    private val crashes = LinkedHashMap<CrashId, Crash>()

    /** The number of fingerprints that are kept, counted once for each crash. */
    val size: Int get() = crashes.values.sumOf { it.fingerprints.size }

    /**
     * Merges a notice that [PeerRequest.SuspectNotice.server] was lost. [ageMillis] is how long ago it was, if the
     * notice comes from the table. Returns whether it told anything new, so that it is to be sent on.
     */
    fun merge(notice: PeerRequest.SuspectNotice, now: Long, ageMillis: Long = 0): Boolean {
        expire(now)
        val at = now - ageMillis
        if (ageMillis >= QUARANTINE_MILLIS || notice.fingerprints.isEmpty()) return false
        val id = CrashId(notice.server, notice.serverIncarnation)
        val known = crashes.getOrPut(id) { Crash(at, LinkedHashSet()) }
        val isNew = notice.fingerprints.map { fingerprint ->
            known.fingerprints.add(fingerprint)
        }.any { it }
        while (size > MAXIMUM_FINGERPRINTS && crashes.size > 1) crashes.remove(crashes.keys.first())
        return isNew
    }

    /** What is known of the request with [fingerprint]. */
    fun verdict(fingerprint: String, now: Long): SuspectVerdict {
        expire(now)
        val counted = crashes.filter { (id, crash) -> fingerprint in crash.fingerprints && !isFaulty(id.server) }
        val until = counted.values.maxOfOrNull { it.at }?.plus(QUARANTINE_MILLIS)
        // A request that crashed two servers at the same time, by a copy, counts once for each.
        return when {
            until == null -> SuspectVerdict.Clear
            counted.size < quarantineCrashes -> SuspectVerdict.Suspect(counted.size)
            else -> SuspectVerdict.Quarantined(counted.size, until - now)
        }
    }

    /** Whether [server] crashed 3 times in 10 min with different requests, so that its crashes do not count. */
    fun isFaulty(server: ServerId, now: Long): Boolean {
        expire(now)
        return isFaulty(server)
    }

    private fun isFaulty(server: ServerId): Boolean {
        // Crashes that share a request count once, because that request is their likelier cause.
        val seen = HashSet<String>()
        val different = crashes.filterKeys { it.server == server }.values.count { crash ->
            val isDifferent = crash.fingerprints.none { it in seen }
            seen += crash.fingerprints
            isDifferent
        }
        return different >= FAULTY_SERVER_CRASHES
    }

    private fun expire(now: Long) {
        crashes.values.removeIf { now - it.at >= QUARANTINE_MILLIS }
    }
}
