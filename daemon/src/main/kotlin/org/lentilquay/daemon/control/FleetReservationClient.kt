/*
 * Reserves a batch slot for a request on the VM that received it: ranks the backend servers, asks their owners in that
 * order, and polls while the request is queued. No VM needs the state of all servers, because the owner of the first
 * server in rank sees all requests for an adapter. Thread-safe; times are in milliseconds. Docs: docs/design.md,
 * sections 4.1 and 4.11.
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
import org.lentilquay.transport.http.AnswerNotice

class FleetReservationClient(
    private val serverAvailability: ServerAvailability,
    private val owners: OwnerClient,
    /** Ranks engines; plain services are always ranked by hash. */
    private val ranking: ServerRanking,
    private val scope: CoroutineScope,
    private val grantValidityMillis: Long,
    private val now: () -> Long,
) : ReservationClient {
    private val serviceRanking = serverRanking(PlacementOrder.HOME_FIRST)

    /** The result of asking the owners of all ranked servers once. */
    private sealed interface Round {
        data class Found(val reservation: Reservation) : Round

        /** All servers are busy. [server] has the lowest [cost], in milliseconds; [waitMillis] is its expected wait. */
        data class Busy(val server: BackendServer, val waitMillis: Long, val cost: Long) : Round

        data class Refused(val failure: Failure) : Round

        data object NoAnswer : Round
    }

    /** After [searchUntil], no further server is asked once an owner has not answered. */
    private class WaitLimits(val deadline: Long, val searchUntil: Long)

    override suspend fun reserve(request: ReservationRequest): Outcome<Reservation> {
        val startedAt = now()
        val limits = WaitLimits(
            deadline = startedAt + request.waitMillis,
            searchUntil = startedAt + maxOf(request.waitMillis, MINIMUM_SEARCH_MILLIS),
        )
        var outcome = tryOnce(request, limits)
        while (outcome == null && now() < limits.deadline) {
            delay(RETRY_DELAY_MILLIS)
            outcome = tryOnce(request, limits)
        }
        return outcome ?: failed(ErrorKind.NO_CAPACITY, "no owner of a suitable backend server answered in time")
    }

    /** Asks the owners of the ranked servers once; null if none answered, so that another round may follow. */
    private suspend fun tryOnce(request: ReservationRequest, limits: WaitLimits): Outcome<Reservation>? {
        val candidates = candidates(request)
        if (candidates.isEmpty()) {
            return failed(ErrorKind.NO_CAPACITY, "no backend server is available for this request")
        }
        return when (val round = askInOrder(request, candidates, limits)) {
            is Round.Found -> Outcome.Success(round.reservation)
            is Round.Refused -> Outcome.Failed(round.failure)
            is Round.Busy -> queueAt(request, round, limits.deadline)
            Round.NoAnswer -> null
        }
    }

    override fun progress(reservation: Reservation, incarnation: Long?) {
        val message = PeerRequest.Progress(reservation.attemptId, reservation.server, incarnation ?: NO_INCARNATION)
        scope.launch { owners.deliver(reservation.server, message) }
    }

    override fun noticed(reservation: Reservation, incarnation: Long?, notice: AnswerNotice) {
        val message = PeerRequest.ServerNotice(
            reservation.server,
            incarnation ?: NO_INCARNATION,
            notice.isLeaving,
            notice.pause?.millis ?: 0,
        )
        scope.launch { owners.deliver(reservation.server, message) }
    }

    override fun release(reservation: Reservation, outcome: RunOutcome, incarnation: Long?) {
        ranking.ended(reservation.server)
        val message = PeerRequest.Release(reservation.attemptId, reservation.server, outcome, incarnation)
        scope.launch { owners.deliver(reservation.server, message) }
    }

    private fun candidates(request: ReservationRequest): List<BackendServer> {
        val all = serverAvailability.availableServersFor(request.target)
        // Servers that failed this request before are tried again only if there are no others.
        val open = all.filter { it.id !in request.excluded }.ifEmpty { all }
        return when (val target = request.target) {
            is ReservationTarget.Engine -> ranking.ranked(target.adapter.engineName, open)
            is ReservationTarget.Service -> serviceRanking.ranked(request.attemptId, open)
        }
    }

    private suspend fun askInOrder(
        request: ReservationRequest,
        candidates: List<BackendServer>,
        limits: WaitLimits,
    ): Round {
        var leastBusy: Round.Busy? = null
        var refusal: Failure? = null
        for ((rank, server) in candidates.withIndex()) {
            val answer = poll(request, server, limits.deadline, SPILL_THRESHOLD_MILLIS)
            when (answer) {
                is Polled.Granted -> return Round.Found(answer.reservation)
                is Polled.Busy -> {
                    // A server of a later rank must save more waiting time than the additional load costs the fleet.
                    val cost = answer.waitMillis + rank * LOAD_COST_MILLIS
                    if (cost < (leastBusy?.cost ?: Long.MAX_VALUE)) {
                        leastBusy = Round.Busy(server, answer.waitMillis, cost)
                    }
                }
                is Polled.Refused -> refusal = refusal ?: answer.failure
                Polled.NoOwner -> Unit
            }
            if (endsSearch(answer, limits)) break
        }
        return leastBusy ?: refusal?.let { Round.Refused(it) } ?: Round.NoAnswer
    }

    /** Each silent owner takes the timeout of a call, so asking all of them would exceed the maximum wait by far. */
    private fun endsSearch(answer: Polled, limits: WaitLimits): Boolean =
        answer == Polled.NoOwner && now() >= limits.searchUntil

    /** Queues at the server of lowest cost, or fails at once if its expected wait exceeds the maximum wait. */
    private suspend fun queueAt(request: ReservationRequest, busy: Round.Busy, deadline: Long): Outcome<Reservation>? {
        val remaining = deadline - now()
        if (busy.waitMillis > remaining) return overloaded(busy.waitMillis)
        return when (val answer = poll(request, busy.server, deadline, remaining)) {
            is Polled.Granted -> Outcome.Success(answer.reservation)
            // This server now rejects the adapter at once, so another round reaches the other servers.
            is Polled.Refused ->
                Outcome.Failed(answer.failure).takeUnless { answer.failure.kind == ErrorKind.LOAD_FAILED }
            // The server may be busy for a short time only, for example while another suspect request runs.
            is Polled.Busy -> if (now() < deadline) null else overloaded(answer.waitMillis)
            Polled.NoOwner -> null
        }
    }

    private fun overloaded(waitMillis: Long) = failed(
        ErrorKind.OVERLOADED,
        "the expected wait of $waitMillis ms exceeds the maximum wait of the request",
        waitMillis,
    )

    private sealed interface Polled {
        data class Granted(val reservation: Reservation) : Polled

        data class Busy(val waitMillis: Long) : Polled

        data class Refused(val failure: Failure) : Polled

        data object NoOwner : Polled
    }

    /** Polls the owner of [server] while the request is queued there. */
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
            // A request that stops polling, also because of cancellation, must not stay in the queue.
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

/** The available backend servers that serve [target], in this VM's view. */
fun ServerAvailability.availableServersFor(target: ReservationTarget): List<BackendServer> = when (target) {
    is ReservationTarget.Engine -> available.filter { it.kind == ServerKind.ENGINE && it.serves == target.baseModel }
    is ReservationTarget.Service -> available.filter { it.kind == ServerKind.SERVICE && it.serves == target.service }
}

/**
 * Expected wait above which the next server in rank is asked. It exceeds the usual duration of one adapter load: with a
 * lower value, the first request for each idle adapter would go to a server that is not its home.
 */
private const val SPILL_THRESHOLD_MILLIS = 1_000L

/** Cost of loading the adapter at a server of a later rank: an adapter slot and a permit of the weight store. */
private const val LOAD_COST_MILLIS = 1_000L

/** A request with a shorter maximum wait still asks another owner if the first one does not answer. */
private const val MINIMUM_SEARCH_MILLIS = 1_000L

/** Delay before the next round if no owner answered. */
private const val RETRY_DELAY_MILLIS = 100L

/** Incarnation of a server that reports none. */
private const val NO_INCARNATION = 1L
