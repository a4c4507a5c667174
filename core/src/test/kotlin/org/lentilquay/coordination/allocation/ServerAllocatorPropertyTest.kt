package org.lentilquay.coordination.allocation

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import org.lentilquay.protocol.Priority
import org.lentilquay.state.TeamId
import kotlin.math.abs
import kotlin.random.Random

private const val MAXIMUM_TOKENS = 500L
private const val SEEDS = 120

/**
 * Guards against violations of the invariants in docs/design.md, section 1.2, under restarts, crashes and suspensions
 * of VMs, lost messages and unknown results of orders, and against one team that takes the share of another.
 */
class ServerAllocatorPropertyTest : FunSpec({
    test("under random faults, pins, limits, claims and the takeover wait hold, and every request ends") {
        val counts = HashMap<String, Int>()
        val failures = ArrayList<String>()
        (1..SEEDS).forEach { seed ->
            val simulation = AllocatorSimulation(seed)
            simulation.run()
            failures += simulation.violations.take(2).map { "seed $seed, $it" }
            simulation.counts.forEach { (name, count) -> counts.merge(name, count, Int::plus) }
        }
        withClue(failures.take(12).joinToString("\n")) { failures.shouldBeEmpty() }
        println("model runs: $counts")
        listOf("grants", "loads", "unloads", "restarts", "deaths", "pauses").forEach {
            withClue("the sequences contain $it") { (counts[it] ?: 0) shouldBeGreaterThan SEEDS / 2 }
        }
    }

    test("two backlogged teams get tokens in proportion to their weights, within one maximum request each") {
        (1..20).forEach { seed ->
            val random = Random(seed)
            val weights = mapOf("a" to 1 + random.nextInt(4), "b" to 1 + random.nextInt(4))
            val fixture = singleBatchSlot(weights)
            val tokens = HashMap<String, Long>()
            fun send(team: String) {
                val id = "$team-${tokens.size}"
                tokens[id] = 1 + random.nextLong(MAXIMUM_TOKENS)
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
                    abs(lead) shouldBeLessThanOrEqual weights.values.sumOf { MAXIMUM_TOKENS / it.toDouble() }
                }
            }
        }
    }

    test("a team within its share waits at most two runs while another sends five times as much") {
        (1..10).forEach { seed ->
            val random = Random(seed)
            val fixture = singleBatchSlot(emptyMap())
            val open = LinkedHashMap<String, Long>()
            var running = ""
            repeat(2_000) { step ->
                fixture.now += 10
                if (step % 10 == 0) {
                    fixture.claim()
                    fixture.release(running)
                }
                if (step % 4 == 0) open["heavy-$step"] = fixture.now
                val isLightDue = random.nextInt(20) == 0 && open.keys.none { it.startsWith("light") }
                if (isLightDue) open["light-$step"] = fixture.now
                open.keys.toList().forEach { id ->
                    val decision = fixture.reserve(id, team = id.substringBefore('-'), spill = 600, wait = 2_000)
                    if (decision is ReserveDecision.Queued) return@forEach
                    val waited = fixture.now - (open.remove(id) ?: 0)
                    if (decision is ReserveDecision.Granted) running = id
                    check(id.startsWith("heavy") || (decision is ReserveDecision.Granted && waited <= 200)) {
                        "seed $seed, $id: $decision after $waited ms"
                    }
                }
            }
        }
    }
})

private fun singleBatchSlot(weights: Map<String, Int>): AllocatorFixture {
    val fixture = AllocatorFixture(engineServer(maximumInFlight = 1, coldInFlight = 1)).settled()
    fixture.allocator.reconfigure(fixture.server, true, weights.mapKeys { TeamId(it.key) }, fixture.now)
    return fixture
}
