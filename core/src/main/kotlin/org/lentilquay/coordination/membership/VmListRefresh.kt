/*
 * When this VM reads the platform's list. A VM relies on what it read as long as it has heard within a few seconds of a
 * later reading that showed the same; probes carry the digest of the list and the age of the reading behind it. The
 * list itself never comes from a peer, so that a peer that was paused can cause or delay a reading but cannot make a
 * VM gone. Times are monotonic milliseconds. Docs: docs/design.md, section 4.12.
 */
package org.lentilquay.coordination.membership

import org.lentilquay.protocol.ListedVm
import org.lentilquay.protocol.VmListDigest
import java.nio.ByteBuffer
import java.security.MessageDigest
import kotlin.math.ln
import kotlin.random.Random

/** No VM reads the list more often, whatever its peers tell. */
const val LIST_INTERVAL_MILLIS: Long = 2_000

/** A VM reads the list itself once the reading that it relies on is this old; 4 s less one slow reading. */
const val LIST_AGE_MILLIS: Long = 3_000

/** The ages are spread over this time, so that VMs that rely on the same reading do not read all at once. */
private const val LIST_AGE_SPREAD_MILLIS = 500L

/**
 * Readings a second in a large fleet. At 370 VMs, with fewer than about 8, news of a reading does not reach all VMs
 * before the reading is too old, and those that were missed read the list as well.
 */
private const val FLEET_READINGS_PER_SECOND = 8

/** A longer gap between ticks means that this VM was paused; what it then finds in its sockets may be old. */
private const val PAUSE_MILLIS = 1_000L

class VmListRefresh(private val random: Random) {
    private var digest: Long? = null

    /** When a reading was sent that showed the list as this VM knows it. */
    private var shownAt = 0L
    private var maximumAge = 0L
    private var isContradicted = false
    private var earliestAt = Long.MIN_VALUE
    private var latestAt = Long.MIN_VALUE
    private var lastTickAt: Long? = null
    private var ignoreUntil = Long.MIN_VALUE

    /** Whether this VM reads the list now. To be called every 50 to 200 ms. */
    fun isDue(now: Long): Boolean {
        if (now - (lastTickAt ?: now) > PAUSE_MILLIS) ignoreUntil = now + PAUSE_MILLIS
        lastTickAt = now
        if (now < earliestAt) return false
        return digest == null || isContradicted || now - shownAt >= maximumAge || now >= latestAt
    }

    /** A reading is sent at [now], in a fleet of [members]. */
    fun readStarted(now: Long, members: Int) {
        earliestAt = now + LIST_INTERVAL_MILLIS
        latestAt = now + maxOf(LIST_INTERVAL_MILLIS, turnMillis(members))
    }

    /**
     * Exponentially distributed in a large fleet: readings that were due for other reasons then leave the rate as it
     * is. With even intervals, each burst of readings put off the next turns of all VMs, and bursts went on.
     */
    private fun turnMillis(members: Int): Long {
        val mean = members * MILLIS_PER_SECOND / FLEET_READINGS_PER_SECOND
        return if (mean <= LIST_INTERVAL_MILLIS) mean else (-ln(1 - random.nextDouble()) * mean).toLong()
    }

    /** The reading that was sent at [sentAt] showed [vms]. */
    fun readFinished(vms: List<ListedVm>, sentAt: Long) {
        digest = digestOf(vms)
        shownAt = sentAt
        maximumAge = LIST_AGE_MILLIS - random.nextLong(LIST_AGE_SPREAD_MILLIS)
        isContradicted = false
    }

    /** A peer told of its [view] at [at] or later. */
    fun peerViewReceived(view: VmListDigest?, at: Long) {
        if (view == null || digest == null || at < ignoreUntil) return
        val peerShownAt = at - view.ageMillis
        when {
            view.digest == digest -> shownAt = maxOf(shownAt, peerShownAt)
            peerShownAt > shownAt -> isContradicted = true
        }
    }

    /** What this VM tells its peers, or null before the first reading. */
    fun view(now: Long): VmListDigest? = digest?.let { VmListDigest(it, now - shownAt) }
}

private const val MILLIS_PER_SECOND = 1_000L

/** Equal for equal lists in any order. */
private fun digestOf(vms: List<ListedVm>): Long {
    val lines = vms.map { "${it.id} ${it.address} ${it.domain} ${it.kind} ${it.state}" }.sorted()
    val sha256 = MessageDigest.getInstance("SHA-256").digest(lines.joinToString("\n").encodeToByteArray())
    return ByteBuffer.wrap(sha256).getLong()
}
