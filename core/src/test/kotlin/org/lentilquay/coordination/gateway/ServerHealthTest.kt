package org.lentilquay.coordination.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.lentilquay.state.ServerId

private val SERVER = ServerId("e1")

/** Guards against failing or hanging servers that keep getting a full share of the requests. */
class ServerHealthTest : FunSpec({
    fun ServerHealth.run(outcome: ServerOutcome, now: Long) = ended(SERVER, started(SERVER, now + 100), outcome, now)

    test("the back-off of an unreachable server doubles up to 4 s and ends with its next answer") {
        val health = ServerHealth()
        health.run(ServerOutcome.UNREACHABLE, 0)
        health.faultCost(SERVER, 249) shouldBeGreaterThan 100.0
        health.faultCost(SERVER, 250) shouldBeLessThan 100.0
        repeat(10) { health.run(ServerOutcome.UNREACHABLE, 0) }
        health.faultCost(SERVER, 3_999) shouldBeGreaterThan 100.0
        health.faultCost(SERVER, 4_000) shouldBeLessThan 100.0
        health.run(ServerOutcome.ANSWERED, 10)
        health.faultCost(SERVER, 11) shouldBeLessThan 100.0
    }

    test("a server that fails half of its requests has a cost") {
        val health = ServerHealth()
        repeat(20) { health.run(if (it % 2 == 0) ServerOutcome.FAILED else ServerOutcome.ANSWERED, 0) }
        health.faultCost(SERVER, 10_000) shouldBeGreaterThan 5.0
    }

    test("an overdue answer adds a cost until the server begins to answer") {
        val health = ServerHealth()
        val attempt = health.started(SERVER, overdueAt = 100)
        health.faultCost(SERVER, 100) shouldBe 0.0
        health.faultCost(SERVER, 101) shouldBeGreaterThan 100.0
        health.answerStarted(SERVER, attempt)
        health.faultCost(SERVER, 102) shouldBe 0.0
    }

    test("a server that a caller has left has a cost only if its answer was overdue and had not begun") {
        fun cost(overdueAt: Long, hasBegun: Boolean = false) = ServerHealth().run {
            val attempt = started(SERVER, overdueAt)
            if (hasBegun) answerStarted(SERVER, attempt)
            ended(SERVER, attempt, ServerOutcome.LEFT, 100)
            faultCost(SERVER, 101)
        }
        cost(overdueAt = 99) shouldBeGreaterThan 100.0
        cost(overdueAt = 100) shouldBe 0.0
        cost(overdueAt = 99, hasBegun = true) shouldBe 0.0
    }

    test("callers that leave a silent server at the same time do not lengthen its back-off") {
        val health = ServerHealth()
        val attempts = List(5) { health.started(SERVER, overdueAt = 0) }
        attempts.forEach { health.ended(SERVER, it, ServerOutcome.LEFT, 100) }
        health.faultCost(SERVER, 350) shouldBeLessThan 100.0
    }

    test("requests with an unknown outcome add no cost") {
        val health = ServerHealth()
        repeat(20) { health.run(ServerOutcome.UNKNOWN, 0) }
        health.faultCost(SERVER, 0) shouldBe 0.0
        health.outstanding(SERVER) shouldBe 0
    }
})
