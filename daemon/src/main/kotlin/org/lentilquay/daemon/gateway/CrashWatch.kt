/*
 * Recognizes requests that crash the backend servers on which they run. A lost connection alone proves nothing, because
 * servers and networks also reset connections; a crash is taken for certain when the server does not accept a
 * connection shortly afterwards. All VMs are told, since the same request may come again at any of them.
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
 * Crashes after which a request is refused. All requests on a server that crashes are suspects, and callers send many
 * of them again, so that two crashes can be a coincidence; the platform's bound is three.
 */
private const val QUARANTINE_CRASHES = 3

/** Time after a lost connection at which a crashed server accepts none; it needs seconds to start again. */
private const val CHECK_MILLIS = 150L

/** Bound on telling one member, in milliseconds. */
private const val NOTICE_MILLIS = 300L

class CrashWatch(
    private val fleet: PeerCaller,
    private val control: ControlThread,
    private val scope: CoroutineScope,
    private val members: () -> Set<VmId>,
    /** Whether a backend server accepts a connection at an address. */
    private val accepts: suspend (String) -> Boolean,
    private val now: () -> Long,
) {
    private val suspects = SuspectTracker(QUARANTINE_CRASHES)

    /** The requests that lost their connection to a server which was not checked yet. */
    private val unchecked = HashMap<ServerId, MutableSet<String>>()

    /** Whether any request is suspected; readable from any thread, so that most requests need no fingerprint. */
    @Volatile
    var hasSuspects: Boolean = false
        private set

    /** How long the request with [fingerprint] is still refused, in milliseconds, or null if it may run. */
    suspend fun quarantineMillis(fingerprint: String): Long? = control.decide {
        when (val verdict = suspects.verdict(fingerprint, now())) {
            is SuspectVerdict.Quarantined -> verdict.remainingMillis
            is SuspectVerdict.Suspect, SuspectVerdict.Clear -> null
        }
    }

    /** The connection to [server] was lost with the request of [fingerprint] on it. Call on the control thread. */
    fun connectionLost(server: RegisteredServer, fingerprint: String) {
        val waiting = unchecked[server.id]
        if (waiting != null) {
            waiting += fingerprint
        } else {
            unchecked[server.id] = mutableSetOf(fingerprint)
            scope.launch { check(server) }
        }
    }

    /** Takes the notice of another VM. */
    suspend fun received(notice: PeerRequest.SuspectNotice) = control.decide {
        suspects.merge(notice, now())
        hasSuspects = suspects.size > 0
    }

    private suspend fun check(server: RegisteredServer) {
        delay(CHECK_MILLIS)
        val isUp = accepts(server.address)
        val fingerprints = control.decide { unchecked.remove(server.id) }.orEmpty()
        if (isUp) return
        log.event("backend server crashed", "server" to server.id, "requests" to fingerprints.size)
        val notice = PeerRequest.SuspectNotice(server.id, server.startedAtEpochMillis ?: 0, fingerprints.toList())
        received(notice)
        val others = control.decide { members() - fleet.own }
        others.forEach { vm -> scope.launch { fleet.call(vm, notice, NOTICE_MILLIS) } }
    }
}
