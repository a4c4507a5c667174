/*
 * Tracks which requests are suspected of crashing backend servers. Each VM keeps the crashes that it saw itself or that
 * were reported to it by notices; the same notice may arrive repeatedly and in any order. Single-threaded use; times
 * are monotonic milliseconds of this VM. Docs: docs/design.md, section 4.9.
 */
package org.lentilquay.coordination.suspects

import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.ServerId

/** How long a crash counts, and therefore how long a request is quarantined after its latest crash. */
const val QUARANTINE_MILLIS: Long = 600_000

/** The number of crashes after which a request is quarantined by default. */
private const val DEFAULT_QUARANTINE_CRASHES = 2

/** A server with this many crashes by different requests is itself the likely cause. */
private const val FAULTY_SERVER_CRASHES = 3

/** Bounds memory to about 1.5 MB; a fingerprint of a crash takes about 150 bytes. */
private const val MAXIMUM_FINGERPRINTS = 10_000

/** Bounds the quarantines that are adopted from other processes; the latest are kept. */
private const val MAXIMUM_ADOPTED = 64

/** Whether a request is suspected of crashing servers. */
sealed interface SuspectVerdict {
    data object Clear : SuspectVerdict

    /** The request runs only where no other suspect runs, once at a time. */
    data class Suspect(val crashes: Int) : SuspectVerdict

    /** The request is refused (`request_quarantined`) for [remainingMillis] more. */
    data class Quarantined(val crashes: Int, val remainingMillis: Long) : SuspectVerdict
}

/** Keeps the crashes of the last [QUARANTINE_MILLIS]. A request is quarantined after [quarantineCrashes] of them. */
class SuspectTracker(private val quarantineCrashes: Int = DEFAULT_QUARANTINE_CRASHES) {
    private data class CrashId(val server: ServerId, val incarnation: Long)

    private class Crash(val at: Long, val fingerprints: LinkedHashSet<String>)

    // In order of arrival, so that the oldest is the first.
    private val crashes = LinkedHashMap<CrashId, Crash>()

    /** Quarantines that other processes decided: when they end, by the fingerprint of the request. */
    private val adopted = HashMap<String, Long>()

    /** Whether any crash or quarantine is kept. */
    val hasEvidence: Boolean get() = crashes.isNotEmpty() || adopted.isNotEmpty()

    /** The number of fingerprints kept, counted once per crash. */
    val size: Int get() = crashes.values.sumOf { it.fingerprints.size }

    /**
     * Merges a notice that [PeerRequest.SuspectNotice.server] has crashed, [ageMillis] ago if the notice comes from the
     * table service. Returns whether it contained anything new, in which case the caller forwards it.
     */
    fun merge(notice: PeerRequest.SuspectNotice, now: Long, ageMillis: Long = 0): Boolean {
        expire(now)
        val at = now - ageMillis
        if (ageMillis >= QUARANTINE_MILLIS || notice.fingerprints.isEmpty()) return false
        val id = CrashId(notice.server, notice.serverIncarnation)
        val merged = crashes.getOrPut(id) { Crash(at, LinkedHashSet()) }
        val isNew = notice.fingerprints.map { fingerprint ->
            merged.fingerprints.add(fingerprint)
        }.any { it }
        while (size > MAXIMUM_FINGERPRINTS && crashes.size > 1) crashes.remove(crashes.keys.first())
        return isNew
    }

    /**
     * Adopts a quarantine that another process has decided. The time of the first adoption is kept: processes that
     * adopt from each other convert times with small errors, which would add up.
     */
    fun adopt(fingerprint: String, until: Long, now: Long) {
        adopted.putIfAbsent(fingerprint, until)
        expire(now)
        while (adopted.size > MAXIMUM_ADOPTED) adopted.remove(adopted.minBy { it.value }.key)
    }

    /** When the quarantines end, by the fingerprint of the request. */
    fun quarantines(now: Long): Map<String, Long> {
        expire(now)
        val counts = crashes.values.flatMap { it.fingerprints }.groupingBy { it }.eachCount()
        return adopted + counts.filterValues { it >= quarantineCrashes }.keys.mapNotNull { fingerprint ->
            (verdict(fingerprint, now) as? SuspectVerdict.Quarantined)?.let { fingerprint to now + it.remainingMillis }
        }
    }

    /** The verdict on the request with [fingerprint]. */
    fun verdict(fingerprint: String, now: Long): SuspectVerdict {
        expire(now)
        val counted = crashes.filter { (id, crash) -> fingerprint in crash.fingerprints && !isFaulty(id.server) }
        val until = counted.values.maxOfOrNull { it.at }?.plus(QUARANTINE_MILLIS)
        // A request whose copies crashed two servers at the same time counts once for each server.
        val adoptedUntil = adopted[fingerprint]
        return when {
            adoptedUntil != null && counted.size < quarantineCrashes ->
                SuspectVerdict.Quarantined(counted.size, adoptedUntil - now)
            until == null -> SuspectVerdict.Clear
            counted.size < quarantineCrashes -> SuspectVerdict.Suspect(counted.size)
            else -> SuspectVerdict.Quarantined(counted.size, until - now)
        }
    }

    /** Whether [server] itself is the likely cause of its crashes, which then do not count. */
    fun isFaulty(server: ServerId, now: Long): Boolean {
        expire(now)
        return isFaulty(server)
    }

    private fun isFaulty(server: ServerId): Boolean {
        // Crashes with a request in common count once, because that request is the more likely cause.
        val seen = HashSet<String>()
        val distinctCrashes = crashes.filterKeys { it.server == server }.values.count { crash ->
            val isDistinct = crash.fingerprints.none { it in seen }
            seen += crash.fingerprints
            isDistinct
        }
        return distinctCrashes >= FAULTY_SERVER_CRASHES
    }

    private fun expire(now: Long) {
        crashes.values.removeIf { now - it.at >= QUARANTINE_MILLIS }
        adopted.values.removeIf { it <= now }
    }
}
