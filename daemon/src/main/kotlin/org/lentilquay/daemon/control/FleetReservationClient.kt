/*
 * Finds a place for a request from the fronting VM's side: ranks the backend servers, asks the owner of each, and
 * polls while the request is queued. No VM needs to watch all servers: the owner of the first server in rank sees all
 * requests for an adapter and knows best. Docs: docs/design.md, sections 4.1 and 4.11.
 */
package org.lentilquay.daemon.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.lentilquay.daemon.requests.Reservation
import org.lentilquay.daemon.requests.ReservationClient
import org.lentilquay.daemon.requests.ReservationRequest
import org.lentilquay.daemon.requests.ReservationTarget
import org.lentilquay.daemon.settings.PlacementOrder
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.protocol.RunOutcome
import org.lentilquay.state.BackendServer
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.Outcome
import org.lentilquay.state.ServerKind
import org.lentilquay.state.failed

class FleetReservationClient(
    private val fleet: ServerAvailability,
    private val owners: OwnerClient,
    /** Orders engines; services are always ordered by the hash. */
    private val ranking: ServerRanking,
    private val scope: CoroutineScope,
    private val grantValidityMillis: Long,
    private val now: () -> Long,
) : ReservationClient {
    private val serviceRanking = serverRanking(PlacementOrder.HOME_FIRST)

    /** What one round over the ranked servers gave. */
    private sealed interface Round {
        data class Found(val reservation: Reservation) : Round

        /** The least [cost] was at [server], where the expected wait is [waitMillis]. */
        data class Busy(val server: BackendServer, val waitMillis: Long, val cost: Long) : Round

        data class Refused(val failure: Failure) : Round

        data object NobodyAnswered : Round
    }

    override suspend fun reserve(request: ReservationRequest): Outcome<Reservation> {
        val deadline = now() + request.waitMillis
        var outcome = tryOnce(request, deadline)
        while (outcome == null && now() < deadline) {
            delay(RETRY_MILLIS)
            outcome = tryOnce(request, deadline)
        }
        return outcome ?: failed(ErrorKind.NO_CAPACITY, "no owner of a suitable backend server answered in time")
    }

    /** One round over the ranked servers; null if no owner answered. */
    private suspend fun tryOnce(request: ReservationRequest, deadline: Long): Outcome<Reservation>? {
        val candidates = candidates(request)
        if (candidates.isEmpty()) {
            return failed(ErrorKind.NO_CAPACITY, "no backend server may take this request at the moment")
        }
        return when (val round = askInOrder(request, candidates, deadline)) {
            is Round.Found -> Outcome.Success(round.reservation)
            is Round.Refused -> Outcome.Failed(round.failure)
            is Round.Busy -> queueAt(request, round, deadline)
            Round.NobodyAnswered -> null
        }
    }

    override fun progress(reservation: Reservation, incarnation: Long?) {
        val message = PeerRequest.Progress(reservation.attemptId, reservation.server, incarnation ?: NO_INCARNATION)
        scope.launch { owners.deliver(reservation.server, message) }
    }

    override fun release(reservation: Reservation, outcome: RunOutcome, incarnation: Long?) {
        ranking.ended(reservation.server)
        val message = PeerRequest.Release(reservation.attemptId, reservation.server, outcome, incarnation)
        scope.launch { owners.deliver(reservation.server, message) }
    }

    private fun candidates(request: ReservationRequest): List<BackendServer> {
        val all = fleet.availableServersFor(request.target)
        // A server that failed this request before is tried again only if there is no other.
        val open = all.filter { it.id !in request.excluded }.ifEmpty { all }
        return when (val target = request.target) {
            is ReservationTarget.Engine -> ranking.ranked(target.adapter.engineName, open)
            is ReservationTarget.Service -> serviceRanking.ranked(request.attemptId, open)
        }
    }

    private suspend fun askInOrder(
        request: ReservationRequest,
        candidates: List<BackendServer>,
        deadline: Long,
    ): Round {
        var leastBusy: Round.Busy? = null
        var refusal: Failure? = null
        candidates.forEachIndexed { rank, server ->
            when (val answer = poll(request, server, deadline, SPILL_MILLIS)) {
                is Polled.Granted -> return Round.Found(answer.reservation)
                is Polled.Busy -> {
                    // A later rank has to save more than the load that it adds to the fleet.
                    val cost = answer.waitMillis + rank * LOAD_COST_MILLIS
                    if (cost < (leastBusy?.cost ?: Long.MAX_VALUE)) {
                        leastBusy = Round.Busy(server, answer.waitMillis, cost)
                    }
                }
                is Polled.Refused -> refusal = refusal ?: answer.failure
                Polled.NoOwner -> Unit
            }
        }
        return leastBusy ?: refusal?.let { Round.Refused(it) } ?: Round.NobodyAnswered
    }

    /** All servers are busy: wait where the wait is least, or refuse at once if that is too long. */
    private suspend fun queueAt(request: ReservationRequest, busy: Round.Busy, deadline: Long): Outcome<Reservation>? {
        val remaining = deadline - now()
        if (busy.waitMillis > remaining) return overloaded(busy.waitMillis)
        return when (val answer = poll(request, busy.server, deadline, remaining)) {
            is Polled.Granted -> Outcome.Success(answer.reservation)
            // Another round asks the other servers, while this one refuses the adapter at once.
            is Polled.Refused ->
                Outcome.Failed(answer.failure).takeUnless { answer.failure.kind == ErrorKind.LOAD_FAILED }
            // The owner may be busy for a moment only, for example while another suspect request runs.
            is Polled.Busy -> if (now() < deadline) null else overloaded(answer.waitMillis)
            Polled.NoOwner -> null
        }
    }

    private fun overloaded(waitMillis: Long) = failed(
        ErrorKind.OVERLOADED,
        "the expected wait of $waitMillis ms is longer than the request may wait",
        waitMillis,
    )

    private sealed interface Polled {
        data class Granted(val reservation: Reservation) : Polled

        data class Busy(val waitMillis: Long) : Polled

        data class Refused(val failure: Failure) : Polled

        data object NoOwner : Polled
    }

    /** Polls the owner of [server] for as long as the request is queued there. */
    private suspend fun poll(
        request: ReservationRequest,
        server: BackendServer,
        deadline: Long,
        spillMillis: Long,
    ): Polled {
        var answer: PeerAnswer? = null
        try {
            do {
                val sentAt = now()
                answer = owners.ask(server.id, reserveMessage(request, server, deadline - sentAt, spillMillis))
                if (answer is PeerAnswer.Granted) {
                    ranking.started(answer.server)
                    return Polled.Granted(reservationOf(answer, sentAt))
                }
            } while (answer is PeerAnswer.Queued && now() < deadline)
        } finally {
            // A poll that was given up, also by cancellation, must not keep a place in the queue.
            if (answer is PeerAnswer.Queued) leaveQueue(request, server)
        }
        return when (answer) {
            is PeerAnswer.Busy -> Polled.Busy(answer.expectedWaitMillis)
            is PeerAnswer.Queued -> Polled.Busy(answer.expectedWaitMillis)
            is PeerAnswer.Refused -> Polled.Refused(answer.failure)
            else -> Polled.NoOwner
        }
    }

    private fun leaveQueue(request: ReservationRequest, server: BackendServer) {
        val message = PeerRequest.Release(request.attemptId, server.id, RunOutcome.NOT_STARTED)
        scope.launch { owners.deliver(server.id, message) }
    }

    private fun reservationOf(granted: PeerAnswer.Granted, sentAt: Long) = Reservation(
        attemptId = granted.requestId,
        server = granted.server,
        address = granted.address,
        fence = granted.fence,
        adapter = granted.adapter,
        waitedForLoad = granted.waitedForLoad,
        dispatchDeadline = sentAt + grantValidityMillis,
        incarnation = granted.incarnation,
    )

    private fun reserveMessage(
        request: ReservationRequest,
        server: BackendServer,
        waitMillis: Long,
        spillMillis: Long,
    ) = PeerRequest.Reserve(
        requestId = request.attemptId,
        server = server.id,
        adapter = (request.target as? ReservationTarget.Engine)?.adapter,
        team = request.team,
        estimatedTokens = request.estimatedTokens,
        priority = request.priority,
        waitMillis = waitMillis.coerceAtLeast(0),
        spillMillis = spillMillis.coerceAtLeast(0),
        suspectFingerprint = request.fingerprint.takeIf { request.isSuspect },
        fingerprint = request.fingerprint,
    )
}

/** The backend servers that serve [target] and may take new work as far as this VM knows. */
fun ServerAvailability.availableServersFor(target: ReservationTarget): List<BackendServer> = when (target) {
    is ReservationTarget.Engine -> available.filter { it.kind == ServerKind.ENGINE && it.serves == target.baseModel }
    is ReservationTarget.Service -> available.filter { it.kind == ServerKind.SERVICE && it.serves == target.service }
}

/**
 * Expected wait, in milliseconds, above which the next server in rank is asked. It is over the usual time of one load:
 * a lower bound sends the first request for each idle adapter to a server that is not its home.
 */
private const val SPILL_MILLIS = 1_000L

/** What a load at a later rank costs the fleet, in milliseconds: a slot and a permit of the weight store. */
private const val LOAD_COST_MILLIS = 1_000L

/** Pause, in milliseconds, before the ranked servers are asked again when no owner answered. */
private const val RETRY_MILLIS = 100L

/** Stands for the process of a server that names no incarnation. */
private const val NO_INCARNATION = 1L
