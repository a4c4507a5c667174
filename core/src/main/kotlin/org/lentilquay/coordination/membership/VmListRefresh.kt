/*
 * Decides when this VM reads the platform's VM list. A VM relies on its last read for as long as peers confirm it:
 * probes carry a digest of the VM list and the age of the read behind it, and a more recent read with the same digest
 * counts as one of this VM. The VM list itself is never taken from a peer, so a peer that was paused can cause or delay
 * a read but cannot make a VM depart. Single-threaded use; times are monotonic milliseconds. Docs: docs/design.md,
 * section 4.12.
 */
package org.lentilquay.coordination.membership

import org.lentilquay.protocol.ListedVm
import org.lentilquay.protocol.VmListDigest
import java.nio.ByteBuffer
import java.security.MessageDigest
import kotlin.math.ln
import kotlin.random.Random

/** The minimum interval between two reads by one VM, whatever its peers report. */
const val MINIMUM_LIST_READ_INTERVAL_MILLIS: Long = 2_000

/** The age of the last confirmed read at which a VM reads the VM list itself: 4 s less the time of a slow read. */
const val MAXIMUM_LIST_AGE_MILLIS: Long = 3_000

/** The maximum ages are spread over this time, so that VMs that rely on the same read do not read all at once. */
private const val LIST_AGE_SPREAD_MILLIS = 500L

/**
 * The target rate of reads in a large fleet. With fewer than about 8 a second at 370 VMs, a read does not become known
 * to all VMs before it is too old, and the VMs that were missed read the VM list too.
 */
private const val FLEET_LIST_READS_PER_SECOND = 8

/** A longer gap between ticks means that this VM was paused; messages in its sockets may then be outdated. */
private const val PAUSE_THRESHOLD_MILLIS = 1_000L

class VmListRefresh(private val random: Random) {
    private var digest: Long? = null

    /** When the latest read was sent, by this VM or a peer, that returned a VM list with [digest]. */
    private var confirmedAt = 0L
    private var maximumAge = 0L
    private var isContradicted = false
    private var earliestAt = Long.MIN_VALUE
    private var latestAt = Long.MIN_VALUE
    private var lastTickAt: Long? = null
    private var ignoreUntil = Long.MIN_VALUE

    /** Whether this VM has to read the VM list now; to be called every 50 to 200 ms. */
    fun isDue(now: Long): Boolean {
        if (now - (lastTickAt ?: now) > PAUSE_THRESHOLD_MILLIS) ignoreUntil = now + PAUSE_THRESHOLD_MILLIS
        lastTickAt = now
        if (now < earliestAt) return false
        return digest == null || isContradicted || now - confirmedAt >= maximumAge || now >= latestAt
    }

    /** Records that a read is sent at [now], in a fleet of [members]. */
    fun readStarted(now: Long, members: Int) {
        earliestAt = now + MINIMUM_LIST_READ_INTERVAL_MILLIS
        latestAt = now + maxOf(MINIMUM_LIST_READ_INTERVAL_MILLIS, nextTurnMillis(members))
    }

    /**
     * The time until this VM's next regular read. It is exponentially distributed in a large fleet, so that reads for
     * other reasons do not change the rate. With equal intervals, each burst of reads delayed the next turns of all
     * VMs, which then came as a burst again.
     */
    private fun nextTurnMillis(members: Int): Long {
        val mean = members * MILLIS_PER_SECOND / FLEET_LIST_READS_PER_SECOND
        return if (mean <= MINIMUM_LIST_READ_INTERVAL_MILLIS) mean else (-ln(1 - random.nextDouble()) * mean).toLong()
    }

    /** Records that the read sent at [sentAt] returned [vms]. */
    fun readFinished(vms: List<ListedVm>, sentAt: Long) {
        digest = digestOf(vms)
        confirmedAt = sentAt
        maximumAge = MAXIMUM_LIST_AGE_MILLIS - random.nextLong(LIST_AGE_SPREAD_MILLIS)
        isContradicted = false
    }

    /** Handles the [view] of the VM list that a peer reported at [at] or later. */
    fun peerViewReceived(view: VmListDigest?, at: Long) {
        if (view == null || digest == null || at < ignoreUntil) return
        val peerConfirmedAt = at - view.ageMillis
        when {
            view.digest == digest -> confirmedAt = maxOf(confirmedAt, peerConfirmedAt)
            peerConfirmedAt > confirmedAt -> isContradicted = true
        }
    }

    /** The view of the VM list that this VM reports to its peers, or null before the first read. */
    fun view(now: Long): VmListDigest? = digest?.let { VmListDigest(it, now - confirmedAt) }
}

private const val MILLIS_PER_SECOND = 1_000L

/** The digest of the VM list; it does not depend on the order of [vms]. */
private fun digestOf(vms: List<ListedVm>): Long {
    val lines = vms.map { "${it.id} ${it.address} ${it.domain} ${it.kind} ${it.state}" }.sorted()
    val sha256 = MessageDigest.getInstance("SHA-256").digest(lines.joinToString("\n").encodeToByteArray())
    return ByteBuffer.wrap(sha256).getLong()
}
