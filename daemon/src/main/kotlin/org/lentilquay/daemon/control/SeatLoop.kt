/*
 * Keeps this VM's quota seats: reads the seat records, takes free ones and gives surplus ones up, one transaction each.
 * A seat counts only after it was read back, and it leaves the buckets before its release is sent, so that it never has
 * two holders. Docs: docs/design.md, section 4.4.
 */
package org.lentilquay.daemon.control

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.lentilquay.coordination.quota.PullPlan
import org.lentilquay.coordination.quota.SeatAction
import org.lentilquay.coordination.quota.SeatPlan
import org.lentilquay.coordination.quota.SeatReading
import org.lentilquay.coordination.quota.SeatView
import org.lentilquay.coordination.quota.TeamBuckets
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.TableItem
import org.lentilquay.state.SeatRecord
import org.lentilquay.state.VmId
import org.lentilquay.transport.platform.PlatformClient
import org.lentilquay.transport.platform.ReadResult

private val log = KotlinLogging.logger {}

class SeatLoop(
    private val plan: SeatPlan,
    private val buckets: TeamBuckets,
    private val pulls: PullPlan,
    private val platform: PlatformClient,
    private val control: ControlThread,
    private val members: suspend () -> SeatMembers,
    private val now: () -> Long,
) {
    /** The members that may hold seats, and those that are certain to be gone. */
    class SeatMembers(val live: Set<VmId>, val gone: Set<VmId>)

    /** The seats whose tokens this VM generates. */
    @Volatile
    var held: Set<Int> = emptySet()
        private set

    /** The VMs that the seat records name, as last read. */
    @Volatile
    var knownHolders: Set<VmId> = emptySet()
        private set

    /** Reads the seats, makes the changes that are due, and returns whether it changed any. */
    suspend fun review(): Boolean {
        val readings = read() ?: return false
        val present = members()
        val actions = control.decide {
            pulls.holdersChanged(plan.holders(readings))
            plan.review(SeatView(readings, present.live, present.gone))
        }
        val released = actions.filterIsInstance<SeatAction.Release>().map { it.seat }.toSet()
        hold(plan.held(readings) - released)
        actions.forEach { platform.transact(it.operations) }
        return actions.isNotEmpty()
    }

    /** Gives all seats up before a planned stop. */
    suspend fun releaseAll(own: VmId) {
        val readings = read() ?: return
        val present = members()
        val actions = control.decide { plan.review(SeatView(readings, present.live - own, present.gone)) }
        hold(emptySet())
        actions.forEach { platform.transact(it.operations) }
    }

    private suspend fun hold(seats: Set<Int>) {
        if (seats == held) return
        control.decide { buckets.seatsChanged(seats, now()) }
        held = seats
        log.info { "quota seats changed to ${seats.sorted()}" }
    }

    private suspend fun read(): Map<Int, SeatReading>? = when (val result = platform.scan("seats/")) {
        is ReadResult.Unavailable -> null
        is ReadResult.Read -> result.value.mapNotNull(::reading).toMap().also { readings ->
            knownHolders = readings.values.mapNotNullTo(HashSet()) { it.record.vm }
        }
    }

    private fun reading(item: TableItem): Pair<Int, SeatReading>? = try {
        val seat = item.key.substringAfterLast('/').toIntOrNull()
        seat?.let { it to SeatReading(Json.decodeFromString<SeatRecord>(item.value), item.version) }
    } catch (fault: SerializationException) {
        log.warn { "seat record ${item.key} is not readable: ${fault.message}" }
        null
    }
}
