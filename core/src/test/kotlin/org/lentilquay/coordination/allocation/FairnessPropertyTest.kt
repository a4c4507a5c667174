package org.lentilquay.coordination.allocation

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import org.lentilquay.protocol.Priority
import org.lentilquay.state.TeamId
import kotlin.math.abs
import kotlin.random.Random

private const val LARGEST = 500L

/** Guards against one team taking the share of another. */
class FairnessPropertyTest : FunSpec({
    test("two backlogged teams are served in proportion to weight within one largest request each") {
        (1..20).forEach { seed ->
            val random = Random(seed)
            val weights = mapOf("a" to 1 + random.nextInt(4), "b" to 1 + random.nextInt(4))
            val fixture = singlePlace(weights)
            val tokens = HashMap<String, Long>()
            fun send(team: String) {
                val id = "$team-${tokens.size}"
                tokens[id] = 1 + random.nextLong(LARGEST)
                val priority = if (random.nextBoolean()) Priority.SHORT else Priority.LONG
                fixture.reserve(id, team = team, tokens = tokens.getValue(id), priority = priority, wait = 1_000_000)
            }
            fixture.occupy(1)
            repeat(40) { weights.keys.forEach(::send) }
            val served = mutableMapOf("a" to 0L, "b" to 0L)
            var running = "busy-0"
            repeat(400) {
                val grant = fixture.release(running).filterIsInstance<AllocatorEffect.Grant>().single()
                running = grant.requestId
                val team = running.substringBefore('-')
                served.merge(team, tokens.getValue(running), Long::plus)
                send(team)
                val lead = served.getValue("a") / weights.getValue("a").toDouble() -
                    served.getValue("b") / weights.getValue("b").toDouble()
                withClue("seed $seed, weights $weights") {
                    abs(lead) shouldBeLessThanOrEqual weights.values.sumOf { LARGEST / it.toDouble() }
                }
            }
        }
    }

    test("a team inside its share waits at most two runs while another sends five times as much") {
        (1..10).forEach { seed ->
            val random = Random(seed)
            val fixture = singlePlace(emptyMap())
            val heavy = ArrayDeque<String>()
            var running: String? = null
            var light: String? = null
            var lightSince = 0L
            repeat(2_000) { step ->
                fixture.now += 10
                if (step % 10 == 0) fixture.claim()
                if (step % 10 == 0) {
                    running?.let { fixture.release(it) }
                    running = null
                }
                if (step % 4 == 0) heavy += "heavy-$step"
                if (light == null && random.nextInt(20) == 0) {
                    light = "light-$step"
                    lightSince = fixture.now
                }
                (heavy.toList() + listOfNotNull(light)).forEach { id ->
                    val decision = fixture.reserve(id, team = id.substringBefore('-'), spill = 600, wait = 2_000)
                    if (decision is ReserveDecision.Granted) running = id
                    if (id == light && decision is ReserveDecision.Busy) error("seed $seed: $id turned away")
                    if (decision !is ReserveDecision.Queued) heavy.remove(id)
                }
                if (running == light && light != null) {
                    withClue("seed $seed") { fixture.now - lightSince shouldBeLessThanOrEqual 200 }
                    light = null
                }
            }
        }
    }
})

private fun singlePlace(weights: Map<String, Int>): AllocatorFixture {
    val fixture = AllocatorFixture(engineServer(maximumInFlight = 1, coldInFlight = 1)).settled()
    fixture.allocator.reconfigure(fixture.server, true, weights.mapKeys { TeamId(it.key) }, fixture.now)
    return fixture
}
