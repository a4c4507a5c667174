/*
 * Tracks suspect requests, which were running when a backend server was lost. A loss is recorded on this VM, announced
 * to all members before the request is retried, and written to the table for VMs that start later. Docs:
 * docs/design.md, section 4.9.
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
    private val peers: PeerCaller,
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
        // A lost server whose incarnation is not known counts as a separate crash.
        val crashedIncarnation = incarnation ?: -reservation.attemptId.hashCode().toLong().absoluteValue
        val notice = PeerRequest.SuspectNotice(reservation.server, crashedIncarnation, listOf(fingerprint))
        log.event(
            "backend server lost while a request was running",
            "server" to reservation.server,
            "incarnation" to crashedIncarnation,
        )
        noticeReceived(notice)
        coroutineScope {
            val announcements = members().filter { it != peers.own }.map { vm ->
                async { peers.call(vm, notice, NOTICE_TIMEOUT_MILLIS) }
            }
            announcements.awaitAll()
        }
        store(CrashRecord(reservation.server, crashedIncarnation, fingerprint, System.currentTimeMillis()))
    }

    /** Records a crash that another VM has announced. */
    suspend fun noticeReceived(notice: PeerRequest.SuspectNotice) = control.decide { suspects.merge(notice, now()) }

    /** Reads recent crashes from the table when this VM starts, and deletes older records; false if that failed. */
    suspend fun loadRecords(epochMillis: Long): Boolean {
        val items = (platform.scan(KEY_PREFIX) as? ReadResult.Read)?.value ?: return false
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
        val key = "$KEY_PREFIX${crash.fingerprint}/${crash.server}/${crash.incarnation}"
        platform.transact(listOf(TableOperation.Put(key, tolerantJson.encodeToString(crash))))
    }
}

private const val KEY_PREFIX = "suspects/"

/** Timeout of announcing a crash to one member; members that cannot be reached read it from the table. */
private const val NOTICE_TIMEOUT_MILLIS = 300L
