/*
 * The runs that were granted on one backend server and have not been released: pins of adapters, requests in flight,
 * requests not yet confirmed by an answer, and the exclusion of crash suspects (docs/design.md, section 4.9).
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
    /** The contents that no second run may have while this run is a suspect. */
    val fingerprints: Set<String>,
    val isSuspect: Boolean,
    val estimatedTokens: Long,
    val waitedForLoad: Boolean,
    /** Whether the grant was given by a previous owner or before a pause. */
    var isInherited: Boolean,
    /** Time of the last answer that granted the run. */
    var grantedAt: Long,
) {
    val firstGrantedAt: Long = grantedAt
    var confirmedAt: Long? = null
    var goneAt: Long? = null

    /** Whether the run counts as in flight; it pins its adapter in any case. */
    var isCounted: Boolean = true

    /** Since when reports show the adapter idle. */
    var idleSince: Long? = null
}

/** All runs of a server. */
internal class RunLedger(private val policy: AllocatorPolicy) {
    private val runs = LinkedHashMap<String, Run>()
    private val pins = HashMap<AdapterVersion, Int>()
    private val fingerprints = HashMap<String, Int>()
    private val suspectFingerprints = HashMap<String, Int>()
    private val released = LinkedHashMap<String, Long>()

    var inFlight: Int = 0
        private set
    var unconfirmed: Int = 0
        private set

    /** Runs in flight that were granted since the takeover or the last pause. */
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

    /** Ends a run; a second call finds none and returns null. */
    fun remove(requestId: String): Run? {
        val run = runs.remove(requestId) ?: return null
        run.adapter?.let { pins.decrement(it) }
        run.fingerprints.forEach { fingerprints.decrement(it) }
        if (run.isSuspect) run.fingerprints.forEach { suspectFingerprints.decrement(it) }
        if (run.isCounted) count(run, -1)
        return run
    }

    fun confirm(run: Run, now: Long) {
        run.goneAt = null
        if (run.confirmedAt != null) return
        run.confirmedAt = now
        if (run.isCounted) unconfirmed--
    }

    /**
     * Marks the grants of a previous ownership, which do not count against the grants of this one. Messages that came
     * in during a pause are still unread, so a run without an answer is judged only by reports from much later on.
     */
    fun inheritAll(now: Long) {
        runs.values.forEach {
            it.isInherited = true
            it.grantedAt = now
        }
        ownInFlight = 0
    }

    /** Whether the exclusion of crash suspects keeps [request] from running now. */
    fun isExcluded(request: PeerRequest.Reserve): Boolean = when {
        suspectFingerprints.isEmpty() && request.suspectFingerprint == null -> false
        request.suspectFingerprint == null -> request.fingerprint in suspectFingerprints
        else -> suspectFingerprints.isNotEmpty() || fingerprintsOf(request).any { it in fingerprints }
    }

    fun memberGone(vm: VmId, now: Long) {
        runs.values.filter { it.from == vm && it.goneAt == null }.forEach { it.goneAt = now }
    }

    fun recordRelease(requestId: String, now: Long) {
        released[requestId] = now
    }

    fun wasReleased(requestId: String): Boolean = requestId in released

    /** Stops counting runs whose release was lost, and drops old notes of releases. */
    fun sweep(now: Long) {
        val lost = runs.values.filter { run ->
            val gone = run.goneAt
            when {
                gone != null && now - gone >= policy.orphanCountMillis -> stopCounting(run) && run.adapter == null
                now - run.firstGrantedAt >= policy.runTimeoutMillis -> stopCounting(run) && run.adapter == null
                else -> false
            }
        }
        lost.forEach { remove(it.requestId) }
        val outdated = released.entries.iterator()
        while (outdated.hasNext() && now - outdated.next().value >= policy.releaseMemoryMillis) outdated.remove()
    }

    /**
     * Ends runs that a report taken no earlier than [takenAt] proves to be over; [running] counts by engine name, with
     * the base model's requests under [baseModel]. A run without an answer ends once the report shows no more runs than
     * were answered; a run of a VM that is gone ends at the first report that shows its adapter idle. Any other run
     * ends only after reports have shown it idle for some time, because its release normally follows at once.
     */
    fun settle(running: Map<String, Int>, baseModel: String, takenAt: Long, now: Long): List<Run> {
        val answered = runs.values.filter { it.confirmedAt != null }.groupingBy { it.adapter }.eachCount()
        val ended = runs.values.filter { run ->
            val shown = running[run.adapter?.engineName ?: baseModel] ?: 0
            if (shown > 0) run.idleSince = null
            when {
                takenAt <= provableFrom(run) -> false
                run.confirmedAt == null && shown <= (answered[run.adapter] ?: 0) -> true
                shown > 0 -> false
                run.goneAt != null -> true
                else -> now - (run.idleSince ?: now.also { run.idleSince = it }) >= policy.lostReleaseMillis
            }
        }
        ended.forEach { remove(it.requestId) }
        return ended
    }

    private fun provableFrom(run: Run): Long = maxOf(
        if (run.confirmedAt == null) run.grantedAt + policy.grantSettleMillis else Long.MIN_VALUE,
        run.confirmedAt ?: Long.MIN_VALUE,
        run.goneAt ?: Long.MIN_VALUE,
    )

    private fun stopCounting(run: Run): Boolean {
        if (run.isCounted) {
            count(run, -1)
            run.isCounted = false
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

/** The contents that [request] stands for in the exclusion of suspects. */
internal fun fingerprintsOf(request: PeerRequest.Reserve): Set<String> =
    setOfNotNull(request.fingerprint, request.suspectFingerprint)
