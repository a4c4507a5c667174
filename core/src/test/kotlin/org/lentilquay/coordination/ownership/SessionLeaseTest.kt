package org.lentilquay.coordination.ownership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.lentilquay.coordination.WriteResult
import org.lentilquay.state.DomainId
import org.lentilquay.state.Incarnation
import org.lentilquay.state.SessionRecord
import org.lentilquay.state.VmId

private fun lease(): SessionLease {
    var number = 0
    return SessionLease(VmId("vm-a"), Incarnation(2), "10.0.0.1:1", DomainId("d")) { "n${number++}" }
}

private fun record(nonce: String, incarnation: Long = 2) =
    SessionRecord(VmId("vm-a"), Incarnation(incarnation), 5, "10.0.0.1:1", DomainId("d"), nonce)

/** A lease that has read its record and sent its first renewal, n0, at 100. */
private fun renewing() = lease().apply {
    tick(0).step shouldBe SessionStep.ReadBack
    readBack(record("old", 1), 7, 50)
    tick(100).step.shouldBeInstanceOf<SessionStep.Renew>()
}

class SessionLeaseTest : FunSpec({
    // Guards against a lease that is still valid here when observers consider it expired, because it counts from the
    // answer.
    test("the lease is valid for 3 s from the time at which its renewal was sent") {
        val lease = renewing()
        lease.renewed("n0", WriteResult.COMMITTED, 900)
        lease.isValid(3_099) shouldBe true
        lease.isValid(3_100) shouldBe false
        lease.tick(1_000).step shouldBe SessionStep.Nothing
        lease.tick(1_100).step.shouldBeInstanceOf<SessionStep.Renew>()
    }

    // Guards against frequent writes for leases that are not in use, and against a lease that expires after one failed
    // renewal.
    listOf(
        Triple(true, WriteResult.COMMITTED, 1_100L),
        Triple(false, WriteResult.COMMITTED, 2_000L),
        Triple(false, WriteResult.NOT_SENT, 1_100L),
    ).forEach { (isInUse, result, expected) ->
        test("after $result, a lease ${if (isInUse) "in use" else "not in use"} is renewed again at $expected ms") {
            val lease = renewing()
            lease.renewed("n0", result, 150)
            lease.tick(expected - 1, isInUse).step shouldBe SessionStep.Nothing
            lease.tick(expected, isInUse, isStepPending = true).step shouldBe SessionStep.Nothing
            lease.tick(expected, isInUse).step.shouldBeInstanceOf<SessionStep.Renew>()
        }
    }

    // Guards against a new owner whose lease expires before its first renewal as owner.
    test("a lease that comes into use is renewed at once if its last renewal was sent a second ago") {
        val lease = renewing()
        lease.renewed("n0", WriteResult.COMMITTED, 150)
        lease.tick(1_300, isInUse = false).step shouldBe SessionStep.Nothing
        lease.tick(1_400, isInUse = true).step.shouldBeInstanceOf<SessionStep.Renew>()
    }

    // Guards against a session that ends with one lost answer, and against a write of another process that counts as a
    // renewal.
    listOf("n0" to true, "other" to false).forEach { (nonce, expected) ->
        test("after a lost answer, the lease is valid only if its own nonce is read back: $nonce") {
            val lease = renewing()
            lease.renewed("n0", WriteResult.UNKNOWN, 600)
            lease.tick(610).step shouldBe SessionStep.ReadBack
            lease.readBack(record(nonce), 8, 700)
            lease.isValid(700) shouldBe expected
        }
    }

    // Guards against decisions on an outdated local view after a pause or an expired lease.
    test("a pause and an expiry of the lease are each reported once") {
        val lease = renewing()
        lease.renewed("n0", WriteResult.COMMITTED, 150)
        lease.tick(1_100).resumedAfterPause shouldBe false
        lease.tick(2_101).resumedAfterPause shouldBe true
        lease.tick(3_000).leaseExpired shouldBe false
        // The renewal of 1,100 is confirmed between two ticks, after the lease has expired.
        lease.renewed("n1", WriteResult.UNKNOWN, 3_050)
        lease.readBack(record("n1"), 9, 3_150)
        lease.isValid(3_150) shouldBe true
        lease.tick(3_200).leaseExpired shouldBe true
        lease.tick(3_250).leaseExpired shouldBe false
    }

    // Guards against two processes of one VM that both act as owner.
    test("a session record of a later incarnation ends the lease of this process") {
        val lease = renewing()
        lease.renewed("n0", WriteResult.COMMITTED, 150)
        lease.readBack(record("x", 3), 9, 200)
        lease.tick(210).step shouldBe SessionStep.Superseded
        lease.isValid(210) shouldBe false
    }
})
