/*
 * Knowledge of requests that were running when a backend server was lost: kept on every VM, told to all members before
 * the request is tried again, and written to the table for VMs that start later. Docs: docs/design.md, section 4.9.
 */
package org.lentilquay.daemon.control

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.Serializable
import org.lentilquay.coordination.suspects.QUARANTINE_MILLIS
import org.lentilquay.coordination.suspects.SuspectTracker
import org.lentilquay.coordination.suspects.SuspectVerdict
import org.lentilquay.daemon.logs.event
import org.lentilquay.daemon.requests.QuarantineStatus
import org.lentilquay.daemon.requests.Reservation
import org.lentilquay.daemon.requests.SuspectRequests
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.transport.platform.PlatformClient
import org.lentilquay.transport.platform.ReadResult
import kotlin.math.absoluteValue

private val log = KotlinLogging.logger {}

/** The table record of one crash, under `suspects/<fingerprint>/<server>/<incarnation>`. */
@Serializable
private data class CrashRecord(
    val server: ServerId,
    val incarnation: Long,
    val fingerprint: String,
    val epochMillis: Long,
)

class FleetSuspectRequests(
    private val suspects: SuspectTracker,
    private val calls: PeerCaller,
    private val platform: PlatformClient,
    private val control: ControlThread,
    private val members: suspend () -> Set<VmId>,
    private val now: () -> Long,
) : SuspectRequests {
    override suspend fun quarantineStatus(fingerprint: String): QuarantineStatus =
        when (control.decide { suspects.verdict(fingerprint, now()) }) {
            SuspectVerdict.Clear -> QuarantineStatus.CLEAR
            is SuspectVerdict.Suspect -> QuarantineStatus.SUSPECT
            is SuspectVerdict.Quarantined -> QuarantineStatus.QUARANTINED
        }

    override suspend fun serverLost(reservation: Reservation, incarnation: Long?, fingerprint: String) {
        // A loss whose process is not known counts as a crash of its own.
        val process = incarnation ?: -reservation.attemptId.hashCode().toLong().absoluteValue
        val notice = PeerRequest.SuspectNotice(reservation.server, process, listOf(fingerprint))
        log.event("backend server lost while a request ran", "server" to reservation.server, "incarnation" to process)
        received(notice)
        coroutineScope {
            val told = members().filter { it != calls.own }.map { vm ->
                async { calls.call(vm, notice, NOTICE_MILLIS) }
            }
            told.awaitAll()
        }
        store(CrashRecord(reservation.server, process, fingerprint, System.currentTimeMillis()))
    }

    /** Takes the notice of another VM. */
    suspend fun received(notice: PeerRequest.SuspectNotice) = control.decide { suspects.merge(notice, now()) }

    /** Reads the crashes of the last minutes at the start of this VM, and deletes older ones. */
    suspend fun readTable(epochMillis: Long): Boolean {
        val items = (platform.scan(PREFIX) as? ReadResult.Read)?.value ?: return false
        items.forEach { item ->
            val crash = decodeOrNull<CrashRecord>(item) ?: return@forEach
            val age = (epochMillis - crash.epochMillis).coerceAtLeast(0)
            if (age >= QUARANTINE_MILLIS) {
                platform.transact(listOf(TableOperation.Delete(item.key, item.version)))
            } else {
                val notice = PeerRequest.SuspectNotice(crash.server, crash.incarnation, listOf(crash.fingerprint))
                control.decide { suspects.merge(notice, now(), age) }
            }
        }
        return true
    }

    private suspend fun store(crash: CrashRecord) {
        val key = "$PREFIX${crash.fingerprint}/${crash.server}/${crash.incarnation}"
        platform.transact(listOf(TableOperation.Put(key, tolerantJson.encodeToString(crash))))
    }
}

private const val PREFIX = "suspects/"

/** Bound, in milliseconds, on telling one member; one that cannot be reached learns it from the table. */
private const val NOTICE_MILLIS = 300L
