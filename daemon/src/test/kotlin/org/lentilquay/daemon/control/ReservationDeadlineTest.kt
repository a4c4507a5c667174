package org.lentilquay.daemon.control

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.lentilquay.daemon.requests.Reservation
import org.lentilquay.daemon.requests.ReservationRequest
import org.lentilquay.daemon.requests.ReservationTarget
import org.lentilquay.daemon.settings.PlacementOrder
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.protocol.Priority
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.BackendServer
import org.lentilquay.state.Configuration
import org.lentilquay.state.DomainId
import org.lentilquay.state.Outcome
import org.lentilquay.state.ServerId
import org.lentilquay.state.ServerKind
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId
import org.lentilquay.transport.peer.PeerCallResult
import java.util.concurrent.CopyOnWriteArrayList

private val adapter = AdapterVersion("stove", 3)
private val servers = (1..3).map {
    BackendServer(ServerId("e$it"), ServerKind.ENGINE, "127.0.0.1:$it", DomainId("d"), "base", true, 16, 32, 4)
}

/**
 * Owners of which only that with number [answering] in the order of the calls answers, with a grant. A call to another
 * one moves [now] to the end of its timeout.
 */
private class SilentOwners(private val answering: Int? = null) : PeerCaller {
    override val own = VmId("vm-a")
    val asked = CopyOnWriteArrayList<ServerId>()

    @Volatile
    var now = 0L
        private set

    override suspend fun call(vm: VmId, request: PeerRequest, timeoutMillis: Long): PeerCallResult {
        if (request !is PeerRequest.Reserve) return PeerCallResult.Answered(PeerAnswer.Done)
        asked += request.server
        if (asked.size == answering) return PeerCallResult.Answered(grant(request))
        now += timeoutMillis
        return PeerCallResult.TimedOut
    }

    private fun grant(request: PeerRequest.Reserve) = PeerAnswer.Granted(
        requestId = request.requestId,
        server = request.server,
        address = "127.0.0.1:1",
        fence = 1,
        adapter = adapter,
        waitedForLoad = false,
        incarnation = 1,
    )
}

private class Reserving(owners: SilentOwners) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val client = FleetReservationClient(
        ServerAvailability().apply {
            configurationChanged(Configuration(servers = servers.associateBy { it.id }))
        },
        OwnerClient(owners, { VmId("vm-b") }, owners::now),
        serverRanking(PlacementOrder.HOME_FIRST),
        scope,
        grantValidityMillis = 1_500,
        now = owners::now,
    )

    suspend fun reserve(waitMillis: Long): Outcome<Reservation> = client.reserve(
        ReservationRequest(
            attemptId = "r",
            target = ReservationTarget.Engine("base", adapter),
            team = TeamId("t"),
            estimatedTokens = 1,
            priority = Priority.SHORT,
            waitMillis = waitMillis,
            fingerprint = "f",
            isSuspect = false,
            excluded = emptySet(),
        ),
    )

    override fun close() = scope.cancel()
}

class ReservationDeadlineTest : FunSpec({
    // Guards against requests that wait for each silent owner in turn, and whose callers leave before the refusal.
    listOf(0L, 1_000L, 3_000L).forEach { waitMillis ->
        test("silent owners hold a request with a maximum wait of $waitMillis ms for one call beyond it") {
            val owners = SilentOwners()
            Reserving(owners).use { it.reserve(waitMillis) }.shouldBeInstanceOf<Outcome.Failed>()
            owners.now shouldBeLessThanOrEqual maxOf(waitMillis, 1_000L) + 900
        }
    }

    // Guards against a limit that gives up after one silent owner.
    listOf(0L, 3_000L).forEach { waitMillis ->
        test("the owner after a silent one is asked for a request with a maximum wait of $waitMillis ms") {
            val owners = SilentOwners(answering = 2)
            Reserving(owners).use { it.reserve(waitMillis) }.shouldBeInstanceOf<Outcome.Success<Reservation>>()
            owners.asked shouldHaveSize 2
        }
    }
})
