package org.lentilquay.proofs

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.lentilquay.protocol.PlatformControl
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.Team
import org.lentilquay.state.TeamId
import java.util.concurrent.CompletableFuture

private fun team(name: String) = ConfigurationChange.PutTeam(Team(TeamId(name), 10, 100))

/** Guards against a confirmed configuration that is lost, goes back, or is not in force on every VM within 4 s. */
class ConfigurationTest : FunSpec({
    /** Two operators plan on the same revision and confirm at the same time; only one may succeed. */
    fun race(first: Vm, second: Vm, name: String): List<AdminResponse<*>> {
        val plans = listOf(first, second).map { vm -> vm to vm.plan(team("$name-${vm.name}")).required() }
        return plans.map { (vm, plan) -> CompletableFuture.supplyAsync { vm.confirm(plan) } }.map { it.get() }
    }

    test("confirmed changes come into force despite races, an outage, a partition, lost answers and a restart") {
        session("configuration", FleetOptions(vms = 3)) { fleet ->
            val watch = RevisionWatch(fleet.vms)
            val (one, two, three) = fleet.vms
            repeat(5) { turn ->
                val answers = race(one, two, "race-$turn").map { it.code ?: "confirmed" }.sorted()
                note("race ${turn + 1}: ${answers.joinToString()}")
                fleet.awaitInForce(turn + 2L)
            }
            val plan = one.plan(team("twice")).required()
            val twice = listOf(one.confirm(plan), two.confirm(plan)).map { it.value?.revision ?: it.code }
            note("the same plan at two VMs, one after the other: $twice")
            fleet.awaitInForce(7)

            fleet.blockPlatformAccess(three)
            one.apply(team("while-cut"))
            fleet.awaitInForce(8)
            note("in force at a VM without table: true")
            fleet.partitionPeers(three)
            two.apply(team("while-alone"))
            fleet.awaitInForce(9, listOf(one, two))
            fleet.healPeerPartitions()
            fleet.blockPlatformAccess()
            fleet.awaitInForce(9)
            note("in force at a VM once it is reachable again: true")

            val inOutage = one.plan(team("in-outage")).required()
            fleet.platform.control(PlatformControl(outage = true))
            note("confirmed in an outage: " + one.confirm(inOutage).let { "${it.status} ${it.code}" })
            fleet.platform.control(PlatformControl(outage = false))
            note("the same plan after the outage: " + one.confirm(inOutage).let { it.value?.revision ?: it.code })
            fleet.awaitInForce(10)

            fleet.platform.control(PlatformControl(loseAnswers = 1_000))
            val lost = two.plan(team("lost-answer")).value?.let(two::confirm)
            fleet.platform.control(PlatformControl(loseAnswers = 0))
            note("confirmed with lost answers of the table: " + (lost?.value?.revision ?: lost?.code))
            fleet.awaitInForce(11)

            watch.restarting += three
            three.kill()
            one.apply(team("while-down"))
            three.start(listOf(one, two))
            await("the restarted VM is ready", TAKEOVER_TIMEOUT_MILLIS) { three.isReady }
            fleet.awaitInForce(12)
            note("in force at a restarted VM: true")
            watch.finish()
            fleet.vms.map { it.revision() }.distinct() shouldBe listOf(12L)
            note("revisions that fell: 0")
        }
    }
})
