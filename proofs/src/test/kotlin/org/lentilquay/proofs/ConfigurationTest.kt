package org.lentilquay.proofs

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeSorted
import io.kotest.matchers.shouldBe
import org.lentilquay.protocol.PlatformControl
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.Team
import org.lentilquay.state.TeamId
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

private fun team(name: String) = ConfigurationChange.PutTeam(Team(TeamId(name), 10, 100))

/** Guards against an accepted configuration that is lost, reverts, or is not in force everywhere within 4 s. */
class ConfigurationTest : FunSpec({
    fun Fleet.inForce(revision: Long, vms: List<Vm> = this.vms) =
        await("revision $revision is in force", IN_FORCE_MILLIS) { vms.all { (it.revision() ?: 0) >= revision } }

    fun race(first: Vm, second: Vm, name: String): List<AdminAnswer<*>> {
        val plans = listOf(first, second).map { vm -> vm to vm.plan(team("$name-${vm.name}")).required() }
        return plans.map { (vm, plan) -> CompletableFuture.supplyAsync { vm.confirm(plan) } }.map { it.get() }
    }

    test("racing operators, outage, cut, lost answers and a restarted VM") {
        session("configuration", FleetOptions(vms = 3)) { fleet ->
            val seen = ConcurrentHashMap<Vm, ConcurrentLinkedQueue<Long>>()
            val isOver = AtomicBoolean()
            val restarting = ConcurrentHashMap.newKeySet<Vm>()
            val observers = fleet.vms.map { vm ->
                thread(isDaemon = true) {
                    val revisions = seen.computeIfAbsent(vm) { ConcurrentLinkedQueue() }
                    while (!isOver.get()) {
                        vm.revision()?.takeIf { vm !in restarting }?.let(revisions::add)
                        Thread.sleep(20)
                    }
                }
            }
            val (one, two, three) = fleet.vms
            repeat(5) { turn ->
                val answers = race(one, two, "race-$turn").map { it.code ?: "confirmed" }.sorted()
                note("race ${turn + 1}: ${answers.joinToString()}")
                fleet.inForce(turn + 2L)
            }
            val plan = one.plan(team("twice")).required()
            val twice = listOf(one.confirm(plan), two.confirm(plan)).map { it.value?.revision ?: it.code }
            note("the same plan at two VMs, one after the other: $twice")
            fleet.inForce(7)

            fleet.cutTable(three)
            one.apply(team("while-cut"))
            fleet.inForce(8)
            note("in force at a VM without table: true")
            fleet.cutPeers(three)
            two.apply(team("while-alone"))
            fleet.inForce(9, listOf(one, two))
            fleet.vms.forEach { it.relay.restore() }
            fleet.cutTable()
            fleet.inForce(9)
            note("in force at a VM once it is reachable again: true")

            val inOutage = one.plan(team("in-outage")).required()
            fleet.platform.control(PlatformControl(outage = true))
            note("confirmed in an outage: " + one.confirm(inOutage).let { "${it.status} ${it.code}" })
            fleet.platform.control(PlatformControl(outage = false))
            note("the same plan after the outage: " + one.confirm(inOutage).let { it.value?.revision ?: it.code })
            fleet.inForce(10)

            fleet.platform.control(PlatformControl(loseAnswers = 1_000))
            val lost = two.plan(team("lost-answer")).value?.let(two::confirm)
            fleet.platform.control(PlatformControl(loseAnswers = 0))
            note("confirmed with lost answers of the table: " + (lost?.value?.revision ?: lost?.code))
            fleet.inForce(11)

            restarting += three
            three.kill()
            one.apply(team("while-down"))
            three.start(listOf(one, two))
            await("the restarted VM is ready", TAKEOVER_MILLIS) { three.isReady }
            fleet.inForce(12)
            note("in force at a restarted VM: true")
            isOver.set(true)
            observers.forEach { it.join() }
            seen.forEach { (vm, revisions) -> withClue(vm.name) { revisions.toList().shouldBeSorted() } }
            fleet.vms.map { it.revision() }.distinct() shouldBe listOf(12L)
            note("revisions that fell: 0")
        }
    }
})
