package org.lentilquay.coordination.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.lentilquay.state.Incarnation
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.ControllerRecord

private const val PAUSE = 3_000L
private val SERVER = ServerId("e1")
private const val LAPSE = ORDER_LEASE_MILLIS + 500 + PAUSE

private fun lease(own: VmId = vm(1)) = ControlLease(own, Incarnation(2), PAUSE)

private fun heldBy(vm: VmId) = ControllerReading(ControllerRecord(vm, Incarnation(1), 4), 9)

/** Guards against two VMs that give orders to one engine. */
class ControlLeaseTest : FunSpec({
    test("orders end with the lease, which counts from the sending of the renewal") {
        val lease = lease()
        lease.isValid(0, 0) shouldBe false
        lease.renewed(sentAt = 100, difference = 0)
        lease.isValid(100 + ORDER_LEASE_MILLIS - 1, 0) shouldBe true
        lease.isValid(100 + ORDER_LEASE_MILLIS, 0) shouldBe false
    }

    test("a suspension that the monotonic clock does not count ends the lease") {
        val lease = lease()
        lease.renewed(sentAt = 100, difference = 5_000)
        lease.isValid(200, 5_100) shouldBe true
        lease.isValid(200, 9_000) shouldBe false
    }

    test("another VM's engine is taken only after its lease, its last order and the pause between two VMs") {
        val lease = lease()
        lease.observed(mapOf(vm(2) to MemberReading(member(), 5)), 0)
        lease.takeOver(heldBy(vm(2)), LAPSE - 1) shouldBe TakeOver.NotDue
        val due = lease.takeOver(heldBy(vm(2)), LAPSE).shouldBeInstanceOf<TakeOver.Due>()
        due.record shouldBe ControllerRecord(vm(1), Incarnation(2), 5)
        due.expectedVersion shouldBe 9
        due.former shouldBe (vm(2) to 5L)
    }

    test("a renewal of the former controller starts the waiting time again") {
        val lease = lease()
        lease.observed(mapOf(vm(2) to MemberReading(member(), 5)), 0)
        lease.observed(mapOf(vm(2) to MemberReading(member(renewal = 2), 6)), 8_000)
        lease.takeOver(heldBy(vm(2)), LAPSE) shouldBe TakeOver.NotDue
    }

    test("a VM that left in order is followed after the pause") {
        val lease = lease()
        lease.observed(mapOf(vm(2) to MemberReading(member(isLeaving = true), 5)), 0)
        lease.takeOver(heldBy(vm(2)), PAUSE + 499) shouldBe TakeOver.NotDue
        lease.takeOver(heldBy(vm(2)), PAUSE + 500).shouldBeInstanceOf<TakeOver.Due>()
    }

    test("a VM that starts again takes its own engines back at once, with a higher fence") {
        val due = lease(vm(2)).takeOver(heldBy(vm(2)), 0).shouldBeInstanceOf<TakeOver.Due>()
        due.record.fence shouldBe 5
        due.former shouldBe null
    }

    test("a VM that was never seen is not taken for gone") {
        lease().takeOver(heldBy(vm(2)), 1_000_000) shouldBe TakeOver.NotDue
    }

    test("one candidate is first, the others wait; an engine with a controller has none") {
        val leases = List(4) { lease(vm(it)) }
        val members = List(4) { vm(it) to MemberReading(member(), 1) }.toMap()
        leases.forEach { it.observed(members, 0) }
        leases.count { it.isCandidate(SERVER, 0) } shouldBe 1
        leases.count { it.isCandidate(SERVER, 3_000) } shouldBe 3
        leases.forEach { it.observed(members + (vm(9) to MemberReading(member(engine("e1")), 2)), 3_000) }
        leases.count { it.isCandidate(SERVER, 9_000) } shouldBe 0
    }
})
