package org.lentilquay.coordination.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.lentilquay.state.Incarnation
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.ControllerRecord
import org.lentilquay.state.gateway.DutyRecord
import org.lentilquay.state.gateway.DutySubject
import org.lentilquay.state.gateway.EraRecord

private const val PAUSE_MILLIS = 3_000L
private const val EXPIRY_MILLIS = ORDER_LEASE_MILLIS + 500 + PAUSE_MILLIS
private const val RETURN_MILLIS = 1_800_000_000_000
private val USAGE = ControlSubject.Duty(DutySubject("usage"))

private fun lease(own: VmId = vm(1), era: Long = 2, since: Long = RETURN_MILLIS) =
    ControlLease(own, Incarnation(2), PAUSE_MILLIS).apply { eraStarted(EraStart(era, since)) }

private fun row(version: Long, millis: Long, era: Long?, isLeaving: Boolean = false, duty: DutyRecord? = null) =
    VersionedMemberRecord(
        member(isLeaving = isLeaving, renewal = version)
            .copy(tableMillis = millis, era = era, duties = listOfNotNull(duty)),
        version,
    )

private fun reading(vm: VmId, era: Long?, readEra: Long? = 2, fence: Long = 4, at: Long = RETURN_MILLIS) =
    ControllerReading(
        VersionedControllerRecord(ControllerRecord(vm, Incarnation(1), fence, era), 9),
        readEra,
        at,
    )

private fun ControlLease.take(reading: ControllerReading): ControllerRecord =
    decideTakeover(USAGE, reading, 0).shouldBeInstanceOf<TakeoverDecision.Due>().record

