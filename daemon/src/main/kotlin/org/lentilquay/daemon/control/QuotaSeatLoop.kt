/*
 * Acquires and releases this VM's quota seats. A quota seat is one of the equal shares of every team's token bucket and
 * is held by one VM. The loop reads the seat records, acquires free seats and releases surplus ones, concurrently, in
 * one transaction each. A seat is removed from the buckets before its release is sent, so that two VMs never use it at
 * the same time. Docs: docs/design.md, section 4.4.
 */
package org.lentilquay.daemon.control

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import org.lentilquay.coordination.quota.SeatAction
import org.lentilquay.coordination.quota.SeatReading
import org.lentilquay.coordination.quota.SeatTracker
import org.lentilquay.coordination.quota.TeamBuckets
import org.lentilquay.coordination.quota.TransferPlanner
import org.lentilquay.daemon.logs.event
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.TableItem
import org.lentilquay.state.QuotaSeatRecord
import org.lentilquay.state.VmId
import org.lentilquay.transport.platform.ReadResult
import org.lentilquay.transport.platform.TableService

private val log = KotlinLogging.logger {}

class QuotaSeatLoop(
    private val tracker: SeatTracker,
    private val buckets: TeamBuckets,
    private val transfers: TransferPlanner,
    private val platform: TableService,
    private val control: ControlThread,
    private val members: suspend () -> SeatMembers,
    private val now: () -> Long,
) {
    /** The members that may hold seats, and the former seat holders that have departed permanently. */
    class SeatMembers(val live: Set<VmId>, val gone: Set<VmId>)

    /** The seats that this VM holds, whose tokens its buckets generate. */
    @Volatile
    var held: Set<Int> = emptySet()
        private set

    /** The seat holders according to the seat records, as last read. */
    @Volatile
    var knownHolders: Set<VmId> = emptySet()
        private set

    /** Reads the seat records and acquires or releases seats as due. */
    suspend fun review() = review { it }

    /** Releases all seats before a planned stop. */
    suspend fun releaseAll(own: VmId) = review { it - own }

    private suspend fun review(candidates: (Set<VmId>) -> Set<VmId>) {
        val read = read() ?: return
        val present = members()
        val actions = control.decide {
            val formerEra = tracker.era
            val isUsable = tracker.observed(read.value, read.era, now())
            if (tracker.era != formerEra) {
                val seats = held.sorted()
                log.event("quota seats in a new era", "era" to tracker.era, "former" to formerEra, "held" to seats)
            }
            val reviewed =
                if (isUsable) tracker.review(candidates(present.live), present.gone, now()) else emptyList()
            reviewed.also { updateBuckets() }
        }
        // Concurrently, because a restarted process has no tokens for its teams until it has acquired its seats.
        coroutineScope { actions.forEach { launch { execute(it, read.era) } } }
    }

    private suspend fun execute(action: SeatAction, readEra: Long?) {
        val result = platform.write(action.operations, readEra)
        control.decide {
            tracker.written(action, result)
            updateBuckets()
        }
    }

    /** Updates the buckets to the seats that are held. Call on the control thread. */
    private fun updateBuckets() {
        transfers.holdersChanged(tracker.holders)
        knownHolders = tracker.holders.keys
        val seats = tracker.held
        if (seats == held) return
        buckets.seatsChanged(seats, now(), tracker.reclaimed)
        held = seats
        log.event("quota seats changed", "seats" to seats.sorted())
    }

    private suspend fun read(): ReadResult.Read<Map<Int, SeatReading>>? = when (val result = platform.scan("seats/")) {
        is ReadResult.Unavailable -> null
        is ReadResult.Read -> ReadResult.Read(result.value.mapNotNull(::reading).toMap(), result.era)
    }

    private fun reading(item: TableItem): Pair<Int, SeatReading>? = try {
        val seat = item.key.substringAfterLast('/').toIntOrNull()
        seat?.let { it to SeatReading(tolerantJson.decodeFromString<QuotaSeatRecord>(item.value), item.version) }
    } catch (fault: SerializationException) {
        unreadableRows.report(item.key, item.value, fault)
        null
    }
}
