package org.lentilquay.proofs

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import org.lentilquay.standins.EngineControl
import org.lentilquay.standins.PlatformOptions

private const val ADAPTERS = 12

/** Limits of the weight store in the settings of the VMs: load starts per second, and loads at the same time. */
private const val LOADS_PER_SECOND = 5L
private const val PARALLEL = 2L

/** Network margin: permits keep the rate by the clock of their issuer, and reach the weight store after a delay. */
private const val MARGIN_SECONDS = 1L

/** Maximum backoff after a failed load. */
private const val MAXIMUM_BACKOFF_MILLIS = 30_000L

private val options = FleetOptions(
    engines = List(2) { fastEngine.copy(slots = 2 * ADAPTERS) },
    adapters = (1..ADAPTERS).associate { "route-$it" to "base" },
    maximumWaitMillis = 10_000,
    // The stand-in has no rate limit, which would hide excess loads; two parallel fetches alone would exceed the rate.
    platform = PlatformOptions(weightLoadsPerSecond = 0.0, weightFetchMillis = 150),
)

/**
 * Guards against loads beyond the limits of the weight store when many requests need new adapters at once, and against
 * failing loads that hold up requests for loaded adapters.
 */
class LoadLimitTest : FunSpec({
    var promptNumber = 0

    /** Sends a request for each adapter to every VM at the same time. */
    fun Fleet.requestAll(version: Int): List<PendingRequest> = (1..ADAPTERS).flatMap { route ->
        vms.map { vm ->
            val request =
                CallerRequest("route-$route@$version", "want ${promptNumber++}", "route-$route-adapter@$version")
            caller.start(vm, request)
        }
    }

    fun SessionRecord.incorrect(pending: List<PendingRequest>): List<String> =
        pending.filterNot { add(it.request, it.await()).isCorrectFor(it.request) }
            .map { it.await().run { "$this $text" } }

    test("loads stay within the limits of the weight store, and failing loads do not hold up loaded adapters") {
        session("load-limits", options) { fleet ->
            fleet.awaitServing("route-1")
            incorrect(fleet.requestAll(1)).shouldBeEmpty()
            fleet.engines[1].control(EngineControl(restart = true))
            incorrect(fleet.requestAll(1)).shouldBeEmpty()
            note("$ADAPTERS adapters wanted at once, and again after an engine restarted empty: all answered")
            fleet.engines.forEach { it.control(EngineControl(failLoads = 1_000)) }
            val failing = fleet.requestAll(2)
            incorrect(fleet.requestAll(1)).shouldBeEmpty()
            note("all loads fail, loaded adapters: all answered")
            failing.map { it.await() }.filter { it.code != "load_failed" }
                .forEach { println("unexpected response: $it ${it.text}") }
            note("all loads fail, other adapters", failing.map { add(it.request, it.await()) })
            fleet.engines[1].control(EngineControl(failLoads = 0))
            await("the loads succeed on one engine", MAXIMUM_BACKOFF_MILLIS) {
                incorrect(fleet.requestAll(2)).isEmpty()
            }
            note("loads fail on one engine: all answered after the back-off")
            val counters = fleet.platform.counters()
            withClue(counters) {
                counters.getValue("weight_fetches_at_once") shouldBeLessThanOrEqualTo PARALLEL
                counters.getValue("weight_fetches_in_5_s") shouldBeLessThanOrEqualTo
                    LOADS_PER_SECOND * (5 + MARGIN_SECONDS)
            }
            note(
                "weight store: at most $LOADS_PER_SECOND starts a second over 5 s and the margin, $PARALLEL at once",
            )
        }
    }

    test("a load that fails on one engine is retried on another, also for queued requests") {
        session("load-elsewhere", options) { fleet ->
            fleet.awaitServing("route-1")
            fleet.engines[0].control(EngineControl(failLoads = 1_000))
            incorrect(fleet.requestAll(1)).shouldBeEmpty()
            note("loads fail on one engine: all requests for $ADAPTERS adapters answered")
        }
    }
})
