package org.lentilquay.daemon.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.lentilquay.coordination.gateway.ORDER_LEASE_MILLIS
import org.lentilquay.daemon.control.decodeOrNull
import org.lentilquay.daemon.control.tolerantJson
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.Incarnation
import org.lentilquay.state.gateway.ControllerRecord
import org.lentilquay.state.gateway.DutySubject
import org.lentilquay.state.gateway.ERA_KEY
import org.lentilquay.state.gateway.EraRecord
import org.lentilquay.state.gateway.MemberRecord
import org.lentilquay.state.gateway.controllerKey
import org.lentilquay.state.gateway.memberKey
import org.lentilquay.transport.platform.ReadResult
import kotlin.time.Duration.Companion.seconds

private val USAGE = DutySubject("usage")
private const val TAKEOVER_ATTEMPT_MILLIS = 300L

private fun table(era: Long = 1) = InMemoryTable().also { it.era = era }

private suspend fun LoopFixture.hold() {
    exchange()
    require(setOf(USAGE))
    eventually(5.seconds) {
        tick()
        fenceOf(USAGE).shouldNotBeNull()
    }
    advanceClock(RENEWAL_MILLIS)
    exchange()
}

private suspend fun LoopFixture.tryToTake(): Long? {
    advanceClock(RENEWAL_MILLIS)
    exchange()
    tick()
    Thread.sleep(TAKEOVER_ATTEMPT_MILLIS)
    return fenceOf(USAGE)
}

private suspend fun InMemoryTable.holder(): ControllerRecord? =
    (item(controllerKey(USAGE)) as ReadResult.Read).value?.let { decodeOrNull(it) }

private suspend fun InMemoryTable.eraRecord(): EraRecord? =
    (item(ERA_KEY) as ReadResult.Read).value?.let { decodeOrNull(it) }

/** Guards against two holders, and against holders that stop, after the table service returned from a copy. */
class EraLoopTest : FunSpec({
    test("a holder goes on after a return, and writes its records again with a new number") {
        val table = table()
        LoopFixture(table = table, isBootstrap = true).use { holder ->
            holder.exchange()
            table.takeCopy()
            holder.hold()
            val former = holder.fenceOf(USAGE).shouldNotBeNull()
            table.returnFromCopy()
            table.holder().shouldBeNull()
            holder.mayCall(USAGE, former) shouldBe true
            table.time += RENEWAL_MILLIS
            repeat(2) {
                holder.advanceClock(RENEWAL_MILLIS)
                holder.exchange()
            }
            eventually(5.seconds) {
                holder.tick()
                holder.fenceOf(USAGE).shouldNotBeNull() shouldBeGreaterThan former
            }
            val fence = holder.fenceOf(USAGE).shouldNotBeNull()
            table.holder() shouldBe ControllerRecord(OWN, Incarnation(1), fence, 2)
            holder.mayCall(USAGE, former) shouldBe false
            holder.mayCall(USAGE, fence) shouldBe true
            holder.own()?.era shouldBe 2
            table.eraRecord() shouldBe EraRecord(2, table.time)
        }
    }

    test("a renewal on a version that was assigned again does not extend the lease, and the next one reads it first") {
        val table = table()
        LoopFixture(table = table, isBootstrap = true).use { holder ->
            table.takeCopy()
            holder.hold()
            val fence = holder.fenceOf(USAGE).shouldNotBeNull()
            val version = (table.item(memberKey(OWN)) as ReadResult.Read).value.shouldNotBeNull().version
            table.returnFromCopy()
            // Writes of another VM take the versions; the last one is that of a late renewal of this VM.
            val filler = TableOperation.Put("seats/0", "")
            repeat(version.toInt() - 1) { table.transact(listOf(filler)) }
            val late = MemberRecord("", EAST, Incarnation(1), 0, tableMillis = table.time, era = 1)
            table.transact(listOf(TableOperation.Put(memberKey(OWN), tolerantJson.encodeToString(late))))
            table.latestEra = 1
            table.beforeAnswer = { table.isReachable = false }
            // The lease counts from the first exchange; this renewal would extend it by one interval.
            holder.advanceClock(ORDER_LEASE_MILLIS - 2 * RENEWAL_MILLIS)
            holder.exchange()
            // The write took effect in the new era on the reassigned version.
            table.isReachable = true
            holder.own()?.renewal.shouldNotBeNull() shouldBeGreaterThan 0
            table.isReachable = false
            holder.mayCall(USAGE, fence) shouldBe true
            holder.advanceClock(RENEWAL_MILLIS)
            holder.mayCall(USAGE, fence) shouldBe false
            table.isReachable = true
            table.beforeAnswer = {}
            repeat(2) { holder.exchange() }
            holder.own()?.era shouldBe 2
            holder.fenceOf(USAGE).shouldBeNull()
        }
    }

    test("a new process after a return waits for a full expiry from the time in the row, and takes a duty then") {
        val table = table()
        LoopFixture(table = table, isBootstrap = true).use { holder ->
            holder.exchange()
            table.takeCopy()
            holder.hold()
            val former = holder.fenceOf(USAGE).shouldNotBeNull()
            table.time += 60_000
            table.returnFromCopy()
            LoopFixture(OTHER, table, Incarnation(3)).use { first -> first.exchange() }
            table.eraRecord() shouldBe EraRecord(2, table.time)
            table.time += TAKEOVER_MILLIS - 1
            LoopFixture(OTHER, table, Incarnation(4), isBootstrap = true).use { other ->
                other.require(setOf(USAGE))
                repeat(2) { other.tryToTake().shouldBeNull() }
                table.time += 1
                eventually(5.seconds) { other.tryToTake().shouldNotBeNull() shouldBeGreaterThan former }
            }
        }
    }

    test("a process that sees its first era without a row waits, unless the whole system starts for the first time") {
        val table = table()
        LoopFixture(table = table).use { fixture ->
            fixture.require(setOf(USAGE))
            repeat(3) { fixture.tryToTake().shouldBeNull() }
            table.eraRecord() shouldBe EraRecord(1, 1_000)
        }
        val fresh = table()
        LoopFixture(table = fresh, isBootstrap = true).use { fixture ->
            fixture.hold()
            fixture.mayCall(USAGE, fixture.fenceOf(USAGE).shouldNotBeNull()) shouldBe true
            fresh.eraRecord() shouldBe EraRecord(1, null)
        }
    }

    test("a holder that was cut off or frozen while the era rose makes no call, and does not take its duty at once") {
        val table = table()
        LoopFixture(table = table, isBootstrap = true).use { holder ->
            holder.hold()
            table.takeCopy()
            val fence = holder.fenceOf(USAGE).shouldNotBeNull()
            table.returnFromCopy()
            table.time += 7_000
            holder.advanceClock(7_000)
            holder.mayCall(USAGE, fence) shouldBe false
            // The copy still names this VM, but another one may have taken the duty over before the return.
            repeat(2) { holder.tryToTake().shouldBeNull() }
            table.time += TAKEOVER_MILLIS
            eventually(5.seconds) { holder.tryToTake().shouldNotBeNull() shouldBeGreaterThan fence }
        }
    }
})
