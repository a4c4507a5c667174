package org.lentilquay.coordination.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
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

private fun heldBy(vm: VmId) = VersionedControllerRecord(ControllerRecord(vm, Incarnation(1), 4), 9)

private fun renewed(version: Long, tableMillis: Long, isLeaving: Boolean = false) =
    VersionedMemberRecord(member(isLeaving = isLeaving).copy(tableMillis = tableMillis), version)

/** Guards against two VMs that give orders to one engine, and against engines that nobody controls for long. */
class ControlLeaseTest : FunSpec({
    test("orders end with the lease, which counts from the call that gave the time in the record") {
        val lease = lease()
        lease.isValid(0, 0) shouldBe false
        lease.renewed(TableTime(70_000, sentAt = 100), difference = 0)
        lease.isValid(100 + ORDER_LEASE_MILLIS - 1, 0) shouldBe true
        lease.isValid(100 + ORDER_LEASE_MILLIS, 0) shouldBe false
    }

    test("a suspension that the monotonic clock does not count ends the lease") {
        val lease = lease()
        lease.renewed(TableTime(70_000, sentAt = 100), difference = 5_000)
        lease.isValid(200, 5_100) shouldBe true
        lease.isValid(200, 9_000) shouldBe false
    }

    test("another VM's engine is taken only after its lease, its last order and the pause between two VMs") {
        val lease = lease()
        lease.updateMembers(mapOf(vm(2) to renewed(5, tableMillis = 70_000)), 70_000 + LAPSE - 1)
        lease.decideTakeover(SERVER, heldBy(vm(2)), 0) shouldBe TakeoverDecision.NotDue
        lease.updateMembers(mapOf(vm(2) to renewed(5, tableMillis = 70_000)), 70_000 + LAPSE)
        val due = lease.decideTakeover(SERVER, heldBy(vm(2)), 0).shouldBeInstanceOf<TakeoverDecision.Due>()
        due.record shouldBe ControllerRecord(vm(1), Incarnation(2), 5)
        due.expectedVersion shouldBe 9
        due.former shouldBe (vm(2) to 5L)
    }

    test("a renewal of the former controller starts the waiting time again") {
        val lease = lease()
        lease.updateMembers(mapOf(vm(2) to renewed(5, tableMillis = 0)), 0)
        lease.updateMembers(mapOf(vm(2) to renewed(6, tableMillis = 8_000)), LAPSE)
        lease.decideTakeover(SERVER, heldBy(vm(2)), 0) shouldBe TakeoverDecision.NotDue
    }

    test("a VM that has just started takes an engine over whose controller was lost long before") {
        val lease = lease()
        lease.updateMembers(mapOf(vm(2) to renewed(5, tableMillis = 1_000)), 1_000 + LAPSE)
        lease.liveMembers shouldBe emptyMap()
        lease.knownMembers shouldBe 1
        lease.decideTakeover(SERVER, heldBy(vm(2)), 0).shouldBeInstanceOf<TakeoverDecision.Due>()
    }

    test("no lease lapses while the table is not readable") {
        val lease = lease()
        lease.updateMembers(mapOf(vm(1) to renewed(4, 1_000), vm(2) to renewed(5, 1_000)), 1_500)
        lease.isCandidate(SERVER, 600_000)
        lease.liveMembers.keys shouldBe setOf(vm(1), vm(2))
        lease.overdueMembers shouldBe emptySet()
        lease.decideTakeover(SERVER, heldBy(vm(2)), 0) shouldBe TakeoverDecision.NotDue
    }

    test("a VM that left in order is followed after the pause, counted from the first reading of its record") {
        val lease = lease()
        val left = mapOf(vm(2) to renewed(5, tableMillis = 500, isLeaving = true))
        lease.updateMembers(left, 2_000)
        lease.updateMembers(left, 2_000 + PAUSE + 499)
        lease.decideTakeover(SERVER, heldBy(vm(2)), 0) shouldBe TakeoverDecision.NotDue
        lease.updateMembers(left, 2_000 + PAUSE + 500)
        lease.decideTakeover(SERVER, heldBy(vm(2)), 0).shouldBeInstanceOf<TakeoverDecision.Due>()
    }

    test("a VM that starts again takes its own engines back at once, with a higher fence") {
        val due = lease(vm(2)).decideTakeover(SERVER, heldBy(vm(2)), 0).shouldBeInstanceOf<TakeoverDecision.Due>()
        due.record.fence shouldBe 5
        due.former shouldBe null
    }

    test("a VM that was never seen is not taken for gone") {
        val lease = lease()
        lease.updateMembers(mapOf(vm(1) to renewed(5, tableMillis = 1_000_000)), 1_000_000)
        lease.decideTakeover(SERVER, heldBy(vm(2)), 0) shouldBe TakeoverDecision.NotDue
    }

    test("members that miss renewals are silent before they are gone") {
        val lease = lease()
        val members = mapOf(vm(2) to renewed(5, tableMillis = 0), vm(3) to renewed(6, tableMillis = 14_000))
        lease.updateMembers(members, 3_001)
        lease.overdueMembers shouldBe setOf(vm(2))
        lease.departedMembers() shouldBe emptySet()
        lease.updateMembers(members, 15_001)
        lease.departedMembers() shouldBe setOf(vm(2))
    }

    // Pattern: in a fleet of 79 VMs the others learn who took an engine up to three seconds later, and look for engines
    // without a controller five times a second. Guards against a call to the store at each of these looks.
    test("a VM that found the controller of an engine in its record does not read it again before it can follow it") {
        val lease = lease()
        val members = mapOf(vm(1) to renewed(4, 10_000), vm(2) to renewed(5, 10_000))
        lease.updateMembers(members, 10_500)
        (0L..3_000 step 200).count { now ->
            val isRead = lease.isCandidate(SERVER, now)
            if (isRead) lease.decideTakeover(SERVER, heldBy(vm(2)), now) shouldBe TakeoverDecision.NotDue
            isRead
        } shouldBe 1
        val left = members + (vm(2) to renewed(6, 10_000, isLeaving = true))
        lease.updateMembers(left, 11_000)
        lease.isCandidate(SERVER, 3_200) shouldBe false
        lease.updateMembers(left, 11_000 + PAUSE + 500)
        lease.isCandidate(SERVER, 3_400) shouldBe true
    }

    test("a record that was read is not trusted for long when no live member says that it controls the engine") {
        val lease = lease()
        lease.updateMembers(mapOf(vm(1) to renewed(4, 10_000), vm(2) to renewed(5, 10_000)), 10_500)
        lease.isCandidate(SERVER, 1_000) // From here the engine is vacant.
        lease.decideTakeover(SERVER, heldBy(vm(2)), 1_000) shouldBe TakeoverDecision.NotDue
        lease.isCandidate(SERVER, 5_900) shouldBe false
        lease.isCandidate(SERVER, 6_000) shouldBe true
    }

    // Guards against engines that stay without orders after their controller lost its lease for a moment.
    test("the VM that the record names takes the engine back at once, whatever its rank") {
        val members = List(20) { vm(it) to renewed(5, 10_000) }.toMap()
        members.keys.forEach { own ->
            val lease = lease(own)
            lease.updateMembers(members, 10_500)
            lease.decideTakeover(SERVER, heldBy(own), 100).shouldBeInstanceOf<TakeoverDecision.Due>()
            lease.isCandidate(SERVER, 60_000) shouldBe true
        }
    }

    // Pattern: a fleet of 79 VMs starts, and engines without a controller are looked for five times a second while the
    // record of the one that took an engine is read three seconds later. Guards against calls of all others meanwhile.
    test("in a large fleet few VMs read the record of an engine that another one has just taken") {
        val members = List(79) { vm(it) to renewed(5, 10_000) }.toMap()
        val leases = members.keys.associateWith { own -> lease(own).apply { updateMembers(members, 10_500) } }
        var holder: VersionedControllerRecord? = null
        var reads = 0
        for (now in 0L until 3_000 step 200) {
            val others = leases - setOfNotNull(holder?.record?.vm)
            others.values.filter { it.isCandidate(SERVER, now) }.forEach { lease ->
                reads++
                val due = lease.decideTakeover(SERVER, holder, now)
                if (due is TakeoverDecision.Due) holder = VersionedControllerRecord(due.record, 9)
            }
        }
        // The next three renewals of the VM that took it would show it: one try each.
        reads shouldBeLessThanOrEqual 4
    }

    test("one candidate is first, the others wait; an engine with a controller has none") {
        val leases = List(4) { lease(vm(it)) }
        val members = List(4) { vm(it) to VersionedMemberRecord(member(), 1) }.toMap()
        leases.forEach { it.updateMembers(members, 0) }
        leases.count { it.isCandidate(SERVER, 0) } shouldBe 1
        leases.count { it.isCandidate(SERVER, 600) } shouldBe 3
        leases.forEach { it.updateMembers(members + (vm(9) to VersionedMemberRecord(member(engine("e1")), 2)), 600) }
        leases.count { it.isCandidate(SERVER, 9_000) } shouldBe 0
    }
})
