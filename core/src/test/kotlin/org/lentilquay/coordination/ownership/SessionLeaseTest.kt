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
    // Guards against a lease that outlives what observers assume, because it counts from the answer.
    test("the lease counts from the sending of the renewal") {
        val lease = renewing()
        lease.renewed("n0", WriteResult.COMMITTED, 900)
        lease.isValid(3_099) shouldBe true
        lease.isValid(3_100) shouldBe false
        lease.tick(1_000).step shouldBe SessionStep.Nothing
        lease.tick(1_100).step.shouldBeInstanceOf<SessionStep.Renew>()
    }

    // Guards against writes for leases that nobody uses, and against a lease in use that one lost answer ends.
    listOf(
        Triple(true, WriteResult.COMMITTED, 1_100L),
        Triple(false, WriteResult.COMMITTED, 2_000L),
        Triple(false, WriteResult.NOT_SENT, 1_100L),
    ).forEach { (isInUse, result, expected) ->
        test("after $result, a lease ${if (isInUse) "in use" else "out of use"} is renewed again at $expected") {
            val lease = renewing()
            lease.renewed("n0", result, 150)
            lease.tick(expected - 1, isInUse).step shouldBe SessionStep.Nothing
            lease.tick(expected, isInUse, isCallOpen = true).step shouldBe SessionStep.Nothing
            lease.tick(expected, isInUse).step.shouldBeInstanceOf<SessionStep.Renew>()
        }
    }

    // Guards against a new owner whose lease ends before its first renewal as owner.
    test("a lease that comes into use is renewed at once if its last renewal is a second ago") {
        val lease = renewing()
        lease.renewed("n0", WriteResult.COMMITTED, 150)
        lease.tick(1_300, isInUse = false).step shouldBe SessionStep.Nothing
        lease.tick(1_400, isInUse = true).step.shouldBeInstanceOf<SessionStep.Renew>()
    }

    // Guards against a session that ends with one lost answer, and against one that counts a foreign write as its own.
    listOf("n0" to true, "other" to false).forEach { (nonce, expected) ->
        test("a lost answer is resolved by a read that finds $nonce") {
            val lease = renewing()
            lease.renewed("n0", WriteResult.UNKNOWN, 600)
            lease.tick(610).step shouldBe SessionStep.ReadBack
            lease.readBack(record(nonce), 8, 700)
            lease.isValid(700) shouldBe expected
        }
    }

    // Guards against acting on old knowledge after a pause or a gap in the lease.
    test("pauses and lapses are reported once") {
        val lease = renewing()
        lease.renewed("n0", WriteResult.COMMITTED, 150)
        lease.tick(1_100).resumedAfterPause shouldBe false
        lease.tick(2_101).resumedAfterPause shouldBe true
        lease.tick(3_000).leaseExpired shouldBe false
        // The renewal of 1,100 was answered only after the lease had ended, between two ticks.
        lease.renewed("n1", WriteResult.UNKNOWN, 3_050)
        lease.readBack(record("n1"), 9, 3_150)
        lease.isValid(3_150) shouldBe true
        lease.tick(3_200).leaseExpired shouldBe true
        lease.tick(3_250).leaseExpired shouldBe false
    }

    // Guards against two processes of one VM that both act.
    test("a later process of the same VM ends this one") {
        val lease = renewing()
        lease.renewed("n0", WriteResult.COMMITTED, 150)
        lease.readBack(record("x", 3), 9, 200)
        lease.tick(210).step shouldBe SessionStep.Superseded
        lease.isValid(210) shouldBe false
    }
})
