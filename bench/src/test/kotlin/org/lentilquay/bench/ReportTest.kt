package org.lentilquay.bench

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.maps.shouldContainExactly
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import org.HdrHistogram.Histogram
import org.lentilquay.daemon.settings.PlacementOrder

private val noCounters = FleetCounters(emptyMap(), emptyMap(), emptyMap())

private fun result(number: Int, atSeconds: Double, error: String? = null, team: Int = 0, firstMillis: Double = 100.0) =
    RequestResult(
        TraceRequest(number, (atSeconds * 1_000).toLong(), adapter = 1, team, false, 10, 30, 0),
        firstMillis.takeIf { error == null },
        error,
        tokens = 10,
    )

private fun record(results: List<RequestResult>, events: List<RunEvent>, samples: List<EngineSample>) = RunRecord(
    trace = results.map { it.request },
    results = results,
    tokenGaps = Histogram(3),
    warmUp = emptyList(),
    beforeWarmUp = noCounters,
    before = noCounters,
    after = noCounters,
    samples = samples,
    events = events,
    seconds = 30.0,
    affectedEngines = listOf(1),
)

class ReportTest : FunSpec({
    val results = listOf(
        result(0, 1.0),
        result(1, 11.0, "connection_EOFException"),
        result(2, 14.0, "overloaded"),
        result(3, 15.0, "rate_limited"),
        result(4, 16.0, team = 1, firstMillis = 400.0),
        result(5, 25.0),
    )
    val events = listOf(RunEvent("domain lost", 10.0), RunEvent("domain started again", 20.0))
    val samples = listOf(0.0 to 0L, 9.0 to 3L, 11.0 to 4L, 13.0 to 4L, 15.0 to 6L, 21.0 to 6L, 24.0 to 7L)
        .map { (seconds, accepted) -> EngineSample(seconds, listOf(1, 0), listOf(100, accepted)) }

    // Guards against failures during the loss of a domain that are counted in another phase or not at all.
    test("phases count requests by their planned time") {
        val phases = phaseStatistics(record(results, events, samples), withinRate = setOf(0, 1, 2, 4, 5))
        phases.map { it.name } shouldBe listOf("from the start", "domain lost", "domain started again")
        phases.map { it.answered to it.requests } shouldBe listOf(1 to 1, 1 to 4, 1 to 1)
        phases.map { it.refusedInsideRate } shouldBe listOf(0, 1, 0)
        phases.map { it.broken } shouldBe listOf(0, 1, 0)
        phases.map { it.lastFailureSeconds } shouldBe listOf(null, 4.0, null)
    }

    // Guards against a report that hides work which a lost domain still accepted.
    test("the report shows the work that engines of a lost domain accepted") {
        val domain = domainStatistics(record(results, events, samples))
        domain?.engines shouldBe listOf("engine-2")
        domain?.lastNewWorkSeconds shouldBe 5.0
        domain?.acceptedAfterBound shouldBe 2
        domain?.firstWorkAfterReturnSeconds shouldBe 4.0
    }

    // Guards against counting refusals over the team's rate as failures, and against missing those within it.
    test("refusals and broken requests within the rate are counted by error code") {
        val scenario = Scenario.EMBERLINE_DOMAIN_LOST
        val parameters =
            RunParameters(scenario, scenario.workload(rate = null), 30, 1, PlacementOrder.HOME_FIRST, "", 0.0)
        val report = buildReport(parameters, record(results, events, samples))
        report.refusedInsideRate shouldContainExactly mapOf("overloaded" to 1, "rate_limited" to 1)
        report.brokenInsideRate shouldContainExactly mapOf("connection_EOFException" to 1)
        report.worstTeamToMedian shouldBe 1.0
        report.leastAnsweredShareOfTeam shouldBe 0.4
    }

    // Guards against counting refusals of a team over its rate as failures: the token bucket of the fleet admits other
    // requests of that team than the bucket of the report.
    test("a team over its rate is excluded from the refusals within the rate") {
        val scenario = Scenario.NOUR_LOUD_TEAM
        val parameters =
            RunParameters(scenario, scenario.workload(rate = null), 30, 1, PlacementOrder.HOME_FIRST, "", 0.0)
        val overRate = List(400) { result(it, 1.0, "rate_limited") }
        val others = listOf(result(400, 1.0, team = 1), result(401, 1.0, "overloaded", team = 1))
        val report = buildReport(parameters, record(overRate + others, emptyList(), samples))
        report.teams.map { it.isOverRate } shouldBe listOf(true, false)
        report.insideRate shouldBe 2
        report.refusedInsideRate shouldContainExactly mapOf("overloaded" to 1)
        report.leastAnsweredShareOfTeam shouldBe 0.5
    }

    // Guards against waits that are reported too short.
    test("a histogram quantile is the bound of the first bucket that contains it, or null") {
        val metrics = mapOf(
            "wait_count" to 10.0,
            "wait_bucket{le=\"0.1\"}" to 4.0,
            "wait_bucket{le=\"0.5\"}" to 9.0,
            "wait_bucket{le=\"1.5\"}" to 9.0,
            "wait_bucket{le=\"+Inf\"}" to 10.0,
        )
        bucketBound(metrics, "wait", 0.4) shouldBe 100.0
        bucketBound(metrics, "wait", 0.5) shouldBe 500.0
        bucketBound(metrics, "wait", 0.95).shouldBeNull()
        bucketBound(emptyMap(), "wait", 0.5).shouldBeNull()
    }
})
