package org.lentilquay.coordination.ownership

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.lentilquay.coordination.WriteResult
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.Incarnation
import org.lentilquay.state.OrderKind
import org.lentilquay.state.OwnershipRecord
import org.lentilquay.state.PendingOrder
import org.lentilquay.state.VmId
import kotlin.random.Random

private val own = VmId("vm-a")
private val peer = VmId("vm-b")
private val adapter = AdapterVersion("stove", 3)
private val view = OwnershipCandidates(listOf(own, peer), 0)

private fun decider(needsLeaseWait: Boolean): OwnershipDecider {
    var number = 0
    return OwnershipDecider("s", own, Incarnation(2), needsLeaseWait, HandoverLimiter()) { "n${number++}" }
}

private fun record(vm: VmId?, incarnation: Long = 1, order: PendingOrder? = null) =
    OwnershipRecord(vm, Incarnation(incarnation), 7, order, emptyList(), "old")

/** A decider that has taken ownership from the dead [peer]. */
private fun takenOver(needsLeaseWait: Boolean, order: PendingOrder? = null) = decider(needsLeaseWait).apply {
    observe(record(peer, 1, order), 4, 0)
    ownerState(OwnerState.DEAD, 0)
    sessionObserved(peer, 9, 0)
    val take = decide(view, 4_000) as OwnershipDecision.Take
    written(take.nonce, WriteResult.COMMITTED, 4_010) shouldBe WriteEffect.OWNER
}