/** Guards against two holders, and against numbers that fall, after the table service returned from a copy. */
class EraLeaseTest : FunSpec({
    test("an old record in the copy is no reason for a takeover before a full expiry in the present era") {
        val lease = lease()
        val copy = mapOf(vm(1) to row(4, RETURN_MILLIS, 2), vm(2) to row(5, RETURN_MILLIS - 60_000, 1))
        lease.updateMembers(copy, RETURN_MILLIS + EXPIRY_MILLIS - 1, 2)
        lease.liveMembers.keys shouldBe setOf(vm(1), vm(2))
        lease.isCandidate(USAGE, 60_000) shouldBe false
        lease.decideTakeover(USAGE, reading(vm(2), 1), 0) shouldBe TakeoverDecision.NotDue
        val renewed = copy + (vm(1) to row(6, RETURN_MILLIS + EXPIRY_MILLIS, 2))
        lease.updateMembers(renewed, RETURN_MILLIS + EXPIRY_MILLIS, 2)
        lease.isCandidate(USAGE, 60_000) shouldBe true
        lease.take(reading(vm(2), 1)).era shouldBe 2
    }

    // Before the return another VM took the duty over; the copy still names this one, or nobody.
    test("a copy that names this VM, or lacks the record, is no reason for a takeover before a full expiry") {
        val lease = lease()
        lease.updateMembers(mapOf(vm(1) to row(4, RETURN_MILLIS, 2)), RETURN_MILLIS + EXPIRY_MILLIS - 1, 2)
        lease.decideTakeover(USAGE, reading(vm(1), 1), 0) shouldBe TakeoverDecision.NotDue
        lease.decideTakeover(USAGE, ControllerReading(null, 2, RETURN_MILLIS), 0) shouldBe TakeoverDecision.NotDue
        lease.updateMembers(mapOf(vm(1) to row(4, RETURN_MILLIS, 2)), RETURN_MILLIS + EXPIRY_MILLIS, 2)
        lease.take(reading(vm(1), 1))
        lease.take(ControllerReading(null, 2, RETURN_MILLIS))
    }

    // The copy has the last record of the former process on a VM whose present process holds the duty.
    test("a member that left according to the copy is replaced after a full expiry only") {
        val lease = lease()
        val left = row(5, RETURN_MILLIS - 60_000, 1, isLeaving = true)
        val copy = mapOf(vm(1) to row(4, RETURN_MILLIS, 2), vm(2) to left)
        (0L until EXPIRY_MILLIS step 500).forEach { lease.updateMembers(copy, RETURN_MILLIS + it, 2) }
        lease.decideTakeover(USAGE, reading(vm(2), 1), 0) shouldBe TakeoverDecision.NotDue
    }

    test("a member whose record the copy lacks stays a holder until a full expiry, and can be replaced then") {
        val lease = lease(era = 1, since = 0)
        val holder = row(50, RETURN_MILLIS - 1_000, 1, duty = DutyRecord(USAGE.subject, 7))
        lease.updateMembers(mapOf(vm(1) to row(49, RETURN_MILLIS - 1_000, 1), vm(2) to holder), RETURN_MILLIS - 900, 1)
        lease.eraStarted(EraStart(2, RETURN_MILLIS))
        val copy = mapOf(vm(1) to row(4, RETURN_MILLIS, 2))
        lease.updateMembers(copy, RETURN_MILLIS + 1_000, 2)
        lease.liveMembers.keys shouldBe setOf(vm(1), vm(2))
        lease.supersedingFence(USAGE, 6) shouldBe 7
        val renewed = copy + (vm(1) to row(6, RETURN_MILLIS + EXPIRY_MILLIS, 2))
        lease.updateMembers(renewed, RETURN_MILLIS + EXPIRY_MILLIS, 2)
        lease.liveMembers.keys shouldBe setOf(vm(1))
        val due = lease.decideTakeover(USAGE, reading(vm(2), 2), 0).shouldBeInstanceOf<TakeoverDecision.Due>()
        due.former shouldBe (vm(2) to 0L)
    }

    test("nothing is taken by versions that were read in another era than the present one") {
        val lease = lease()
        val members = mapOf(vm(1) to row(4, RETURN_MILLIS, 2), vm(2) to row(5, RETURN_MILLIS, 2))
        lease.updateMembers(members, RETURN_MILLIS + 2 * EXPIRY_MILLIS, 1)
        lease.decideTakeover(USAGE, reading(vm(2), 2), 0) shouldBe TakeoverDecision.NotDue
        lease.updateMembers(members, RETURN_MILLIS + 2 * EXPIRY_MILLIS, 2)
        lease.decideTakeover(USAGE, reading(vm(2), 2, readEra = 1), 0) shouldBe TakeoverDecision.NotDue
        lease.decideTakeover(USAGE, reading(vm(2), 2, readEra = 3), 0) shouldBe TakeoverDecision.NotDue
        lease.take(reading(vm(2), 2))
    }

    // Versions are assigned again, so a version that is not higher can be that of a newer record.
    test("a record with a lower version replaces one of a former era") {
        val lease = lease(era = 1, since = 0)
        lease.updateMembers(mapOf(vm(2) to row(90, RETURN_MILLIS - 1_000, 1)), RETURN_MILLIS - 900, 1)
        lease.eraStarted(EraStart(2, RETURN_MILLIS))
        lease.updateMembers(mapOf(vm(2) to row(80, RETURN_MILLIS + 2_000, 2)), RETURN_MILLIS + 2_100, 2)
        lease.recordWithAge(vm(2))?.second shouldBe 100
    }

    test("numbers rise over two returns 1 s apart, a restart of all VMs, and a late write of a former era") {
        val first = lease(vm(1), era = 1, since = 0)
        first.updateMembers(mapOf(vm(1) to row(4, RETURN_MILLIS, 1)), RETURN_MILLIS, 1)
        val taken = first.take(ControllerReading(null, 1, RETURN_MILLIS)).fence
        first.eraStarted(EraStart(2, RETURN_MILLIS + 5_000))
        val again = first.decideRewrite(USAGE, taken, ControllerReading(null, 2, RETURN_MILLIS + 5_000))
            .shouldBeInstanceOf<RewriteDecision.Due>().record.fence
        first.eraStarted(EraStart(3, RETURN_MILLIS + 6_000))
        // The record in the copy is older than both numbers.
        val twice = first.decideRewrite(USAGE, again, reading(vm(1), 1, 3, taken - 9, RETURN_MILLIS + 6_000))
            .shouldBeInstanceOf<RewriteDecision.Due>().record.fence
        again shouldBeGreaterThan taken
        twice shouldBeGreaterThan again
        // All VMs restart; a late write of the first era has replaced the record.
        val restarted = lease(vm(3), era = 3, since = RETURN_MILLIS + 6_000)
        val late = RETURN_MILLIS + 6_000 + EXPIRY_MILLIS
        restarted.updateMembers(mapOf(vm(3) to row(4, late, 3)), late, 3)
        val next = restarted.take(reading(vm(1), 1, 3, taken, late)).fence
        next shouldBeGreaterThan twice
        next shouldBeLessThan (1L shl 53)
    }

    test("a number is above those in member records and in the controller record") {
        val lease = lease(era = 0, since = Long.MIN_VALUE / 4)
        val holder = row(5, RETURN_MILLIS - 60_000, 0, duty = DutyRecord(USAGE.subject, 70))
        lease.updateMembers(mapOf(vm(2) to holder), RETURN_MILLIS, 0)
        lease.take(reading(vm(2), 0, readEra = 0)).fence shouldBe 71
        lease.take(reading(vm(2), 0, readEra = 0, fence = 90)).fence shouldBe 91
    }

    test("a holder leaves a record in place that has its number, and yields to one of the present era") {
        val lease = lease(vm(1))
        val own = ControllerRecord(vm(1), Incarnation(2), 4, 2)
        val inPlace = ControllerReading(VersionedControllerRecord(own, 9), 2, RETURN_MILLIS)
        lease.decideRewrite(USAGE, 4, inPlace) shouldBe RewriteDecision.InPlace
        lease.decideRewrite(USAGE, 3, inPlace).shouldBeInstanceOf<RewriteDecision.Due>()
        lease.decideRewrite(USAGE, 4, reading(vm(2), 2)).shouldBeInstanceOf<RewriteDecision.Lost>()
        lease.decideRewrite(USAGE, 4, reading(vm(2), 1)).shouldBeInstanceOf<RewriteDecision.Due>()
        lease.decideRewrite(USAGE, 4, reading(vm(2), 1, readEra = 3)) shouldBe RewriteDecision.Unknown
    }

    test("a new process counts the era from its row, or from now, and does not wait in a first start") {
        val row = EraRow.Present(EraRecord(2, 1_000))
        fun since(row: EraRow, isNew: Boolean = true, isBootstrap: Boolean = false, era: Long = 2) =
            eraStart(era, row, 9_000, isNew, isBootstrap).sinceMillis
        since(row) shouldBe 1_000
        since(row, isNew = false) shouldBe 9_000
        since(row, era = 3) shouldBe 9_000
        since(row, era = 3, isBootstrap = true) shouldBe 9_000
        since(EraRow.Missing) shouldBe 9_000
        since(EraRow.Unreadable, isBootstrap = true) shouldBe 9_000
        since(EraRow.Missing, isBootstrap = true) shouldBeLessThan -1_000_000
        since(EraRow.Missing, era = 0) shouldBeLessThan -1_000_000
        since(EraRow.Present(EraRecord(2, null))) shouldBeLessThan -1_000_000
    }

    test("the row is written when it is missing or tells of a former era") {
        eraRecordToWrite(EraStart(2, 9_000), EraRow.Missing) shouldBe EraRecord(2, 9_000)
        eraRecordToWrite(EraStart(2, 9_000), EraRow.Present(EraRecord(1, 5))) shouldBe EraRecord(2, 9_000)
        eraRecordToWrite(EraStart(2, 9_000), EraRow.Present(EraRecord(2, 5))).shouldBeNull()
        val first = eraStart(1, EraRow.Missing, 9_000, isNewProcess = true, isBootstrap = true)
        eraRecordToWrite(first, EraRow.Missing) shouldBe EraRecord(1, null)
    }
})
