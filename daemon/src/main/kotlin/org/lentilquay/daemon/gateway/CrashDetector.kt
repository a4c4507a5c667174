/*
 * Detects requests that crash the backend servers on which they run. A lost connection alone proves nothing, because
 * servers and networks also reset connections; a server counts as crashed if it accepts no connection shortly
 * afterwards. All VMs are notified, because the same request may arrive at any of them.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.lentilquay.coordination.suspects.SuspectTracker
import org.lentilquay.coordination.suspects.SuspectVerdict
import org.lentilquay.daemon.control.PeerCaller
import org.lentilquay.daemon.logs.event
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
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

class CrashDetector(
    private val fleet: PeerCaller,
    private val control: ControlThread,
    private val scope: CoroutineScope,
    private val members: () -> Set<VmId>,
    /** Whether a connection to an address is accepted. */
    private val accepts: suspend (String) -> Boolean,
    private val now: () -> Long,
) {
    private val suspects = SuspectTracker(QUARANTINE_CRASHES)

    /** Fingerprints of the requests that lost their connection to a server that is still to be checked. */
    private val unchecked = HashMap<ServerId, MutableSet<String>>()

    /** Whether any request is suspect; readable from any thread, so that most requests need no fingerprint. */
    @Volatile
    var hasSuspects: Boolean = false
        private set

    /** How long the request with [fingerprint] remains quarantined, or null if it may run. */
    suspend fun quarantineMillis(fingerprint: String): Long? = control.decide {
        when (val verdict = suspects.verdict(fingerprint, now())) {
            is SuspectVerdict.Quarantined -> verdict.remainingMillis
            is SuspectVerdict.Suspect, SuspectVerdict.Clear -> null
        }
    }

    /** The connection to [server] was lost while the request with [fingerprint] ran. Call on the control thread. */
    fun connectionLost(server: RegisteredServer, fingerprint: String) {
        val pending = unchecked[server.id]
        if (pending != null) {
            pending += fingerprint
        } else {
            unchecked[server.id] = mutableSetOf(fingerprint)
            scope.launch { check(server) }
        }
    }

    /** Records the suspects in a notice of this or another VM. */
    suspend fun record(notice: PeerRequest.SuspectNotice) = control.decide {
        suspects.merge(notice, now())
        hasSuspects = suspects.size > 0
    }

    private suspend fun check(server: RegisteredServer) {
        delay(CHECK_DELAY_MILLIS)
        val isAccepting = accepts(server.address)
        val fingerprints = control.decide { unchecked.remove(server.id) }.orEmpty()
        if (isAccepting) return
        log.event("backend server crashed", "server" to server.id, "requests" to fingerprints.size)
        val notice = PeerRequest.SuspectNotice(server.id, server.startedAtEpochMillis ?: 0, fingerprints.toList())
        record(notice)
        val others = control.decide { members() - fleet.own }
        others.forEach { vm -> scope.launch { fleet.call(vm, notice, NOTICE_TIMEOUT_MILLIS) } }
    }
}
