package org.lentilquay.daemon.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.lentilquay.coordination.gateway.ORDER_LEASE_MILLIS
import org.lentilquay.daemon.control.tolerantJson
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.Incarnation
import org.lentilquay.state.ServerId
import org.lentilquay.state.gateway.ControllerRecord
import org.lentilquay.state.gateway.EngineRecord
import org.lentilquay.state.gateway.MemberRecord
import org.lentilquay.state.gateway.controllerKey
import org.lentilquay.state.gateway.memberKey
import kotlin.time.Duration.Companion.seconds

private const val RENEWAL_INTERVAL_MILLIS = 1_000L

/** Parts of requests that were answered and had been sent just now. */
private val CLEARED = mapOf("5a" to 0L, "bad" to 0L)

/** Time in which a VM that may take control of an engine has done so. */
private const val TAKEOVER_ATTEMPT_MILLIS = 300L

/** Guards against engines without a controller after a VM is lost, and against orders of two VMs to one engine. */
class EngineControlLoopTest : FunSpec({
    test("control of a lost VM's engine is taken once its lease and the pause have passed, and not 1 ms before") {
        LoopFixture().use { fixture ->
            fixture.open()
            fixture.table.time = 1_000 + TAKEOVER_MILLIS - 1
            fixture.exchange()
            fixture.own()?.tableMillis shouldBe 1_000 + TAKEOVER_MILLIS - 1
            fixture.tick()
            Thread.sleep(300)
            fixture.controller()?.vm shouldBe LOST
            fixture.table.time = 1_000 + TAKEOVER_MILLIS
            fixture.exchange()
            eventually(5.seconds) {
                fixture.tick()
                fixture.controller() shouldBe ControllerRecord(OWN, Incarnation(1), 5)
            }
        }
    }

    test("after an outage, the member record carries the table time of the last read before its write") {
        LoopFixture().use { fixture ->
            fixture.open()
            fixture.table.isReachable = false
            fixture.exchange()
            fixture.table.isReachable = true
            fixture.own() shouldBe null
            fixture.table.time = 5_000
            fixture.exchange()
            fixture.table.time = 6_000
            fixture.exchange()
            fixture.own()?.tableMillis shouldBe 5_000
        }
    }

    test("a member whose record can no longer be decoded is removed from the members") {
        LoopFixture().use { fixture ->
            fixture.open()
            fixture.exchange()
            fixture.members() shouldBe setOf(OWN, LOST)
            fixture.table.transact(listOf(TableOperation.Put(memberKey(LOST), "{")))
            fixture.exchange()
            fixture.members() shouldBe setOf(OWN)
        }
    }

    // A VM that was cut off from the table service once lost its engine to another VM and went on sending orders,
    // because a renewal of that time took effect after newer ones and made its lease look expired.
    test("a renewal that takes effect late does not replace a newer one, and no other VM takes over the engine") {
        val table = InMemoryTable()
        LoopFixture(table = table).use { controller ->
            controller.open()
            table.time = 1_000 + TAKEOVER_MILLIS
            controller.exchange()
            controller.takeControl()

            table.delaysWrites = true
            controller.exchange()
            table.delaysWrites = false
            table.time += TAKEOVER_MILLIS
            repeat(2) {
                controller.advanceClock(RENEWAL_INTERVAL_MILLIS)
                controller.exchange()
            }
            controller.own()?.tableMillis shouldBe table.time
            val newest = controller.own()
            table.executeDelayed()

            controller.own() shouldBe newest
            LoopFixture(OTHER, table).use { other ->
                other.registerEngine()
                other.exchange()
                other.tick()
                Thread.sleep(TAKEOVER_ATTEMPT_MILLIS)
                other.controller()?.vm shouldBe OWN
            }
        }
    }

    // The process does not run while its VM is suspended; a renewal may be the first thing that it does afterwards.
    test("a lease that expired between two checks and was renewed since does not give back control of the engines") {
        LoopFixture().use { fixture ->
            fixture.open()
            fixture.table.time = 1_000 + TAKEOVER_MILLIS
            fixture.exchange()
            fixture.takeControl()
            fixture.exchange()
            fixture.advanceClock(ORDER_LEASE_MILLIS)
            fixture.exchange()
            fixture.controlsEngine() shouldBe false
        }
    }

    // Another VM may take over the engine before the answer to this VM's own takeover arrives.
    test("a takeover whose answer comes after the lease has expired does not begin control of the engine") {
        LoopFixture().use { fixture ->
            fixture.open()
            fixture.table.time = 1_000 + TAKEOVER_MILLIS
            fixture.exchange()
            fixture.table.beforeAnswer = { operations ->
                if (operations.any { it.key == controllerKey(ENGINE) }) fixture.advanceClock(ORDER_LEASE_MILLIS)
            }
            fixture.tick()
            eventually(5.seconds) { fixture.controller()?.vm shouldBe OWN }
            Thread.sleep(TAKEOVER_ATTEMPT_MILLIS)
            fixture.controlsEngine() shouldBe false
        }
    }

    // Without this check, a controller whose lease looked expired to another VM sends orders until it stops.
    test("a controller that learns of a higher fencing number for its engine ends its control") {
        LoopFixture().use { fixture ->
            fixture.open()
            fixture.table.time = 1_000 + TAKEOVER_MILLIS
            fixture.exchange()
            fixture.takeControl()
            val engine = EngineRecord(ENGINE, fence = 6, running = 0, queued = 0)
            val successor = MemberRecord("", EAST, Incarnation(1), 1, engines = listOf(engine), tableMillis = 10_500)
            fixture.table.transact(
                listOf(TableOperation.Put(memberKey(OTHER), tolerantJson.encodeToString(successor))),
            )
            fixture.exchange()
            fixture.tick()
            fixture.controlsEngine() shouldBe false
        }
    }

    // Without the read-back, a controller whose answers get lost for a few seconds would give up its engines.
    test("a renewal whose answer was lost extends the lease once the record shows that it took effect") {
        LoopFixture().use { fixture ->
            fixture.open()
            fixture.table.time = 1_000 + TAKEOVER_MILLIS
            fixture.exchange()
            fixture.takeControl()
            fixture.advanceClock(ORDER_LEASE_MILLIS / 2)
            fixture.table.losesAnswers = true
            fixture.exchange()
            fixture.advanceClock(ORDER_LEASE_MILLIS - 1)
            fixture.tick()
            fixture.controlsEngine() shouldBe true
        }
    }

    suspend fun LoopFixture.crash(server: Int, fingerprint: String, parts: Set<String>) {
        val notice = PeerRequest.SuspectNotice(ServerId("s$server"), 1, listOf(fingerprint), 2_000, listOf(parts))
        crashes.record(notice)
    }

    // Requests with a quarantined part went on coming when all VMs were restarted, and crashed servers anew.
    test("a quarantined prompt part stays so when all VMs restart at once, and a cleared one does not come back") {
        val table = InMemoryTable()
        LoopFixture(table = table).use { former ->
            repeat(3) { former.crash(it, "f$it", setOf("5a", "bad")) }
            former.crashes.quarantine("f", setOf("5a", "bad")).shouldNotBeNull()
            repeat(2) { former.exchange() }
        }
        LoopFixture(table = table, incarnation = Incarnation(2)).use { restarted ->
            restarted.exchange()
            restarted.crashes.hasSuspects shouldBe true
            restarted.crashes.quarantine("f", setOf("5a", "bad"))?.remainingMillis.shouldNotBeNull()
                .shouldBeInRange(590_000L..598_500L)
            restarted.crashes.quarantine("f", setOf("5a")).shouldBeNull()
            LoopFixture(OTHER, table).use { other ->
                other.exchange()
                other.crashes.quarantine("f", setOf("5a", "bad", "c")).shouldNotBeNull()
                val news = PeerRequest.SuspectNotice(ServerId("none"), 0, emptyList(), clearedAgeMillis = CLEARED)
                other.crashes.record(news)
                other.crashes.quarantine("f", setOf("5a", "bad")).shouldBeNull()
                other.advanceClock(RENEWAL_INTERVAL_MILLIS)
                other.exchange()
                other.crashes.quarantine("f", setOf("5a", "bad")).shouldBeNull()
            }
            restarted.exchange()
            restarted.crashes.quarantine("f", setOf("5a", "bad")).shouldBeNull()
        }
    }

    test("a quarantined request stays so when all VMs restart at once") {
        val table = InMemoryTable()
        LoopFixture(table = table).use { former ->
            repeat(3) { former.crash(it, "same", emptySet()) }
            former.crashes.quarantine("same", emptySet()).shouldNotBeNull()
            repeat(2) { former.exchange() }
        }
        LoopFixture(table = table, incarnation = Incarnation(2)).use { restarted ->
            restarted.exchange()
            restarted.crashes.quarantine("same", emptySet()).shouldNotBeNull()
            restarted.crashes.quarantine("other", emptySet()).shouldBeNull()
        }
    }
})
