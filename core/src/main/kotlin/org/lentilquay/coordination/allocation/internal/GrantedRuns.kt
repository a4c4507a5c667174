/*
 * The granted and not yet released runs of one backend server. Counts adapter pins, requests in flight and requests
 * that no answer has confirmed, and keeps suspect requests from running together (docs/design.md, section 4.9).
 */
package org.lentilquay.coordination.allocation.internal

import org.lentilquay.coordination.allocation.AllocatorPolicy
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.VmId

/** One granted run. */
internal class Run(
    val requestId: String,
    val adapter: AdapterVersion?,
    val from: VmId,
    /** The fingerprints that no second run may have while this run is a suspect request. */
    val fingerprints: Set<String>,
    val isSuspect: Boolean,
    val estimatedTokens: Long,
    val waitedForLoad: Boolean,
    /** Whether a previous owner granted the run, or this one before a suspension. */
    var isInherited: Boolean,
    /** Time of the last granting answer. */
    var grantedAt: Long,
) {
    val firstGrantedAt: Long = grantedAt

    /** When the server's first answer was reported; null while the run is unconfirmed. */
    var confirmedAt: Long? = null

    /** When the VM of the run departed. */
    var memberGoneAt: Long? = null

    /** Whether the run counts as in flight. It pins its adapter in any case. */
    var isInFlight: Boolean = true

    /** Since when reports have shown the adapter idle. */
    var idleSince: Long? = null
}

/** The granted runs of one server. */
internal class GrantedRuns(private val policy: AllocatorPolicy) {
    private val runs = LinkedHashMap<String, Run>()
    private val pins = HashMap<AdapterVersion, Int>()
    private val fingerprints = HashMap<String, Int>()
    private val suspectFingerprints = HashMap<String, Int>()
    private val released = LinkedHashMap<String, Long>()

    var inFlight: Int = 0
        private set
    var unconfirmed: Int = 0
        private set

    /** Runs in flight that were granted since the takeover or the last suspension. */
    var ownInFlight: Int = 0
        private set

    val pinnedAdapters: Set<AdapterVersion> get() = pins.keys

    operator fun get(requestId: String): Run? = runs[requestId]

    fun pins(adapter: AdapterVersion): Int = pins[adapter] ?: 0

    fun add(run: Run) {
        runs[run.requestId] = run
        run.adapter?.let { pins.merge(it, 1, Int::plus) }
        run.fingerprints.forEach { fingerprints.merge(it, 1, Int::plus) }
        if (run.isSuspect) run.fingerprints.forEach { suspectFingerprints.merge(it, 1, Int::plus) }
        count(run, 1)
    }

    /** Ends a run; returns null if there is none. */
    fun remove(requestId: String): Run? {
        val run = runs.remove(requestId) ?: return null
        run.adapter?.let { pins.decrement(it) }
        run.fingerprints.forEach { fingerprints.decrement(it) }
        if (run.isSuspect) run.fingerprints.forEach { suspectFingerprints.decrement(it) }
        if (run.isInFlight) count(run, -1)
        return run
    }

    fun confirm(run: Run, now: Long) {
        run.memberGoneAt = null
        if (run.confirmedAt != null) return
        run.confirmedAt = now
        if (run.isInFlight) unconfirmed--
    }

    /**
     * Marks all runs as inherited, so that they do not count against this owner's grants. Messages that arrived during
     * a suspension are still unread, so only reports from well after it can end a run without an answer.
     */
    fun inheritAll(now: Long) {
        runs.values.forEach {
            it.isInherited = true
            it.grantedAt = now
        }
        ownInFlight = 0
    }

    /** Whether [request] must not run now because of a suspect request. */
    fun isExcluded(request: PeerRequest.Reserve): Boolean = when {
        suspectFingerprints.isEmpty() && request.suspectFingerprint == null -> false
        request.suspectFingerprint == null -> request.fingerprint in suspectFingerprints
        else -> suspectFingerprints.isNotEmpty() || fingerprintsOf(request).any { it in fingerprints }
    }

    fun memberGone(vm: VmId, now: Long) {
        runs.values.filter { it.from == vm && it.memberGoneAt == null }.forEach { it.memberGoneAt = now }
    }

    fun recordRelease(requestId: String, now: Long) {
        released[requestId] = now
    }

    fun wasReleased(requestId: String): Boolean = requestId in released

    /** Stops counting runs whose release was lost, and drops old releases. */
    fun sweep(now: Long) {
        val lost = runs.values.filter { run ->
            val gone = run.memberGoneAt
            when {
                gone != null && now - gone >= policy.orphanedRunMillis -> stopCounting(run) && run.adapter == null
                now - run.firstGrantedAt >= policy.runTimeoutMillis -> stopCounting(run) && run.adapter == null
                else -> false
            }
        }
        lost.forEach { remove(it.requestId) }
        val outdated = released.entries.iterator()
        while (outdated.hasNext() && now - outdated.next().value >= policy.releaseMemoryMillis) outdated.remove()
    }

    /**
     * Ends the runs that a report taken at [takenAt] or later proves to be over, and returns them. [running] counts
     * requests by the engine's name of their adapter, those of the base model by [baseModel]. A run without an answer
     * ends once the report shows no more runs than were answered. A run of a departed VM ends at the first report that
     * shows its adapter idle. Any other run ends only after reports have shown its adapter idle for some time, because
     * its release normally arrives by then.
     */
    fun endFinished(running: Map<String, Int>, baseModel: String, takenAt: Long, now: Long): List<Run> {
        val answered = runs.values.filter { it.confirmedAt != null }.groupingBy { it.adapter }.eachCount()
        val ended = runs.values.filter { run ->
            val shown = running[run.adapter?.engineName ?: baseModel] ?: 0
            if (shown > 0) run.idleSince = null
            when {
                takenAt <= provableAfter(run) -> false
                run.confirmedAt == null && shown <= (answered[run.adapter] ?: 0) -> true
                shown > 0 -> false
                run.memberGoneAt != null -> true
                else -> now - (run.idleSince ?: now.also { run.idleSince = it }) >= policy.lostReleaseMillis
            }
        }
        ended.forEach { remove(it.requestId) }
        return ended
    }

    private fun provableAfter(run: Run): Long = maxOf(
        if (run.confirmedAt == null) run.grantedAt + policy.grantExpiryMillis else Long.MIN_VALUE,
        run.confirmedAt ?: Long.MIN_VALUE,
        run.memberGoneAt ?: Long.MIN_VALUE,
    )

    private fun stopCounting(run: Run): Boolean {
        if (run.isInFlight) {
            count(run, -1)
            run.isInFlight = false
        }
        return true
    }

    private fun count(run: Run, change: Int) {
        inFlight += change
        if (run.confirmedAt == null) unconfirmed += change
        if (!run.isInherited) ownInFlight += change
    }

    private fun <K> HashMap<K, Int>.decrement(key: K) {
        computeIfPresent(key) { _, count -> (count - 1).takeIf { it > 0 } }
    }
}

/** The fingerprints of [request] in the exclusion of suspect requests. */
internal fun fingerprintsOf(request: PeerRequest.Reserve): Set<String> =
    setOfNotNull(request.fingerprint, request.suspectFingerprint)
