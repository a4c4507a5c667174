package org.lentilquay.daemon.control

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import org.lentilquay.daemon.settings.WeightStoreSettings
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import kotlin.time.Duration.Companion.seconds

private val vm = VmId("vm-a")
private val adapter = AdapterVersion("stove", 1)

private fun ask(loadId: String) = PeerRequest.LoadPermit(loadId, "main", ServerId("engine"), adapter, 1)

private fun done(loadId: String) = PeerRequest.LoadDone(loadId, "main")

/** Guards against loads that wait although a permit is free, and against long polls that are never answered. */
class WeightStoreOwnerTest : FunSpec({
    val control = ControlThread()
    afterSpec { control.close() }
    val settings = WeightStoreSettings("main", loadsPerSecond = 5.0, parallelLoads = 1)
    val granted = PeerAnswer.Permit(granted = true, retryAfterMillis = 0)

    suspend fun owner() = WeightStoreOwner(settings, control) { 10_000 }.also { owner ->
        control.decide { owner.acquired(fence = 1, since = 9_000) }
        owner.request(vm, ask("active")) shouldBe granted
    }

    listOf<Triple<String, PeerAnswer, (WeightStoreOwner) -> Unit>>(
        Triple("a permit is returned", granted) { it.done(done("active")) },
        Triple("the VM that holds a permit is gone", granted) { it.memberGone(vm) },
        Triple("it is withdrawn", PeerAnswer.Permit(false, retryAfterMillis = 100)) { it.done(done("waiting")) },
        Triple("the long poll times out", PeerAnswer.Permit(false, retryAfterMillis = 0)) { },
        Triple("the ownership ends", PeerAnswer.NotOwner(null)) { it.lost() },
    ).forEach { (event, expected, act) ->
        test("a waiting request is answered when $event") {
            val owner = owner()
            val answer = async { owner.request(VmId("vm-b"), ask("waiting")) }
            eventually(5.seconds) { owner.hasWaitingRequests shouldBe true }
            control.decide { act(owner) }
            answer.await() shouldBe expected
        }
    }
})
