package org.lentilquay.proofs

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Long enough that streams outlast the lease, its margin and the waiting time of a new owner. */
private const val STREAM_TOKENS = 800

/** The platform takes this long to drop a VM from its list; the streams are still open then. */
private const val LIST_MILLIS = 5_000L
private val engine = quickEngine.copy(slots = 2, tokenMillis = 20.0, logBodies = false)
private val options = FleetOptions(
    vms = 4,
    engines = listOf(
        engine.copy(baseModel = "checking"),
        engine.copy(baseModel = "ignoring", checksFencing = false),
    ),
    adapters = listOf("checking", "ignoring")
        .flatMap { base -> listOf("one", "two", "three", "four").map { "$base-$it" to base } }.toMap(),
)
private val bases = listOf("checking", "ignoring")

/** Guards against an owner, former owner or successor that unloads an adapter while a request runs on it. */
class AdapterInUseTest : FunSpec({
    fun SessionRecord.prove(fleet: Fleet, disturb: (Set<Vm>) -> Unit) {
        val owners = listOf("engine-1", "engine-2").map { fleet.awaitOwner(it) }.toSet()
        val fronts = fleet.vms - owners
        val streams = bases.flatMap { base -> listOf("$base-one", "$base-two") }.mapIndexed { index, route ->
            fleet.caller.begin(fronts[index % fronts.size], Ask(route, "long answer $route", tokens = STREAM_TOKENS))
        }
        await("all streams run", TAKEOVER_MILLIS) { streams.all { it.parts.get() > 0 || it.answer.isDone } }
        var wanted = 0
        val others = bases.flatMap { listOf("$it-three", "$it-four") }
        fun want() = others.map { Ask(it, "short ${wanted++}", tokens = 2) }
            .map { ask -> fleet.caller.begin(fronts[wanted % fronts.size], ask) }
        val early = want()
        disturb(owners)
        val late = ArrayList<Pending>()
        while (streams.any { !it.answer.isDone }) {
            late += want()
            Thread.sleep(500)
        }
        (early + late).forEach { add(it.ask, it.await()) }
        val whole = streams.count { it.await().isRightFor(it.ask) }
        withClue(streams.map { it.await().copy(text = "${it.parts.get()} parts") }) { whole shouldBe streams.size }
        note("whole streams: $whole of ${streams.size}")
        fleet.counted("evictions_in_use") shouldBe 0
        note("evictions in use: 0")
        others.forEach { route ->
            await("$route is loaded once the streams are over", TAKEOVER_MILLIS) {
                val ask = Ask(route, "after ${wanted++}", tokens = 2)
                val answer = add(ask, fleet.caller.ask(fronts[0], ask))
                lastFault = IllegalStateException("$answer ${answer.text}")
                answer.isRightFor(ask)
            }
        }
        note("other adapters are served afterwards: ${others.size}")
    }

    test("the owners are killed while streams are open") {
        session("owners-killed", options) { fleet ->
            prove(fleet) { owners ->
                owners.forEach(Vm::kill)
                Thread.sleep(LIST_MILLIS)
                // Only a VM that has left the list is known to send no more orders to a server that ignores fencing.
                owners.forEach { fleet.platform.deregister(it.name) }
            }
        }
    }

    test("the owners are stopped for longer than their lease and continued") {
        session("owners-paused", options) { fleet ->
            prove(fleet) { owners ->
                owners.forEach(Vm::pause)
                Thread.sleep(options.pauseMillis)
                owners.forEach(Vm::resume)
            }
        }
    }
})

/** The lease of 3 s, its margin of 1 s, and time for a successor to take the server. */
private val FleetOptions.pauseMillis: Long get() = 3_000L + 1_000L + vms * 500L
