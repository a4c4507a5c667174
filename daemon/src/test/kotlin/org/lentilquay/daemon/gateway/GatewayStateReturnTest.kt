package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.lentilquay.coordination.gateway.OperatorRows
import org.lentilquay.state.DomainId
import org.lentilquay.state.Incarnation
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.CallerLimits
import org.lentilquay.state.gateway.GatewayConfiguration
import org.lentilquay.state.gateway.OperatorState
import org.lentilquay.state.gateway.RegisteredServer

private val SERVER = ServerId("s1")

private fun operator(version: Long, vararg drained: String) = OperatorState(
    GatewayConfiguration(version, emptyList(), emptyMap(), emptyMap(), emptyMap(), CallerLimits(1, 1, 1, 1)),
    drained.mapTo(HashSet()) { DomainId(it) },
)

private fun server(isDraining: Boolean) = RegisteredServer(
    SERVER, "desk", "127.0.0.1:1", EAST, batchSlots = 1, isDraining = isDraining, coldMillis = 0,
    startedAtEpochMillis = 1, models = emptySet(),
)

private class StateFixture(private val firstEra: Long?) {
    var now = 0L
    val state = GatewayState(gatewayOptions(VmId("vm-1")), Incarnation(1)) { now }

    fun operator(read: OperatorState, era: Long?) =
        state.operatorRead(read, WatchedRows(1, emptyMap(), era), OperatorRows())

    fun servers(isDraining: Boolean?, era: Long?) {
        val read = isDraining?.let { mapOf(SERVER to server(it)) }.orEmpty()
        state.serversRead(read, WatchedRows(1, emptyMap(), era), emptySet())
    }

    fun start() {
        operator(operator(7, "east"), firstEra)
        servers(isDraining = true, firstEra)
    }
}

/** Guards against a VM that admits requests by a configuration, domains or servers of a copy that lost writes. */
class GatewayStateReturnTest : FunSpec({
    test("requests are admitted by what was acknowledged, and after 30 s by the copy") {
        StateFixture(3).run {
            start()
            state.previousOperator(4) shouldBe OperatorState()
            operator(operator(6), 4)
            servers(isDraining = false, 4)
            state.rules?.configuration?.version shouldBe 7
            state.operator shouldBe operator(7, "east")
            state.selection.registered.getValue(SERVER).isDraining shouldBe true
            now = 29_999
            state.dropFormerEra() shouldBe false
            state.operator shouldBe operator(7, "east")
            now = 30_000
            state.dropFormerEra() shouldBe true
            state.rules?.configuration?.version shouldBe 6
            state.operator shouldBe operator(6)
            state.selection.registered.getValue(SERVER).isDraining shouldBe false
            state.dropFormerEra() shouldBe false
        }
    }

    test("a server that the copy lacks serves on for 4 s") {
        StateFixture(3).run {
            start()
            servers(isDraining = null, 4)
            state.selection.registered.keys shouldBe setOf(SERVER)
            now = 4_000
            state.dropFormerEra() shouldBe false
            state.selection.registered shouldBe emptyMap()
        }
    }

    test("without eras the state is that of the table at once") {
        StateFixture(null).run {
            start()
            state.previousOperator(null) shouldBe operator(7, "east")
            operator(operator(7), null)
            servers(isDraining = false, null)
            state.operator shouldBe operator(7)
            state.selection.registered.getValue(SERVER).isDraining shouldBe false
            servers(isDraining = null, null)
            state.selection.registered shouldBe emptyMap()
            now = 100_000
            state.dropFormerEra() shouldBe false
        }
    }
})