class OwnershipDeciderTest : FunSpec({
    // Guards against two owners, and against a resource without an owner.
    data class Case(val name: String, val record: OwnershipRecord?, val state: OwnerState?, val takes: Boolean)
    listOf(
        Case("a resource without a record is taken", null, null, true),
        Case("a released resource is taken", record(null), null, true),
        Case("a resource of a former process of this VM is taken", record(own), null, true),
        Case("a resource of an owner that is alive is not taken", record(peer), OwnerState.ALIVE, false),
        Case("a resource of a suspected owner is not taken", record(peer), OwnerState.SUSPECT, false),
        Case("a resource of a dead owner is taken", record(peer), OwnerState.DEAD, true),
        Case("a resource of an owner that left is taken", record(peer), OwnerState.LEFT, true),
    ).forEach { case ->
        test("candidate: ${case.name}") {
            val decider = decider(needsLeaseWait = false)
            decider.decide(view, 0) shouldBe OwnershipDecision.ReadRecord
            decider.observe(case.record, if (case.record == null) 0 else 4, 0)
            case.state?.let { decider.ownerState(it, 0) }
            (decider.decide(view, 0) is OwnershipDecision.Take) shouldBe case.takes
        }
    }

    // Guards against a takeover while the owner's lease may still be valid.
    test("without fencing checks, a take waits for the lease to expire and checks that the session is unchanged") {
        val decider = decider(needsLeaseWait = true)
        decider.observe(record(peer), 4, 0)
        decider.ownerState(OwnerState.DEAD, 0)
        decider.decide(view, 0) shouldBe OwnershipDecision.ReadSession(peer)
        decider.sessionObserved(peer, 9, 100)
        decider.decide(view, 100) shouldBe OwnershipDecision.WaitUntil(4_100)
        decider.sessionObserved(peer, 10, 2_000)
        decider.decide(view, 4_100) shouldBe OwnershipDecision.WaitUntil(6_000)
        val take = decider.decide(view, 6_000) as OwnershipDecision.Take
        take.operations.first() shouldBe TableOperation.Check("sessions/vm-b", 10)
        decider.written(take.nonce, WriteResult.CONFLICT, 6_010)
        decider.ownership shouldBe null
    }

    // Guards against grants for an adapter that a former owner may still unload, and against a block that never ends.
    listOf<Pair<String, OwnershipDecider.() -> Unit>>(
        "acknowledged" to { acknowledged(peer, 8) },
        "restarted" to { restarted(peer, Incarnation(2)) },
        "left the VM list" to { vmDeparted(peer) },
    ).forEach { (name, event) ->
        test("an inherited unload blocks its adapter until the former owner has $name") {
            val order = PendingOrder(OrderKind.UNLOAD, adapter, peer, Incarnation(1), 7)
            val decider = takenOver(needsLeaseWait = true, order)
            decider.acknowledged(peer, 7)
            decider.restarted(peer, Incarnation(1))
            decider.blockedAdapters shouldBe setOf(adapter)
            decider.blockedSlots shouldBe 1
            decider.formerOwners shouldBe setOf(peer)
            event(decider)
            decider.blockedAdapters shouldBe emptySet()
            decider.blockedSlots shouldBe 0
        }
    }

    // Guards against unloads before every VM has stopped sending under older fences, and against orders without a
    // lease.
    test("without fencing checks, orders need a valid lease and a record, unloads also acknowledgements") {
        val decider = takenOver(needsLeaseWait = true)
        val listed = setOf(own, peer)
        fun begin(kind: OrderKind, isValid: Boolean = true) = decider.beginOrder(kind, adapter, isValid, listed, 5_000)
        begin(OrderKind.LOAD, isValid = false).shouldBeInstanceOf<OrderStep.Refused>()
        begin(OrderKind.UNLOAD).shouldBeInstanceOf<OrderStep.Refused>()
        decider.acknowledged(peer, 8)
        val write = begin(OrderKind.UNLOAD) as OrderStep.Write
        decider.startSending() shouldBe false
        decider.written(write.nonce, WriteResult.COMMITTED, 5_010) shouldBe WriteEffect.ORDER_RECORDED
        begin(OrderKind.LOAD).shouldBeInstanceOf<OrderStep.Refused>()
        decider.startSending() shouldBe true
        decider.acknowledge(9) shouldBe false
        decider.orderFinished(isCertain = true, 5_100)
        decider.acknowledge(9) shouldBe true
        decider.ownership shouldBe null
    }

    // Guards against a server that gets no more orders after the connection of one order was lost.
    test("after a lost connection the next order waits until the lost order can no longer be carried out") {
        val decider = takenOver(needsLeaseWait = true).apply { acknowledged(peer, 8) }
        fun begin(kind: OrderKind, name: String, now: Long) =
            decider.beginOrder(kind, AdapterVersion(name, 1), isLeaseValid = true, setOf(own, peer), now)
        val lost = begin(OrderKind.UNLOAD, "lost", 5_000) as OrderStep.Write
        decider.written(lost.nonce, WriteResult.COMMITTED, 5_010)
        decider.startSending() shouldBe true
        decider.orderFinished(isCertain = false, 6_000)
        begin(OrderKind.LOAD, "next", 6_000 + MAXIMUM_LATE_ORDER_MILLIS - 1).shouldBeInstanceOf<OrderStep.Refused>()
        val next = begin(OrderKind.LOAD, "next", 6_000 + MAXIMUM_LATE_ORDER_MILLIS) as OrderStep.Write
        decider.written(next.nonce, WriteResult.COMMITTED, 16_010) shouldBe WriteEffect.ORDER_RECORDED
    }

    // Guards against a resource without an owner for seconds: its owner handed it over while its failure domain was
    // drained, and the drain ended before the other VM, which no longer ranked first, had read the record.
    test("a former owner that ranks first again takes the resource back at once") {
        val owner = takenOver(needsLeaseWait = false)
        val drained = OwnershipCandidates(listOf(peer), READY_BEFORE_HANDOVER_MILLIS)
        val release = owner.decide(drained, 9_000) as OwnershipDecision.Release
        owner.written(release.nonce, WriteResult.COMMITTED, 9_010)
        owner.decide(drained, 9_100) shouldBe OwnershipDecision.Nothing
        owner.decide(view, 9_300).shouldBeInstanceOf<OwnershipDecision.Take>()
    }

    // Guards against handovers in quick succession, to a member that has just started, or taken back before the
    // better-ranked member can have read the record.
    test("a resource is handed over to a member ready for 5 s, and taken back no earlier than 3 s later") {
        val decider = takenOver(needsLeaseWait = false)
        val better = OwnershipCandidates(listOf(peer, own), 4_999)
        decider.decide(better, 6_000) shouldBe OwnershipDecision.Nothing
        val ready = better.copy(firstReadyMillis = 5_000)
        val release = decider.decide(ready, 6_000) as OwnershipDecision.Release
        decider.ownership shouldBe null
        decider.ownerState(OwnerState.ALIVE, 6_050)
        decider.written(release.nonce, WriteResult.COMMITTED, 6_100)
        listOf(6_200L, 8_999L).forEach { decider.decide(ready, it) shouldBe OwnershipDecision.WaitUntil(9_000) }
        decider.decide(ready, 9_000).shouldBeInstanceOf<OwnershipDecision.Take>()
        val limiter = HandoverLimiter()
        listOf(0L, 1_999L, 2_000L).map { limiter.tryStart(it) } shouldBe listOf(true, false, true)
    }

    // Guards against an unload by a former owner of an adapter that the new owner has granted.
    listOf(true, false).forEach { checksFencing ->
        val kind = if (checksFencing) "checks" else "ignores"
        test("a former owner never unloads an adapter granted by the new one, on a server that $kind fencing numbers") {
            var takes = 0
            var unloads = 0
            var granted = 0
            for (seed in 1..2_000) {
                val simulation = OwnershipSimulation(Random(seed), checksFencing)
                repeat(4_000) { simulation.step() }
                withClue("seed $seed") { simulation.violations shouldBe 0 }
                takes += simulation.takes
                unloads += simulation.unloads
                granted += simulation.granted
            }
            // A decider that never acts would pass without these.
            takes shouldBeGreaterThan 4_000
            unloads shouldBeGreaterThan 700
            granted shouldBeGreaterThan 10_000
        }
    }
})
