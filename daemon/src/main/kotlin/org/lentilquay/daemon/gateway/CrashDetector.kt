/*
 * Detects requests, and parts of prompts, that crash the backend servers on which they run. A lost connection alone
 * proves nothing, because servers and networks also reset connections; a server counts as crashed if it accepts no
 * connection shortly afterwards. All VMs are notified, because the same request may arrive at any of them.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.lentilquay.coordination.gateway.TableTime
import org.lentilquay.coordination.suspects.SuspectTracker
import org.lentilquay.coordination.suspects.SuspectVerdict
import org.lentilquay.daemon.control.PeerCaller
import org.lentilquay.daemon.logs.event
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.QuarantineRecord
import org.lentilquay.state.gateway.RegisteredServer

private val log = KotlinLogging.logger {}

/**
 * Crashes after which a request is quarantined. All requests on a crashed server are suspects, and callers send many of
 * them again, so two crashes can be a coincidence. The platform
 * allows one request to crash three servers.
 */
private const val QUARANTINE_CRASHES = 3

/** Delay between a lost connection and the check; a crashed server needs seconds until it accepts connections again. */
private const val CHECK_DELAY_MILLIS = 150L

/** Timeout of the notice to one member. */
private const val NOTICE_TIMEOUT_MILLIS = 300L

/** Stands for the server in a notice that reports no crash. */
private val NO_SERVER = ServerId("none")

/** The part of a VM that has quarantines to publish in its member record. Call on the control thread. */
interface QuarantineExchange {
    /** The quarantines in force; [at] relates the clock of the table service to that of this VM. */
    fun published(at: TableTime): QuarantineRecord

    /** Adopts the quarantines of another process, or of the former one on this VM, which were read [at] that time. */
    fun adopt(record: QuarantineRecord, at: TableTime)
}

/** Why a request is not run, and for how long. */
class RequestQuarantine(val reason: String, val remainingMillis: Long)

class CrashDetector(
    private val fleet: () -> PeerCaller,
    private val control: ControlThread,
    private val scope: CoroutineScope,
    private val members: () -> Set<VmId>,
    /** Whether a connection to an address is accepted. */
    private val accepts: suspend (String) -> Boolean,
    private val now: () -> Long,
) : QuarantineExchange {
    private class LostRequests(val at: Long) {
        val fingerprints = LinkedHashSet<String>()
        val attempts = ArrayList<AttemptProgress>()
    }

    private val suspects = SuspectTracker(QUARANTINE_CRASHES)
    private val promptParts = PromptPartQuarantine(now)

    /** The requests that lost their connection to a server that is still to be checked. */
    private val unchecked = HashMap<ServerId, LostRequests>()

    /** Whether any request is suspect; readable from any thread, so that most requests need no fingerprint. */
    @Volatile
    var hasSuspects: Boolean = false
        private set

    /** The quarantine of the request with [fingerprint] and the shared prompt [parts], or null if it may run. */
    suspend fun quarantine(fingerprint: String, parts: Set<String>): RequestQuarantine? = control.decide {
        when (val verdict = suspects.verdict(fingerprint, now())) {
            is SuspectVerdict.Quarantined ->
                RequestQuarantine("the request has crashed the backend servers that ran it", verdict.remainingMillis)
            is SuspectVerdict.Suspect, SuspectVerdict.Clear -> promptParts.quarantine(parts)?.let {
                val names = it.parts.sorted().joinToString(" ")
                RequestQuarantine("requests with prompt part $names crash backend servers", it.remainingMillis(now()))
            }
        }
    }

    /**
     * The connection to [server] was lost while the request with [fingerprint] ran. Call on the control thread.
     */
    fun connectionLost(server: RegisteredServer, fingerprint: String, progress: AttemptProgress) {
        progress.hasFailed = true
        val lost = unchecked.getOrPut(server.id) {
            scope.launch { check(server) }
            LostRequests(now())
        }
        lost.fingerprints += fingerprint
        lost.attempts += progress
    }

    /** The server of an attempt has sent the first event, which clears its prompt parts unless it fails soon after. */
    fun firstEvent(progress: AttemptProgress) {
        progress.firstEventAt = now()
        if (progress.parts.isEmpty()) return
        scope.launch {
            delay(ANSWER_PROOF_MILLIS)
            control.decide { if (!progress.hasFailed) clear(progress) }
        }
    }

    /** An attempt ended with [result], and its connection was not lost. Call on the control thread. */
    internal fun ended(progress: AttemptProgress, result: AttemptResult) {
        if (result is AttemptResult.Delivered && isSuccess(result.status)) {
            clear(progress)
        } else {
            progress.hasFailed = true
        }
    }

    private fun clear(progress: AttemptProgress) {
        if (progress.parts.isEmpty()) return
        promptParts.answered(progress)
        announceCleared()
    }

    /** Records the suspects in a notice of this or another VM. */
    suspend fun record(notice: PeerRequest.SuspectNotice) = control.decide {
        suspects.merge(notice, now())
        promptParts.record(notice)
        hasSuspects = suspects.hasEvidence || promptParts.hasEvidence
        announceCleared()
    }

    override fun published(at: TableTime): QuarantineRecord {
        val latest = suspects.quarantines(now()).entries.sortedByDescending { it.value }.take(MAXIMUM_PUBLISHED)
        val requests = latest.associate { it.key to it.value + at.millis - at.sentAt }
        return promptParts.published(at).copy(requests = requests)
    }

    override fun adopt(record: QuarantineRecord, at: TableTime) {
        promptParts.adopt(record, at)
        record.requests.forEach { (fingerprint, until) ->
            suspects.adopt(fingerprint, until - at.millis + at.sentAt, now())
        }
        hasSuspects = suspects.hasEvidence || promptParts.hasEvidence
    }

    /** Tells the other VMs of suspect parts that are clear; they may not have seen the answers. */
    private fun announceCleared() {
        val cleared = promptParts.takeUnannounced()
        if (cleared.isEmpty()) return
        log.event("suspect prompt parts are clear", "parts" to cleared.keys.sorted())
        notifyOthers(PeerRequest.SuspectNotice(NO_SERVER, 0, emptyList(), clearedAgeMillis = cleared))
    }

    private suspend fun check(server: RegisteredServer) {
        delay(CHECK_DELAY_MILLIS)
        val isAccepting = accepts(server.address)
        val notice = control.decide {
            val lost = unchecked.remove(server.id) ?: return@decide null
            if (isAccepting) return@decide null
            PeerRequest.SuspectNotice(
                server.id,
                server.startedAtEpochMillis ?: 0,
                lost.fingerprints.toList(),
                now() - lost.at,
                promptParts.noticeParts(lost.attempts, lost.at),
            )
        } ?: return
        log.event(
            "backend server crashed",
            "server" to server.id,
            "requests" to notice.fingerprints.size,
            "promptParts" to notice.promptParts.flatten().distinct().size,
        )
        record(notice)
        control.decide { notifyOthers(notice) }
    }

    private fun notifyOthers(notice: PeerRequest.SuspectNotice) = (members() - fleet().own).forEach { vm ->
        scope.launch { fleet().call(vm, notice, NOTICE_TIMEOUT_MILLIS) }
    }
}
