package org.lentilquay.daemon.control

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeBetween
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.lentilquay.coordination.quota.Charge
import org.lentilquay.coordination.quota.TeamBuckets
import org.lentilquay.coordination.quota.TransferPlanner
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.daemon.timer.SystemTimer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Outcome
import org.lentilquay.state.Team
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId
import org.lentilquay.transport.peer.PeerCallResult

private val asker = VmId("vm-a")
private val holder = VmId("vm-b")
private val stoves = Team(TeamId("stoves"), tokensPerSecond = 10_000, burstTokens = 10_000)
private val allSeats = (0 until 16).toSet()
private const val TRANSFER_MILLIS = 300L

/** One VM that asks and one that holds all seats; [requests] are the pulls between them. */
private class TwoVms : AutoCloseable {
    private val control = ControlThread()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val timer = SystemTimer()
    private val holding = TeamBuckets(holder)
    private val pulls = TransferPlanner(asker)
    private val asking = TeamBuckets(asker, transfers = pulls)
    val requests = ArrayList<PeerRequest.TakeTokens>()

    private val quotaOfHolder = quota(holding) { _, _ -> error("the holder has all seats") }
    private val quota = quota(asking) { _, request ->
        requests += request as PeerRequest.TakeTokens
        PeerCallResult.Answered(quotaOfHolder.transferTokens(asker, request))
    }

    private fun quota(buckets: TeamBuckets, call: suspend (VmId, PeerRequest) -> PeerCallResult): FleetQuota {
        val fleet = object : PeerCaller {
            override val own = asker

            override suspend fun call(vm: VmId, request: PeerRequest, timeoutMillis: Long) = call(vm, request)
        }
        return FleetQuota(buckets, fleet, control, scope, TRANSFER_MILLIS, timer::now)
    }

    /** The holder has had its seats for so long that they are full. */
    suspend fun fill() = control.decide {
        listOf(holding, asking).forEach { it.configure(listOf(stoves), -10_000) }
        holding.seatsChanged(allSeats, -10_000)
        pulls.holdersChanged(mapOf(holder to allSeats))
    }

    suspend fun admit(id: String, tokens: Long): Outcome<Charge> = quota.admit(stoves.id, id, tokens)

    /** The holder's own requests use [tokens]. */
    suspend fun spendAtHolder(tokens: Long) {
        quotaOfHolder.admit(stoves.id, "own", tokens).shouldBeInstanceOf<Outcome.Success<Charge>>()
    }

    override fun close() {
        scope.cancel()
        control.close()
    }
}

class FleetQuotaTest : FunSpec({
    // Guards against a request that asks its holder again and again while the team's tokens are generated.
    test("a request waits at the holder of its team's seats, with one message") {
        TwoVms().use { vms ->
            vms.fill()
            vms.spendAtHolder(9_500)
            vms.admit("a", 2_500).shouldBeInstanceOf<Outcome.Success<Charge>>()
            vms.requests.map { it.minimumAmount } shouldContainExactly listOf(2_500L)
        }
    }

    // Guards against a request that waits for its whole patience though no holder can serve it in time.
    test("a request that its holders cannot serve in time is refused at once") {
        TwoVms().use { vms ->
            vms.fill()
            vms.spendAtHolder(10_000)
            val startedAt = System.nanoTime()
            val refused = vms.admit("a", 6_000).shouldBeInstanceOf<Outcome.Failed>()
            refused.failure.kind shouldBe ErrorKind.RATE_LIMITED
            ((System.nanoTime() - startedAt) / 1_000_000).shouldBeBetween(0, 300)
        }
    }
})
