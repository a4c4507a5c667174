package org.lentilquay.daemon.control

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import org.lentilquay.daemon.settings.WeightStoreSettings
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId

private object NoFleet : PeerCaller {
    override val own = VmId("vm-a")

    override suspend fun call(vm: VmId, request: PeerRequest, timeoutMillis: Long) = error("no VM is called")
}

class FleetLoadPermitsTest : FunSpec({
    // Guards against load ids that repeat those of another VM: the owner of the weight store rejects returned ids for
    // 30 s.
    test("load ids differ between attempts and between VMs with the same initial state") {
        val settings = WeightStoreSettings("main", loadsPerSecond = 5.0)
        ControlThread().use { control ->
            val owners = OwnerClient(NoFleet, lookUp = { null }, now = { 0 })
            val owner = WeightStoreOwner(settings, control) { 0 }
            val ids = List(2) { FleetLoadPermits(settings, owner, owners, control, { 2 }) { 0 } }
                .flatMap { permits ->
                    List(2) { permits.newAttempt(ServerId("engine"), AdapterVersion("stove", 1)).id }
                }
            ids.toSet() shouldHaveSize 4
        }
    }
})
