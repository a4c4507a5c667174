package org.lentilquay.daemon.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.lentilquay.coordination.gateway.ORDER_LEASE_MILLIS
import org.lentilquay.state.Incarnation
import org.lentilquay.state.gateway.DutyRecord
import org.lentilquay.state.gateway.DutySubject
import kotlin.time.Duration.Companion.seconds

private val USAGE = DutySubject("usage")
private val SCALE = DutySubject("scale/models/east")
private const val TAKEOVER_ATTEMPT_MILLIS = 300L

private suspend fun LoopFixture.holdDuties() {
    exchange()
    require(setOf(USAGE, SCALE))
    eventually(5.seconds) {
        tick()
        fenceOf(USAGE).shouldNotBeNull()
        fenceOf(SCALE).shouldNotBeNull()
    }
}

/** Guards against calls of two VMs for one duty, and against duties that nobody performs. */
class DutyLoopTest : FunSpec({
    test("required duties are taken, published, and released when they are no longer required") {
        LoopFixture().use { fixture ->
            fixture.holdDuties()
            fixture.mayCall(USAGE, 1) shouldBe true
            fixture.mayCall(USAGE, 2) shouldBe false
            fixture.exchange()
            fixture.own()?.duties shouldBe listOf(DutyRecord(USAGE, 1), DutyRecord(SCALE, 1))
            fixture.require(setOf(USAGE))
            fixture.fenceOf(SCALE).shouldBeNull()
            fixture.mayCall(SCALE, 1) shouldBe false
            fixture.exchange()
            fixture.own()?.duties shouldBe listOf(DutyRecord(USAGE, 1))
        }
    }

    test("a holder that is cut off or frozen makes no call, and takes its duties back with higher numbers") {
        LoopFixture().use { fixture ->
            fixture.holdDuties()
            fixture.table.isReachable = false
            fixture.advanceClock(ORDER_LEASE_MILLIS - 500)
            fixture.mayCall(USAGE, 1) shouldBe false
            fixture.table.isReachable = true
            fixture.advanceClock(500)
            // The link has healed and the lease is renewed before the next look at it.
            repeat(2) { fixture.exchange() }
            fixture.mayCall(USAGE, 1) shouldBe false
            fixture.holdDuties()
            fixture.fenceOf(USAGE) shouldBe 2
            fixture.mayCall(USAGE, 2) shouldBe true
            fixture.clockDifference = 2_000
            fixture.mayCall(USAGE, 2) shouldBe false
        }
    }

    test("in a planned stop duties are released first, and another VM takes them after the pause") {
        val table = InMemoryTable()
        LoopFixture(table = table).use { stopping ->
            stopping.holdDuties()
            stopping.exchange()
            stopping.releaseDuties()
            stopping.mayCall(USAGE, 1) shouldBe false
            stopping.advanceClock(1_000)
            stopping.exchange()
            stopping.own()?.isLeaving shouldBe false
            stopping.own()?.duties shouldBe emptyList()
            repeat(3) { stopping.tick() }
            LoopFixture(OTHER, table, Incarnation(3)).use { other ->
                table.time += PAUSE_MILLIS + 499
                other.exchange()
                other.require(setOf(USAGE))
                other.advanceClock(RENEWAL_MILLIS)
                other.tick()
                Thread.sleep(TAKEOVER_ATTEMPT_MILLIS)
                other.fenceOf(USAGE).shouldBeNull()
                table.time += 1
                other.advanceClock(RENEWAL_MILLIS)
                other.exchange()
                eventually(5.seconds) {
                    other.tick()
                    other.fenceOf(USAGE) shouldBe 2
                }
                stopping.fenceOf(USAGE).shouldBeNull()
            }
        }
    }

    test("a duty whose holder dies is taken over by another VM, and a former holder that comes back does not call") {
        val table = InMemoryTable()
        LoopFixture(table = table).use { holder ->
            holder.holdDuties()
            holder.exchange()
            LoopFixture(OTHER, table, Incarnation(3)).use { other ->
                table.time += TAKEOVER_MILLIS
                holder.advanceClock(TAKEOVER_MILLIS)
                other.holdDuties()
                other.fenceOf(USAGE) shouldBe 2
                other.exchange()
                holder.mayCall(USAGE, 1) shouldBe false
                repeat(2) { holder.exchange() }
                holder.tick()
                Thread.sleep(TAKEOVER_ATTEMPT_MILLIS)
                holder.fenceOf(USAGE).shouldBeNull()
            }
        }
    }
})
