/*
 * The true time of the fleet on this VM, and since when the present era of the table service is in force. Accessed on
 * the control thread only.
 */
package org.lentilquay.daemon.gateway

import org.lentilquay.coordination.gateway.usage.TableClockEstimate
import org.lentilquay.coordination.gateway.usage.medianOf

/** [wallOffsets] are the differences between wall clock and table clock that the live VMs publish. */
class FleetTime(
    private val clock: TableClock,
    private val wallOffsets: () -> Collection<Long>,
    private val now: () -> Long,
) {
    private val estimate = TableClockEstimate()
    private var medianOffset: Long? = null
    private var eraFirstSeen: Long? = null

    /** The highest era in any answer of the table service; null if it has sent none. */
    var era: Long? = null
        private set

    /** The true time minus the monotonic clock; null while it is not known. */
    val offsetMillis: Long? get() = medianOffset?.let { median -> estimate.offsetMillis?.plus(median) }
    val trueMillis: Long? get() = offsetMillis?.plus(now())
    val tableMillis: Long? get() = estimate.offsetMillis?.plus(now())

    /**
     * The table time since which the present era is in force, as far as this process knows: when it first saw an answer
     * of the era. Null if the table service has never returned from a copy.
     */
    val eraBeganTableMillis: Long? get() = eraFirstSeen.takeIf { (era ?: 0) > 0 }

    /** The true time at the table time [millis]. */
    fun trueOf(millis: Long): Long? = medianOffset?.plus(millis)

    /** Takes in the latest answers of the table service. Call several times a second. */
    fun update() {
        clock.latestMillis?.let { estimate.observe(it, now()) }
        medianOf(wallOffsets())?.let { medianOffset = it }
        val latestEra = clock.latestEra
        if (latestEra != era) {
            era = latestEra
            eraFirstSeen = tableMillis
        }
    }
}
