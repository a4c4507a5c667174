package org.lentilquay.coordination.ownership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.serialization.json.Json
import org.lentilquay.coordination.SimulatedTable
import org.lentilquay.coordination.WriteResult
import org.lentilquay.coordination.configuration.HEAD_KEY
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.DomainId
import org.lentilquay.state.Incarnation
import org.lentilquay.state.SessionRecord
import org.lentilquay.state.VmId
import org.lentilquay.state.sessionKey
import kotlin.random.Random

private val vm = VmId("vm-a")

private fun record(nonce: String) = SessionRecord(vm, Incarnation(2), 5, "10.0.0.1:1", DomainId("d"), nonce)

private class RenewalFixture : HeadObserver {
    private var number = 0
    val lease = SessionLease(vm, Incarnation(2), "10.0.0.1:1", DomainId("d")) { "n${number++}" }
    val renewal = HeadCheckedRenewal(lease, this)
    val observed = ArrayList<String>()

    override fun headConfirmed(revision: Long, sentAt: Long) {
        observed += "head $revision at $sentAt"
    }

    override fun headUnanswered(sentAt: Long) {
        observed += "no answer at $sentAt"
    }

    /** Reads the record and begins the first renewal, n0, at 100. */
    fun begin(head: Long?): SessionStep.Renew {
        lease.tick(0)
        renewal.readBack(null, 0, 50)
        val step = lease.tick(100).step.shouldBeInstanceOf<SessionStep.Renew>()
        val checks = renewal.begin(step, head, 100) - step.operations.toSet()
        checks shouldBe listOfNotNull(head?.let { TableOperation.Check(HEAD_KEY, it) })
        return step
    }
}

class HeadCheckedRenewalTest : FunSpec({
    data class Case(val head: Long?, val results: List<WriteResult>, val read: String?, val observed: List<String>)

    val lost = "no answer at 100"
    val confirmed = "head 7 at 100"

    // Guards against a head that counts as confirmed without proof, a lease that expires because the head moved, and a
    // VM that becomes isolated because one answer was lost after its transaction took effect.
    listOf(
        Case(7, listOf(WriteResult.COMMITTED), null, listOf(confirmed)) to true,
        Case(7, listOf(WriteResult.NOT_SENT), null, listOf(lost)) to false,
        Case(7, listOf(WriteResult.UNKNOWN), "n0", listOf(lost, confirmed)) to true,
        Case(7, listOf(WriteResult.UNKNOWN), "x", listOf(lost)) to false,
        Case(7, listOf(WriteResult.CONFLICT, WriteResult.COMMITTED), null, emptyList()) to true,
        Case(7, listOf(WriteResult.CONFLICT, WriteResult.UNKNOWN), "n0", emptyList()) to true,
        Case(null, listOf(WriteResult.UNKNOWN), "n0", emptyList()) to true,
        Case(null, listOf(WriteResult.COMMITTED), null, emptyList()) to true,
    ).forEach { (case, isValid) ->
        test("only proof counts: head ${case.head}, ${case.results.joinToString()}, read back ${case.read}") {
            val fixture = RenewalFixture()
            val step = fixture.begin(case.head)
            case.results.forEach { result ->
                fixture.renewal.ended(step, result, 300) shouldBe (result == WriteResult.CONFLICT)
            }
            if (case.read != null) {
                fixture.lease.tick(400).step shouldBe SessionStep.ReadBack
                fixture.renewal.readBack(record(case.read), 1, 500)
            }
            fixture.observed shouldContainExactly case.observed
            fixture.lease.isValid(3_099) shouldBe isValid
            fixture.lease.isValid(3_100) shouldBe false
        }
    }

    // Guards against the confirmation of a revision that was not the head at any time after its check was sent.
    test("with lost answers, late writes and stale reads, a confirmed head was the head after its check was sent") {
        var confirmed = 0
        repeat(300) { seed ->
            val random = Random(seed)
            val table = SimulatedTable(random).apply { faultPercent = 30 }
            val setAt = ArrayList<Long>()
            var now = 0L
            val heads = object : HeadObserver {
                override fun headConfirmed(revision: Long, sentAt: Long) {
                    confirmed++
                    val replacedAt = setAt.getOrElse(revision.toInt()) { Long.MAX_VALUE }
                    sentAt shouldBeInRange 0..replacedAt
                }

                override fun headUnanswered(sentAt: Long) = Unit
            }
            var number = 0
            val lease = SessionLease(vm, Incarnation(2), "10.0.0.1:1", DomainId("d")) { "n${number++}" }
            val renewal = HeadCheckedRenewal(lease, heads)
            fun head() = table.current(HEAD_KEY)?.version ?: 0
            fun moveHead() {
                val before = head()
                table.transact(listOf(TableOperation.Put(HEAD_KEY, "", before)))
                table.deliverLate()
                while (setAt.size < head()) setAt += now
            }
            repeat(200) {
                now += random.nextLong(0, 900)
                table.isDown = random.nextInt(10) == 0
                if (random.nextInt(8) == 0) moveHead()
                when (val step = lease.tick(now, isInUse = random.nextBoolean()).step) {
                    is SessionStep.Renew -> {
                        val operations = renewal.begin(step, maxOf(0, head() - random.nextInt(2)), now)
                        if (random.nextInt(8) == 0) moveHead()
                        val isRepeated = renewal.ended(step, table.transact(operations), now)
                        if (isRepeated) renewal.ended(step, table.transact(step.operations), now)
                    }
                    SessionStep.ReadBack -> if (!table.isDown) {
                        val item = table.read(sessionKey(vm))
                        renewal.readBack(item?.let { Json.decodeFromString(it.value) }, item?.version ?: 0, now)
                    }
                    else -> Unit
                }
            }
        }
        confirmed shouldBeGreaterThan 2_000
    }
})
