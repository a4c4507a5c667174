package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.lentilquay.coordination.gateway.DutyControl
import org.lentilquay.coordination.gateway.usage.UsageOptions
import org.lentilquay.daemon.control.tolerantJson
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.DomainId
import org.lentilquay.state.Incarnation
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.AutoscaleLimits
import org.lentilquay.state.gateway.CallerLimits
import org.lentilquay.state.gateway.DutySubject
import org.lentilquay.state.gateway.GatewayConfiguration
import org.lentilquay.state.gateway.MemberRecord
import org.lentilquay.state.gateway.OperatorState
import org.lentilquay.state.gateway.RegisteredServer
import org.lentilquay.state.gateway.ServiceProfile
import org.lentilquay.state.gateway.UsageRecord

private val VM = VmId("vm-1")
private val USAGE = UsageOptions(5_000, 10_000, 0.05)

private class DutyNode(private val fleet: DutyFleet, duties: DutyOptions?) {
    val required = ArrayList<Set<DutySubject>>()
    var isLeaving = false
    private val options = gatewayOptions(VM).copy(duties = duties)
    val state = GatewayState(options, Incarnation(7)) { fleet.now }
    private val leases = object : DutyControl {
        override fun require(subjects: Set<DutySubject>) {
            required += subjects
        }

        override fun fenceOf(subject: DutySubject): Long? = null

        override fun mayCall(subject: DutySubject, fence: Long) = false
    }
    private val context = DutyContext(
        options,
        Incarnation(7),
        state,
        fleet.table,
        fleet.table,
        fleet.control,
        fleet.metrics,
        { fleet.now },
        { isLeaving },
        { leases },
        { 0 },
    )
    val duties = dutiesOf(context, fleet.api)

    fun join(wallOffsetMillis: Long?) {
        val record = MemberRecord("", EAST, Incarnation(7), 1, wallOffsetMillis = wallOffsetMillis)
        state.membersChanged(mapOf(VM to record), emptySet())
    }

    fun row(): UsageRecord? = duties.shouldNotBeNull().renewalContent.additionalWrites()
        .map { it as TableOperation.Put }.singleOrNull()?.let { tolerantJson.decodeFromString(it.value) }
}

private fun server(id: String, service: String, domain: String) =
    RegisteredServer(ServerId(id), service, "", DomainId(domain), 8, false, 0, 1, emptySet())

/** Guards against duties that nobody asked for, and against rows that name a time that is not known. */
class DutiesTest : FunSpec({
    test("settings without duties lead to none") {
        DutyFleet(1).use { DutyNode(it, null).duties.shouldBeNull() }
    }

    test("a VM publishes its counts once it knows the true time, and says when it counts nothing more") {
        DutyFleet(1).use { fleet ->
            val node = DutyNode(fleet, DutyOptions(USAGE, false, 5_000))
            node.row().shouldBeNull()
            node.join(WALL_OFFSET)
            val row = node.row().shouldNotBeNull()
            row.completeMillis shouldBe TABLE_OFFSET + WALL_OFFSET
            row.isFinal shouldBe false
            node.isLeaving = true
            node.row().shouldNotBeNull().isFinal shouldBe true
        }
    }

    test("the subjects are usage and each failure domain of a scaled service, also while it has no server") {
        DutyFleet(1).use { fleet ->
            val node = DutyNode(fleet, DutyOptions(USAGE, true, 5_000))
            node.duties.shouldNotBeNull().tick()
            node.required.single().map { it.text } shouldBe listOf("usage")
            val services = listOf(
                ServiceProfile("models", 0, 0.0, null, AutoscaleLimits(1, 9, 8_000)),
                ServiceProfile("vans", 0, 0.0, null),
            )
            val limits = CallerLimits(1, 1, 1, 1)
            val configuration =
                GatewayConfiguration(1, emptyList(), services.associateBy { it.name }, emptyMap(), emptyMap(), limits)
            node.state.operatorChanged(OperatorState(configuration), 1)
            val servers = listOf(server("a", "models", "a"), server("b", "models", "b"), server("v", "vans", "a"))
            node.state.serversChanged(servers.associateBy { it.id }, 1)
            node.duties.tick()
            node.required.last().map { it.text }.toSet() shouldBe setOf("usage", "scale/models/a", "scale/models/b")
            node.state.serversChanged(servers.drop(1).associateBy { it.id }, 2)
            node.required.clear()
            node.duties.tick()
            node.required.shouldBeEmpty()
        }
    }
})
