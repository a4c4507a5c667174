/*
 * Keeps this VM's quota seats: reads the seat records, takes free ones and gives surplus ones up, all at the same time,
 * one transaction each. A seat leaves the buckets before its release is sent, so that it never has two holders. Docs:
 * docs/design.md, section 4.4.
 */
package org.lentilquay.daemon.control

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
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
    private val keeper: SeatTracker,
    private val buckets: TeamBuckets,
    private val pulls: TransferPlanner,
    private val platform: TableService,
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

    /** Reads the seats and makes the changes that are due. */
    suspend fun review() = review { it }

    /** Gives all seats up before a planned stop. */
    suspend fun releaseAll(own: VmId) = review { it - own }

    private suspend fun review(candidates: (Set<VmId>) -> Set<VmId>) {
        val readings = read() ?: return
        val present = members()
        val actions = control.decide {
            keeper.observed(readings)
            keeper.review(candidates(present.live), present.gone).also { hold() }
        }
        // A process that starts again takes several seats, and its teams have no tokens until then.
        coroutineScope { actions.forEach { launch { make(it) } } }
    }

    private suspend fun make(action: SeatAction) {
        val result = platform.write(action.operations)
        control.decide {
            keeper.written(action, result)
            hold()
        }
    }

    /** Brings the buckets in line with the seats that are held. Call on the control thread. */
    private fun hold() {
        pulls.holdersChanged(keeper.holders)
        knownHolders = keeper.holders.keys
        val seats = keeper.held
        if (seats == held) return
        buckets.seatsChanged(seats, now(), keeper.reclaimed)
        held = seats
        log.event("quota seats changed", "seats" to seats.sorted())
    }

    private suspend fun read(): Map<Int, SeatReading>? = when (val result = platform.scan("seats/")) {
        is ReadResult.Unavailable -> null
        is ReadResult.Read -> result.value.mapNotNull(::reading).toMap()
    }

    private fun reading(item: TableItem): Pair<Int, SeatReading>? = try {
        val seat = item.key.substringAfterLast('/').toIntOrNull()
        seat?.let { it to SeatReading(Json.decodeFromString<QuotaSeatRecord>(item.value), item.version) }
    } catch (fault: SerializationException) {
        unreadableRows.report(item.key, item.value, fault)
        null
    }
}
