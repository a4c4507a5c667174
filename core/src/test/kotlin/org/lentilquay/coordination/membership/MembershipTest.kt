package org.lentilquay.coordination.membership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.lentilquay.protocol.ListedVm
import org.lentilquay.protocol.ListedVmKind
import org.lentilquay.protocol.ListedVmState
import org.lentilquay.protocol.MemberState
import org.lentilquay.protocol.MemberUpdate
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.DomainId
import org.lentilquay.state.Incarnation
import org.lentilquay.state.VmId
import kotlin.random.Random

/** Guards against work sent to dead VMs, live VMs declared dead, and local views that do not converge. */
class MembershipTest : FunSpec({
    val me = OwnIdentity(VmId("me"), Incarnation(5), "ip-me", DomainId("d"))
    fun membership() = Membership(me, emptyList(), Random(1))
    fun updateOf(state: MemberState, incarnation: Long = 1, refutation: Long = 0, vm: String = "x") =
        MemberUpdate(VmId(vm), Incarnation(incarnation), refutation, state, "ip-$vm", DomainId("d"))
    fun probe(vararg updates: MemberUpdate) = PeerRequest.Probe(updates.toList(), 0, false, ready = true)
    fun listed(vararg vms: Pair<String, ListedVmState>) =
        vms.map { (id, state) -> ListedVm(id, "ip-$id", "d", ListedVmKind.VM, state) }
    val x = VmId("x")

    listOf(
        listOf(updateOf(MemberState.ALIVE), updateOf(MemberState.SUSPECT)) to MemberState.SUSPECT,
        listOf(updateOf(MemberState.SUSPECT), updateOf(MemberState.ALIVE)) to MemberState.SUSPECT,
        listOf(updateOf(MemberState.SUSPECT), updateOf(MemberState.ALIVE, refutation = 1)) to MemberState.ALIVE,
        listOf(updateOf(MemberState.ALIVE, refutation = 1), updateOf(MemberState.DEAD)) to MemberState.ALIVE,
        listOf(updateOf(MemberState.DEAD), updateOf(MemberState.ALIVE, refutation = 1)) to MemberState.ALIVE,
        listOf(updateOf(MemberState.LEFT), updateOf(MemberState.ALIVE, refutation = 9)) to MemberState.LEFT,
        listOf(updateOf(MemberState.LEFT), updateOf(MemberState.ALIVE, incarnation = 2)) to MemberState.ALIVE,
        listOf(updateOf(MemberState.ALIVE, incarnation = 2), updateOf(MemberState.DEAD, refutation = 9)) to
            MemberState.ALIVE,
    ).forEach { (updates, expected) ->
        test("updates ${updates.map { "${it.state} ${it.incarnation}.${it.refutation}" }} gives $expected") {
            val membership = membership()
            updates.forEach { membership.received(VmId("y"), probe(it), 0) }
            membership.stateOf(x) shouldBe expected
        }
    }

    test("a higher incarnation is reported as a restart, and one of this VM as its replacement") {
        val membership = membership().apply { received(x, probe(updateOf(MemberState.ALIVE)), 0) }
        membership.received(x, probe(updateOf(MemberState.ALIVE, incarnation = 2)), 0).effects shouldContain
            MembershipEffect.Restarted(x, Incarnation(1), Incarnation(2))
        membership.received(x, probe(updateOf(MemberState.ALIVE, incarnation = 6, vm = "me")), 0).effects shouldContain
            MembershipEffect.Replaced(Incarnation(6))
    }

    // Guards against calls to an address at which a member no longer listens.
    test("an address is reported only if it is new or has changed") {
        val membership = membership()
        fun addresses(update: MemberUpdate) = membership.received(x, probe(update), 0).effects
            .filterIsInstance<MembershipEffect.AddressChanged>().map { it.address }
        membership.mergeVmList(listed("x" to ListedVmState.LIVE), 0) shouldContain
            MembershipEffect.AddressChanged(x, "ip-x")
        addresses(updateOf(MemberState.ALIVE)) shouldBe emptyList()
        addresses(updateOf(MemberState.ALIVE, incarnation = 2).copy(address = "ip-new")) shouldBe listOf("ip-new")
        addresses(updateOf(MemberState.SUSPECT, incarnation = 2).copy(address = "ip-new")) shouldBe emptyList()
    }

    test("a suspicion of this VM is refuted in the answer") {
        val answer = membership().received(x, probe(updateOf(MemberState.SUSPECT, 5, 3, "me")), 0).answer
        answer.updates.first { it.vm == me.vm }.let { it.state to it.refutation } shouldBe (MemberState.ALIVE to 4L)
    }

    test("a suspicion with an older refutation does not lower the refutation of this VM") {
        val membership = membership()
        listOf(3L to 4L, 1L to 4L, 4L to 5L).forEach { (suspected, refuted) ->
            val answer = membership.received(x, probe(updateOf(MemberState.SUSPECT, 5, suspected, "me")), 0).answer
            answer.updates.first { it.vm == me.vm }.refutation shouldBe refuted
        }
    }

    test("after a pause, unanswered probes raise no suspicion, and the timeouts of suspects start again") {
        val membership = membership().apply { tick(0) }
        membership.received(x, probe(updateOf(MemberState.ALIVE), updateOf(MemberState.SUSPECT, vm = "y")), 0)
        membership.tick(5_000)
        membership.probeFailed(x, 100, 5_000).shouldBeEmpty()
        membership.stateOf(x) shouldBe MemberState.ALIVE
        membership.stateOf(VmId("y")) shouldBe MemberState.SUSPECT
        membership.tick(5_900)
        membership.tick(6_800)
        membership.tick(7_000)
        membership.stateOf(VmId("y")) shouldBe MemberState.DEAD
    }

    test("VMs on the VM list become members, leaving ones are LEFT, and those that leave the list depart") {
        val membership = membership()
        membership.mergeVmList(listed("x" to ListedVmState.LIVE, "y" to ListedVmState.LEAVING), 0)
        membership.stateOf(x) shouldBe MemberState.ALIVE
        membership.stateOf(VmId("y")) shouldBe MemberState.LEFT
        membership.mergeVmList(listed("x" to ListedVmState.LIVE), 10_000)
        membership.hasDeparted(VmId("y")) shouldBe true
        membership.hasDeparted(VmId("z")) shouldBe false
        // An older update must not add it again, but a later incarnation with the same id is a new member.
        membership.received(x, probe(updateOf(MemberState.ALIVE, 0, 9, "y")), 10_000)
        membership.stateOf(VmId("y")) shouldBe null
        membership.received(x, probe(updateOf(MemberState.ALIVE, 2, 0, "y")), 10_000)
        membership.hasDeparted(VmId("y")) shouldBe false
    }

    test("a VM that left the VM list departs only 3 s after it was last heard from") {
        val membership = membership().apply { mergeVmList(listed("x" to ListedVmState.LIVE), 0) }
        membership.received(x, probe(updateOf(MemberState.ALIVE)), 5_000)
        membership.mergeVmList(emptyList(), 6_000)
        membership.hasDeparted(x) shouldBe false
        membership.tick(8_001)
        membership.hasDeparted(x) shouldBe true
    }

    test("a message carries at most 8 updates, and 5 messages carry 40 different ones") {
        val membership = membership()
        val many = (1..40).map { updateOf(MemberState.ALIVE, vm = "v$it") }
        membership.received(x, probe(*many.toTypedArray()), 0)
        val sent = (1..5).map { membership.received(VmId("stranger"), probe(), 0).answer.updates }
        sent.maxOf { it.size } shouldBe MAXIMUM_UPDATES
        sent.flatten().map { it.vm }.toSet().size shouldBe 40
    }

    test("members heard from within 3 s are reachable, and their reports count") {
        val membership = membership().apply { received(x, probe(updateOf(MemberState.ALIVE)), 0) }
        val answer = PeerAnswer.ProbeAnswer(Incarnation(1), emptyList(), 7, true, true, true)
        membership.probeAnswered(x, 1_000, answer, 1_001)
        membership.reachable(4_000) shouldContainExactlyInAnyOrder listOf(me.vm, x)
        membership.reachability(4_000).let { it.tableReachableByPeer to it.highestRevision } shouldBe (true to 7L)
        membership.reachable(4_001) shouldContainExactlyInAnyOrder listOf(me.vm)
        membership.received(x, probe(), 2_000)
        listOf(1_000L to 2, 1_001L to 1).forEach { (since, reached) ->
            membership.reachabilitySince(since).reachable shouldBe reached
        }
    }

    listOf(Triple(8, 10, 3_500L), Triple(40, 5, 5_000L)).forEach { (size, seeds, bound) ->
        test("$size members: all join through one seed, and all see a killed one as dead within $bound ms") {
            (1..seeds).forEach { seed ->
                val fleet = TestFleet(size, seed).apply { run(20_000) }
                fleet.isConverged() shouldBe true
                fleet.running().forEach { it.membership.readyMembers().size shouldBe size }
                fleet.vms.getValue("vm-3").isKilled = true
                fleet.timeUntil(bound) { fleet.allSee("vm-3", MemberState.DEAD) } shouldBeLessThanOrEqual bound
                // A later incarnation with the same id replaces it.
                fleet.start("vm-3", 2, listOf("ip-vm-1"))
                fleet.run(5_000)
                fleet.isConverged() shouldBe true
            }
        }

        test("$size members with 5 % loss: only a paused member is declared dead, and it returns after the pause") {
            (1..seeds).forEach { seed ->
                val fleet = TestFleet(size, seed, loss = 0.05).apply { run(20_000) }
                fleet.vms.getValue("vm-2").pausedUntil = fleet.now + 6_000
                fleet.vms.values.forEach { it.changes.clear() }
                fleet.timeUntil(5_900) { fleet.allSee("vm-2", MemberState.DEAD) } shouldBeLessThanOrEqual 5_900
                fleet.run(10_000)
                // Loss causes short suspicions at times, so a state without any is awaited for some seconds.
                fleet.timeUntil(10_000, fleet::isConverged) shouldBeLessThanOrEqual 10_000
                fleet.running().flatMap { it.changes.map { change -> change.second } }
                    .filterIsInstance<MembershipEffect.StateChanged>()
                    .filter { it.to == MemberState.DEAD && it.vm != VmId("vm-2") }
                    .shouldBeEmpty()
            }
        }

        test("$size members: only the larger side of a partition has a majority, and both sides merge afterwards") {
            (1..seeds).forEach { seed ->
                val fleet = TestFleet(size, seed).apply { run(20_000) }
                val apart = fleet.vms.values.take(size / 2 - 1).onEach { it.side = 1 }
                fleet.run(10_000)
                fleet.vms.values.forEach {
                    val seen = it.membership.reachability(fleet.now)
                    seen.members shouldBe size
                    seen.isStrictMajority shouldBe (it !in apart)
                }
                apart.forEach { it.side = 0 }
                fleet.run(15_000)
                fleet.isConverged() shouldBe true
            }
        }
    }

    test("all members see a VM as LEFT, not DEAD, after its planned stop") {
        val fleet = TestFleet(8, 1).apply { run(10_000) }
        val leaving = fleet.vms.getValue("vm-4")
        fleet.handle(leaving, leaving.membership.leave(fleet.now))
        fleet.run(3_000)
        leaving.isKilled = true
        fleet.run(10_000)
        fleet.allSee("vm-4", MemberState.LEFT) shouldBe true
    }
})
