package org.lentilquay.coordination.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.lentilquay.state.Incarnation
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.ControllerRecord
import org.lentilquay.state.gateway.DutyRecord
import org.lentilquay.state.gateway.DutySubject

private const val PAUSE_MILLIS = 3_000L
private const val HANDOVER_MILLIS = PAUSE_MILLIS + 500
private val USAGE = ControlSubject.Duty(DutySubject("usage"))
private val SCALE = ControlSubject.Duty(DutySubject("scale/models/east"))

private fun lease(own: VmId) = ControlLease(own, Incarnation(2), PAUSE_MILLIS)

private fun heldBy(vm: VmId, releasedMillis: Long? = null) =
    VersionedControllerRecord(ControllerRecord(vm, Incarnation(1), 4, releasedMillis = releasedMillis), 9)

private fun row(version: Long, tableMillis: Long, duties: List<DutyRecord> = emptyList()) =
    VersionedMemberRecord(member().copy(tableMillis = tableMillis, duties = duties), version)

/** Guards against two holders of a duty, and against duties that stay without a holder. */
class DutyLeaseTest : FunSpec({
    test("the same VM is the first candidate for all duties") {
        val members = List(20) { vm(it) to row(5, 10_000) }.toMap()
        val leases = members.keys.associateWith { own -> lease(own).apply { updateMembers(members, 10_500) } }
        val first = leases.filterValues { it.isCandidate(USAGE, 0) }.keys
        first.size shouldBe 1
        leases.filterValues { it.isCandidate(SCALE, 0) }.keys shouldBe first
    }

    // A report or an order of two holders for the same subject is a loss.
    test("a duty whose holder dies is taken over by one other VM, after the holder's lease and the pause") {
        val members = List(20) { vm(it) to row(5, 100_000) }.toMap() +
            (vm(20) to row(6, 90_000, listOf(DutyRecord(USAGE.subject, 4))))
        val leases = List(20) { lease(vm(it)) }
        leases.forEach { it.updateMembers(members, 90_000 + ORDER_LEASE_MILLIS + HANDOVER_MILLIS - 1) }
        leases.count { it.isCandidate(USAGE, 0) } shouldBe 0
        leases.first().decideTakeover(USAGE, heldBy(vm(20)), 0) shouldBe TakeoverDecision.NotDue
        leases.forEach { it.updateMembers(members, 90_000 + ORDER_LEASE_MILLIS + HANDOVER_MILLIS) }
        val candidates = leases.filter { it.isCandidate(USAGE, 0) }
        candidates.size shouldBe 1
        val due = candidates.single().decideTakeover(USAGE, heldBy(vm(20)), 0)
            .shouldBeInstanceOf<TakeoverDecision.Due>()
        due.record.fence shouldBe 5
        due.former shouldBe (vm(20) to 6L)
    }

    test("a duty that was released is taken over after the pause, while the VM that released it is still live") {
        val lease = lease(vm(1))
        val members = mapOf(vm(1) to row(5, 50_000), vm(2) to row(6, 50_000))
        val released = heldBy(vm(2), releasedMillis = 50_000)
        lease.updateMembers(members, 50_000 + HANDOVER_MILLIS - 1)
        lease.decideTakeover(USAGE, released, 0) shouldBe TakeoverDecision.NotDue
        lease.isCandidate(USAGE, 1_000) shouldBe false
        lease.updateMembers(members, 50_000 + HANDOVER_MILLIS)
        lease.isCandidate(USAGE, 1_000) shouldBe true
        val due = lease.decideTakeover(USAGE, released, 0).shouldBeInstanceOf<TakeoverDecision.Due>()
        due.record.releasedMillis.shouldBeNull()
        due.former.shouldBeNull()
    }

    test("a duty and an engine of the same name are different subjects") {
        val lease = lease(vm(1))
        val duty = ControlSubject.Duty(DutySubject("e1"))
        lease.updateMembers(mapOf(vm(1) to row(5, 0), vm(2) to VersionedMemberRecord(member(engine("e1")), 6)), 0)
        lease.isCandidate(ServerId("e1"), 60_000) shouldBe false
        lease.isCandidate(duty, 60_000) shouldBe true
    }

    // A call lasts up to 1 s, and another VM waits for 500 ms after the end of the lease, and for the pause.
    test("no call is written in the last 500 ms of a lease, nor after a suspension") {
        val lease = lease(vm(1))
        lease.mayCall(0, 0) shouldBe false
        lease.renewed(TableTime(70_000, sentAt = 100), difference = 5_000)
        lease.mayCall(100 + ORDER_LEASE_MILLIS - 501, 5_000) shouldBe true
        lease.mayCall(100 + ORDER_LEASE_MILLIS - 500, 5_000) shouldBe false
        lease.mayCall(200, 9_000) shouldBe false
    }

    // Each failure passes the duty on; a report that arrives late from a former holder must not lie between two others.
    test("holders that fail one after the other never alternate within the pause") {
        val names = listOf(vm(1), vm(2))
        val leases = names.associateWith { lease(it) }
        val renewed = names.associateWithTo(HashMap()) { 0L }
        var record: ControllerRecord? = null
        var version = 1L
        val calls = mutableListOf<Pair<Long, VmId>>()
        val fences = mutableListOf<Long>()
        val basis = HashMap<VmId, Long>()
        for (time in 0L..120_000 step 50) {
            // Each VM stops renewing for 11 s of every 22 s, in turn.
            names.forEachIndexed { index, vm ->
                val isCut = (time / 11_000) % 2 == index.toLong()
                if (!isCut && time % 1_000 == 0L) {
                    renewed[vm] = time
                    basis[vm] = time
                    leases.getValue(vm).renewed(TableTime(time, time), 0)
                }
            }
            val rows = renewed.mapValues { (_, at) -> row(at + 1, at) }
            names.forEachIndexed { index, vm ->
                val isCut = (time / 11_000) % 2 == index.toLong()
                val lease = leases.getValue(vm)
                if (!isCut) {
                    lease.updateMembers(rows, time)
                    val holds = record?.vm == vm && lease.isValid(time, 0)
                    if (!holds && lease.isValid(time, 0)) {
                        val reading = record?.let { VersionedControllerRecord(it, version) }
                        val due = lease.decideTakeover(USAGE, reading, time)
                        if (due is TakeoverDecision.Due) {
                            record = due.record
                            version++
                        }
                    }
                }
                if (record?.vm == vm && lease.mayCall(time, 0)) {
                    calls += time to vm
                    fences += record!!.fence
                }
            }
        }
        calls.map { it.second }.toSet() shouldBe names.toSet()
        fences shouldBe fences.sorted()
        calls.zipWithNext().filter { (one, next) -> one.second != next.second }
            .all { (one, next) -> next.first - one.first > PAUSE_MILLIS } shouldBe true
    }
})
