package org.lentilquay.coordination.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.lentilquay.state.Incarnation
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.ControllerRecord

private const val PAUSE_MILLIS = 3_000L
private val SERVER = ServerId("e1")
private const val EXPIRY_MILLIS = ORDER_LEASE_MILLIS + 500 + PAUSE_MILLIS

private fun lease(own: VmId = vm(1)) = ControlLease(own, Incarnation(2), PAUSE_MILLIS)

private fun controlledBy(vm: VmId) = VersionedControllerRecord(ControllerRecord(vm, Incarnation(1), 4), 9)

private fun memberRow(version: Long, tableMillis: Long, isLeaving: Boolean = false) =
    VersionedMemberRecord(member(isLeaving = isLeaving).copy(tableMillis = tableMillis), version)

/** Guards against orders of two VMs to one engine, and against engines that stay without a controller. */
class ControlLeaseTest : FunSpec({
    test("a lease is valid for its length, counted from the call that gave the time in the record") {
        val lease = lease()
        lease.isValid(0, 0) shouldBe false
        lease.renewed(TableTime(70_000, sentAt = 100), difference = 0)
        lease.isValid(100 + ORDER_LEASE_MILLIS - 1, 0) shouldBe true
        lease.isValid(100 + ORDER_LEASE_MILLIS, 0) shouldBe false
    }

    // Connecting and sending may take 600 ms, of which other VMs wait for 500 ms after the end of the lease.
    test("no order begins in the last 200 ms of a lease") {
        val lease = lease()
        lease.renewed(TableTime(70_000, sentAt = 100), difference = 0)
        lease.mayOrder(100 + ORDER_LEASE_MILLIS - 201, 0) shouldBe true
        lease.mayOrder(100 + ORDER_LEASE_MILLIS - 200, 0) shouldBe false
    }

    test("a lease is invalid after a suspension that the monotonic clock does not count") {
        val lease = lease()
        lease.renewed(TableTime(70_000, sentAt = 100), difference = 5_000)
        lease.isValid(200, 5_100) shouldBe true
        lease.isValid(200, 9_000) shouldBe false
    }

    test("an engine is taken over only after the controller's lease, the order transit and the pause have passed") {
        val lease = lease()
        lease.updateMembers(mapOf(vm(2) to memberRow(5, tableMillis = 70_000)), 70_000 + EXPIRY_MILLIS - 1)
        lease.decideTakeover(SERVER, controlledBy(vm(2)), 0) shouldBe TakeoverDecision.NotDue
        lease.updateMembers(mapOf(vm(2) to memberRow(5, tableMillis = 70_000)), 70_000 + EXPIRY_MILLIS)
        val due = lease.decideTakeover(SERVER, controlledBy(vm(2)), 0).shouldBeInstanceOf<TakeoverDecision.Due>()
        due.record shouldBe ControllerRecord(vm(1), Incarnation(2), 5)
        due.expectedVersion shouldBe 9
        due.former shouldBe (vm(2) to 5L)
    }

    test("a renewal of the former controller restarts the wait") {
        val lease = lease()
        lease.updateMembers(mapOf(vm(2) to memberRow(5, tableMillis = 0)), 0)
        lease.updateMembers(mapOf(vm(2) to memberRow(6, tableMillis = 8_000)), EXPIRY_MILLIS)
        lease.decideTakeover(SERVER, controlledBy(vm(2)), 0) shouldBe TakeoverDecision.NotDue
    }

    test("a VM that has just started takes over an engine whose controller expired earlier") {
        val lease = lease()
        lease.updateMembers(mapOf(vm(2) to memberRow(5, tableMillis = 1_000)), 1_000 + EXPIRY_MILLIS)
        lease.liveMembers shouldBe emptyMap()
        lease.knownMembers shouldBe 1
        lease.decideTakeover(SERVER, controlledBy(vm(2)), 0).shouldBeInstanceOf<TakeoverDecision.Due>()
    }

    test("no lease expires while the table service is unreachable") {
        val lease = lease()
        lease.updateMembers(mapOf(vm(1) to memberRow(4, 1_000), vm(2) to memberRow(5, 1_000)), 1_500)
        lease.isCandidate(SERVER, 600_000)
        lease.liveMembers.keys shouldBe setOf(vm(1), vm(2))
        lease.overdueMembers shouldBe emptySet()
        lease.decideTakeover(SERVER, controlledBy(vm(2)), 0) shouldBe TakeoverDecision.NotDue
    }

    test("a VM that left in a planned stop is replaced after the pause, counted from the first reading of its record") {
        val lease = lease()
        val left = mapOf(vm(2) to memberRow(5, tableMillis = 500, isLeaving = true))
        lease.updateMembers(left, 2_000)
        lease.updateMembers(left, 2_000 + PAUSE_MILLIS + 499)
        lease.decideTakeover(SERVER, controlledBy(vm(2)), 0) shouldBe TakeoverDecision.NotDue
        lease.updateMembers(left, 2_000 + PAUSE_MILLIS + 500)
        lease.decideTakeover(SERVER, controlledBy(vm(2)), 0).shouldBeInstanceOf<TakeoverDecision.Due>()
    }

    test("a restarted VM takes its own engines back at once, with a higher fencing number") {
        val due = lease(vm(2)).decideTakeover(SERVER, controlledBy(vm(2)), 0).shouldBeInstanceOf<TakeoverDecision.Due>()
        due.record.fence shouldBe 5
        due.former shouldBe null
    }

    test("no engine is taken over from a VM without a member record") {
        val lease = lease()
        lease.updateMembers(mapOf(vm(1) to memberRow(5, tableMillis = 1_000_000)), 1_000_000)
        lease.decideTakeover(SERVER, controlledBy(vm(2)), 0) shouldBe TakeoverDecision.NotDue
    }

    test("members that miss renewals are overdue after 3 s and departed after 15 s") {
        val lease = lease()
        val members = mapOf(vm(2) to memberRow(5, tableMillis = 0), vm(3) to memberRow(6, tableMillis = 14_000))
        lease.updateMembers(members, 3_001)
        lease.overdueMembers shouldBe setOf(vm(2))
        lease.departedMembers() shouldBe emptySet()
        lease.updateMembers(members, 15_001)
        lease.departedMembers() shouldBe setOf(vm(2))
    }

    // Guards against a call to the table service in every check for vacant engines. In a fleet of 79 VMs the others
    // learn up to three seconds later who took an engine, and they check for vacant engines five times a second.
    test("a VM does not read a controller record again before it may replace the controller") {
        val lease = lease()
        val members = mapOf(vm(1) to memberRow(4, 10_000), vm(2) to memberRow(5, 10_000))
        lease.updateMembers(members, 10_500)
        (0L..3_000 step 200).count { now ->
            val isRead = lease.isCandidate(SERVER, now)
            if (isRead) lease.decideTakeover(SERVER, controlledBy(vm(2)), now) shouldBe TakeoverDecision.NotDue
            isRead
        } shouldBe 1
        val left = members + (vm(2) to memberRow(6, 10_000, isLeaving = true))
        lease.updateMembers(left, 11_000)
        lease.isCandidate(SERVER, 3_200) shouldBe false
        lease.updateMembers(left, 11_000 + PAUSE_MILLIS + 500)
        lease.isCandidate(SERVER, 3_400) shouldBe true
    }

    test("a controller record is trusted for 5 s while no live member lists the engine") {
        val lease = lease()
        lease.updateMembers(mapOf(vm(1) to memberRow(4, 10_000), vm(2) to memberRow(5, 10_000)), 10_500)
        lease.isCandidate(SERVER, 1_000) // The engine is vacant from here on.
        lease.decideTakeover(SERVER, controlledBy(vm(2)), 1_000) shouldBe TakeoverDecision.NotDue
        lease.isCandidate(SERVER, 5_900) shouldBe false
        lease.isCandidate(SERVER, 6_000) shouldBe true
    }

    // After a kill of all processes, 95 VMs looked for their turn at 37 vacant engines five times a second, and each
    // look ranked all members: the work of the fleet grew with the square of its size.
    test("a VM ranks the members once for each vacant engine until the members change") {
        var rankings = 0
        val lease = ControlLease(vm(1), Incarnation(2), PAUSE_MILLIS) { _, _ ->
            rankings++
            90
        }
        val members = List(95) { vm(it) to memberRow(5, 10_000) }.toMap()
        val vacant = List(37) { ServerId("e$it") }
        lease.updateMembers(members, 10_500)
        repeat(50) { tick -> vacant.forEach { lease.isCandidate(it, tick * 200L) } }
        rankings shouldBe vacant.size
        lease.updateMembers(members.mapValues { memberRow(6, 11_000) }, 11_500)
        vacant.forEach { lease.isCandidate(it, 10_000) }
        rankings shouldBe vacant.size
        lease.updateMembers(members.mapValues { memberRow(7, 12_000) } - vm(7), 12_500)
        vacant.forEach { lease.isCandidate(it, 10_200) }
        rankings shouldBe 2 * vacant.size
    }

    // Guards against engines that stay without orders after their controller's lease expired for a moment.
    test("the VM in the controller record takes the engine back at once, whatever its rank") {
        val members = List(20) { vm(it) to memberRow(5, 10_000) }.toMap()
        members.keys.forEach { own ->
            val lease = lease(own)
            lease.updateMembers(members, 10_500)
            lease.decideTakeover(SERVER, controlledBy(own), 100).shouldBeInstanceOf<TakeoverDecision.Due>()
            lease.isCandidate(SERVER, 60_000) shouldBe true
        }
    }

    // Guards against calls of all other VMs while a fleet of 79 VMs starts: they check for vacant engines five times a
    // second, but read the member record of the new controller only three seconds later.
    test("in a large fleet at most 4 VMs read the record of an engine that was just taken") {
        val members = List(79) { vm(it) to memberRow(5, 10_000) }.toMap()
        val leases = members.keys.associateWith { own -> lease(own).apply { updateMembers(members, 10_500) } }
        var controller: VersionedControllerRecord? = null
        var reads = 0
        for (now in 0L until 3_000 step 200) {
            val others = leases - setOfNotNull(controller?.record?.vm)
            others.values.filter { it.isCandidate(SERVER, now) }.forEach { lease ->
                reads++
                val due = lease.decideTakeover(SERVER, controller, now)
                if (due is TakeoverDecision.Due) controller = VersionedControllerRecord(due.record, 9)
            }
        }
        // One try for each of the three renewals until the new controller is known to all.
        reads shouldBeLessThanOrEqual 4
    }

    test("candidates try one after the other, and none tries for an engine with a controller") {
        val leases = List(4) { lease(vm(it)) }
        val members = List(4) { vm(it) to VersionedMemberRecord(member(), 1) }.toMap()
        leases.forEach { it.updateMembers(members, 0) }
        leases.count { it.isCandidate(SERVER, 0) } shouldBe 1
        leases.count { it.isCandidate(SERVER, 600) } shouldBe 3
        leases.forEach { it.updateMembers(members + (vm(9) to VersionedMemberRecord(member(engine("e1")), 2)), 600) }
        leases.count { it.isCandidate(SERVER, 9_000) } shouldBe 0
    }
})
