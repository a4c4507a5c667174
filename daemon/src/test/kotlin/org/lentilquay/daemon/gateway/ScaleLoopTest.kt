package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.lentilquay.coordination.gateway.DutyControl
import org.lentilquay.daemon.control.tolerantJson
import org.lentilquay.state.ServerId
import org.lentilquay.state.gateway.AutoscaleLimits
import org.lentilquay.state.gateway.DutySubject
import org.lentilquay.state.gateway.RegisteredServer
import org.lentilquay.state.gateway.ScaleOrderRecord
import org.lentilquay.state.gateway.ScaleTarget
import org.lentilquay.state.gateway.ServiceProfile
import org.lentilquay.state.gateway.scaleKey

private val TARGET = ScaleTarget("models", EAST)
private val SERVERS = List(4) { RegisteredServer(ServerId("s$it"), "models", "", EAST, 8, false, 0, 1, emptySet()) }

/** One VM with the duty, and a decision that the test sets. */
private class Scaling(val fleet: DutyFleet) : ScalePlanner {
    var fence: Long? = 1
    var wanted = 4
    val taken = ArrayList<Map<ScaleTarget, ScaleOrderRecord>>()
    private val vm = fleet.vms.first()
    private val leases = object : DutyControl {
        override fun require(subjects: Set<DutySubject>) = Unit

        override fun fenceOf(subject: DutySubject): Long? = fence

        override fun mayCall(subject: DutySubject, fence: Long) = this@Scaling.fence == fence
    }
    private val service = ServiceProfile("models", 0, 0.0, null, AutoscaleLimits(1, 32, 8_000))
    private val view = ScaleView { targets, orders, usage ->
        ScaleInputs(
            now = vm.time.tableMillis ?: 0,
            services = mapOf("models" to service),
            targets = targets,
            servers = SERVERS,
            serversAgeMillis = 0,
            members = emptyMap(),
            membersAgeMillis = 0,
            usage = usage.rows,
            usageAgeMillis = fleet.now - usage.readAt,
            drainedDomains = emptySet(),
            orders = orders,
        )
    }
    private var loop = newLoop()

    private fun newLoop() = ScaleLoop(
        { leases }, fleet.api, fleet.table, vm.rows, vm.time, { setOf(TARGET) }, view, this, fleet.control,
        fleet.metrics, demandAgeMillis = 5_000, continuityMillis = 3_000,
    )

    override fun wanted(inputs: ScaleInputs) = mapOf(TARGET to wanted)

    override fun taken(orders: Map<ScaleTarget, ScaleOrderRecord>, now: Long) {
        taken += orders
    }

    /** Another VM takes the duty. */
    fun change(fence: Long) {
        this.fence = fence
        loop = newLoop()
    }

    suspend fun pass(millis: Long) = repeat((millis / 1_000).toInt()) {
        fleet.pass(1_000)
        loop.step()
    }

    fun recorded(): ScaleOrderRecord? =
        fleet.table.text(scaleKey(TARGET))?.let { tolerantJson.decodeFromString<ScaleOrderRecord>(it) }
}

private suspend fun scaling(hasEras: Boolean = false, test: suspend Scaling.() -> Unit) =
    DutyFleet(2, hasEras).use { fleet ->
        fleet.holder = null
        fleet.pass(3_000)
        Scaling(fleet).test()
    }

/** Guards against orders that are not wanted, lost, unknown to the next holder, or sent without the duty. */
class ScaleLoopTest : FunSpec({
    test("nothing is ordered while the wanted number is the present one, and one read a window is made") {
        scaling {
            fleet.table.scans.clear()
            pass(30_000)
            fleet.api.orders.shouldBeEmpty()
            recorded() shouldBe null
            fleet.table.scans.count { it == "usage/" } shouldBe 5
        }
    }

    test("a change is recorded and ordered once") {
        scaling {
            pass(2_000)
            wanted = 6
            pass(10_000)
            fleet.api.orders shouldBe listOf(DutyApi.Order(TARGET, 6, 1))
            recorded()?.desired shouldBe 6
            fleet.table.writes.count { it.startsWith("scale/") } shouldBe 1
        }
    }

    test("an order that is not accepted is repeated, with one write") {
        scaling {
            wanted = 6
            fleet.api.outcome = DutyOutcome.THROTTLED
            pass(6_000)
            fleet.api.outcome = DutyOutcome.ACCEPTED
            pass(6_000)
            fleet.api.orders.toSet() shouldBe setOf(DutyApi.Order(TARGET, 6, 1))
            val count = fleet.api.orders.size
            pass(6_000)
            fleet.api.orders.size shouldBe count
            fleet.table.writes.count { it.startsWith("scale/") } shouldBe 1
        }
    }

    test("a holder that changes between recording and ordering leaves the order to its successor") {
        scaling {
            wanted = 6
            fleet.api.outcome = DutyOutcome.NOT_SENT
            pass(2_000)
            fleet.api.outcome = DutyOutcome.ACCEPTED
            change(fence = 2)
            pass(4_000)
            fleet.api.orders shouldBe listOf(DutyApi.Order(TARGET, 6, 2))
            taken.last().values.single().desired shouldBe 6
        }
    }

    test("no order is sent that could not be recorded, and an outage of the table service changes nothing") {
        scaling {
            pass(2_000)
            fleet.table.isReachable = false
            wanted = 6
            pass(4_000)
            fleet.api.orders.shouldBeEmpty()
            fleet.table.isReachable = true
            pass(4_000)
            fleet.api.orders shouldBe listOf(DutyApi.Order(TARGET, 6, 1))
        }
    }

    test("an order whose record got no answer is sent once the record is read back") {
        scaling {
            wanted = 6
            pass(1_000)
            wanted = 7
            fleet.table.losesAnswers = true
            pass(1_000)
            fleet.table.losesAnswers = false
            pass(4_000)
            fleet.api.orders.map { it.desired } shouldBe listOf(6, 7)
            recorded()?.desired shouldBe 7
        }
    }

    test("an order that a return of the table service has lost is recorded again") {
        scaling(hasEras = true) {
            pass(3_000)
            wanted = 6
            pass(2_000)
            fleet.table.returnFrom(4_000)
            recorded() shouldBe null
            pass(4_000)
            recorded()?.desired shouldBe 6
            fleet.api.orders.map { it.desired }.toSet() shouldBe setOf(6)
        }
    }

    test("a VM without the duty orders nothing") {
        scaling {
            fence = null
            wanted = 9
            pass(5_000)
            fleet.api.orders.shouldBeEmpty()
        }
    }
})
