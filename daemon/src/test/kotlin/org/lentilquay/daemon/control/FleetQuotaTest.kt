package org.lentilquay.daemon.control

import io.kotest.assertions.nondeterministic.eventually
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
import org.lentilquay.coordination.quota.MAXIMUM_QUOTA_WAIT_MILLIS
import org.lentilquay.coordination.quota.TeamBuckets
import org.lentilquay.coordination.quota.TransferPlanner
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.daemon.timer.SystemTimer
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Outcome
import org.lentilquay.state.Team
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId
import org.lentilquay.transport.peer.PeerCallResult
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.seconds

private val requester = VmId("vm-a")
private val holder = VmId("vm-b")
private val stoves = Team(TeamId("stoves"), tokensPerSecond = 10_000, burstTokens = 10_000)
private val allSeats = (0 until 16).toSet()
private const val TRANSFER_MILLIS = 300L

/** A VM without quota seats and a seat holder with all of them; [requests] are the transfer requests between them. */
private class RequesterAndHolder : AutoCloseable {
    private val control = ControlThread()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val timer = SystemTimer()
    private val holding = TeamBuckets(holder)
    private val transfers = TransferPlanner(requester)
    private val asking = TeamBuckets(requester, transfers = transfers)
    private val requests = CopyOnWriteArrayList<PeerRequest.TakeTokens>()

    /** Requests for tokens, without the reports on the end of a transfer. */
    val transferRequests get() = requests.filter { it.ended == null }

    val transferIds = CopyOnWriteArrayList<String?>()

    private val quotaOfHolder = quota(holding) { _, _ -> error("the holder has all seats") }
    private val quota = quota(asking) { _, request ->
        requests += request as PeerRequest.TakeTokens
        val answer = quotaOfHolder.transferTokens(requester, request)
        if (request.ended == null) transferIds += (answer as PeerAnswer.Tokens).transfer
        PeerCallResult.Answered(answer)
    }

    private fun quota(buckets: TeamBuckets, call: suspend (VmId, PeerRequest) -> PeerCallResult): FleetQuota {
        val fleet = object : PeerCaller {
            override val own = requester

            override suspend fun call(vm: VmId, request: PeerRequest, timeoutMillis: Long) = call(vm, request)
        }
        return FleetQuota(buckets, fleet, control, scope, TRANSFER_MILLIS, timer::now)
    }

    val ended get() = requests.filter { it.ended != null }

    /** Fills the buckets of the seat holder. */
    suspend fun fill() = control.decide {
        listOf(holding, asking).forEach { it.configure(listOf(stoves), -10_000) }
        holding.seatsChanged(allSeats, -10_000)
        transfers.holdersChanged(mapOf(holder to allSeats))
    }

    suspend fun admit(
        id: String,
        tokens: Long,
        maximumWaitMillis: Long = MAXIMUM_QUOTA_WAIT_MILLIS,
    ): Outcome<Charge> = quota.admit(stoves.id, id, tokens, maximumWaitMillis)

    /** Uses [tokens] for the seat holder's own requests. */
    suspend fun spendAtHolder(tokens: Long) {
        quotaOfHolder.admit(stoves.id, "own", tokens).shouldBeInstanceOf<Outcome.Success<Charge>>()
    }

    override fun close() {
        scope.cancel()
        control.close()
    }
}

class FleetQuotaTest : FunSpec({
    // Guards against a request that polls the seat holder repeatedly while the team's tokens are generated.
    test("a request that needs tokens of a seat holder waits there with one transfer request") {
        RequesterAndHolder().use { vms ->
            vms.fill()
            vms.spendAtHolder(9_500)
            vms.admit("a", 2_500).shouldBeInstanceOf<Outcome.Success<Charge>>()
            vms.transferRequests.map { it.minimumAmount } shouldContainExactly listOf(2_500L)
        }
    }

    // Guards against a capacity of the holder that stays reduced for half a second after tokens were used.
    test("the holder is told under the id of the transfer that its tokens are used") {
        RequesterAndHolder().use { vms ->
            vms.fill()
            vms.admit("a", 2_500).shouldBeInstanceOf<Outcome.Success<Charge>>()
            eventually(1.seconds) { vms.ended.map { it.returned } shouldContainExactly listOf(0L) }
            vms.ended.single().ended shouldBe vms.transferIds.single()
        }
    }

    // Guards against a caller that leaves without an answer while its request waits for tokens beyond its deadline.
    test("a request that may wait for 100 ms is refused by then though its tokens would come later") {
        RequesterAndHolder().use { vms ->
            vms.fill()
            vms.spendAtHolder(9_500)
            val startedAt = System.nanoTime()
            val refused = vms.admit("a", 2_500, maximumWaitMillis = 100).shouldBeInstanceOf<Outcome.Failed>()
            refused.failure.kind shouldBe ErrorKind.RATE_LIMITED
            ((System.nanoTime() - startedAt) / 1_000_000).shouldBeBetween(0, 190)
        }
    }

    // Guards against a request that waits for its whole maximum wait although no seat holder can serve it in time.
    test("a request that the seat holders cannot serve in time is refused immediately") {
        RequesterAndHolder().use { vms ->
            vms.fill()
            vms.spendAtHolder(10_000)
            val startedAt = System.nanoTime()
            val refused = vms.admit("a", 6_000).shouldBeInstanceOf<Outcome.Failed>()
            refused.failure.kind shouldBe ErrorKind.RATE_LIMITED
            ((System.nanoTime() - startedAt) / 1_000_000).shouldBeBetween(0, 300)
        }
    }
})
