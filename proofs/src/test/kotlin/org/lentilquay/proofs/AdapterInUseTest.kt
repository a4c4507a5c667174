package org.lentilquay.proofs

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Makes streams last longer than the lease, its margin and the wait of a new owner together. */
private const val STREAM_TOKENS = 800

/** Time until the platform removes a lost VM from its VM list; the streams are still open by then. */
private const val LIST_REMOVAL_MILLIS = 5_000L
private val engine = fastEngine.copy(slots = 2, tokenMillis = 20.0, logBodies = false)
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

/**
 * Guards against an owner, a former owner or a new owner that unloads an adapter while a request uses it, to free its
 * adapter slot for another. Streams keep all slots in use while requests for other adapters come in.
 */
class AdapterInUseTest : FunSpec({
    fun SessionRecord.checkAdaptersInUse(fleet: Fleet, disturb: (Set<Vm>) -> Unit) {
        val owners = listOf("engine-1", "engine-2").map { fleet.awaitOwner(it) }.toSet()
        val nonOwners = fleet.vms - owners
        val streams = bases.flatMap { base -> listOf("$base-one", "$base-two") }.mapIndexed { index, route ->
            fleet.caller.start(
                nonOwners[index % nonOwners.size],
                CallerRequest(route, "long answer $route", tokens = STREAM_TOKENS),
            )
        }
        await("all streams run", TAKEOVER_TIMEOUT_MILLIS) { streams.all { it.chunks.get() > 0 || it.response.isDone } }
        var requestCount = 0
        val others = bases.flatMap { listOf("$it-three", "$it-four") }
        fun requestOtherAdapters() = others.map { CallerRequest(it, "short ${requestCount++}", tokens = 2) }
            .map { request -> fleet.caller.start(nonOwners[requestCount % nonOwners.size], request) }
        val early = requestOtherAdapters()
        disturb(owners)
        val late = ArrayList<PendingRequest>()
        while (streams.any { !it.response.isDone }) {
            late += requestOtherAdapters()
            Thread.sleep(500)
        }
        (early + late).forEach { add(it.request, it.await()) }
        val whole = streams.count { it.await().isCorrectFor(it.request) }
        withClue(streams.map { it.await().copy(text = "${it.chunks.get()} chunks") }) { whole shouldBe streams.size }
        note("whole streams: $whole of ${streams.size}")
        fleet.counterTotal("evictions_in_use") shouldBe 0
        note("evictions in use: 0")
        others.forEach { route ->
            await("$route is loaded once the streams are over", TAKEOVER_TIMEOUT_MILLIS) {
                val request = CallerRequest(route, "after ${requestCount++}", tokens = 2)
                val answer = add(request, fleet.caller.send(nonOwners[0], request))
                lastFailure = IllegalStateException("$answer ${answer.text}")
                answer.isCorrectFor(request)
            }
        }
        note("other adapters are served afterwards: ${others.size}")
    }

    test("no adapter in use is unloaded when the owners are killed while streams are open") {
        session("owners-killed", options) { fleet ->
            checkAdaptersInUse(fleet) { owners ->
                owners.forEach(Vm::kill)
                Thread.sleep(LIST_REMOVAL_MILLIS)
                // Only a VM that has left the VM list is known to send no more orders to an engine without fencing.
                owners.forEach { fleet.platform.deregister(it.name) }
            }
        }
    }

    test("no adapter in use is unloaded when the owners are paused for longer than their lease") {
        session("owners-paused", options) { fleet ->
            checkAdaptersInUse(fleet) { owners ->
                owners.forEach(Vm::pause)
                Thread.sleep(options.pauseMillis)
                owners.forEach(Vm::resume)
            }
        }
    }
})

/** The lease of 3 s, its margin of 1 s, and time for a new owner to take the server over. */
private val FleetOptions.pauseMillis: Long get() = 3_000L + 1_000L + vms * 500L
