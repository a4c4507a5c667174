package org.lentilquay.bench

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.maps.shouldContainExactly
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import org.HdrHistogram.Histogram
import org.lentilquay.daemon.settings.PlacementOrder

private val nothing = Counters(emptyMap(), emptyMap(), emptyMap())

private fun result(number: Int, atSeconds: Double, error: String? = null, team: Int = 0, firstMillis: Double = 100.0) =
    RequestResult(
        TraceRequest(number, (atSeconds * 1_000).toLong(), adapter = 1, team, false, 10, 30, 0),
        firstMillis.takeIf { error == null },
        error,
        tokens = 10,
    )

private fun record(results: List<RequestResult>, events: List<Event>, samples: List<Sample>) = RunRecord(
    trace = results.map { it.request },
    results = results,
    gaps = Histogram(3),
    warmUp = emptyList(),
    beforeWarmUp = nothing,
    before = nothing,
    after = nothing,
    samples = samples,
    events = events,
    seconds = 30.0,
    leavingEngines = listOf(1),
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
    val events = listOf(Event("domain lost", 10.0), Event("domain started again", 20.0))
    val samples = listOf(0.0 to 0L, 9.0 to 3L, 11.0 to 4L, 13.0 to 4L, 15.0 to 6L, 21.0 to 6L, 24.0 to 7L)
        .map { (seconds, accepted) -> Sample(seconds, listOf(1, 0), listOf(100, accepted)) }

    // Guards against failures while a domain is away that are counted to another phase or not at all.
    test("requests belong to the phase in which they were planned") {
        val phases = phases(record(results, events, samples), inside = setOf(0, 1, 2, 4, 5))
        phases.map { it.name } shouldBe listOf("from the start", "domain lost", "domain started again")
        phases.map { it.answered to it.requests } shouldBe listOf(1 to 1, 1 to 4, 1 to 1)
        phases.map { it.refusedInsideRate } shouldBe listOf(0, 1, 0)
        phases.map { it.broken } shouldBe listOf(0, 1, 0)
        phases.map { it.lastFailureSeconds } shouldBe listOf(null, 4.0, null)
    }

    // Guards against work that a domain got after it left and that the report does not show.
    test("work of engines whose domain left") {
        val domain = domainFigures(record(results, events, samples))
        domain?.engines shouldBe listOf("engine-2")
        domain?.lastNewWorkSeconds shouldBe 5.0
        domain?.acceptedAfterBound shouldBe 2
        domain?.firstWorkAfterReturnSeconds shouldBe 4.0
    }

    // Guards against a refusal of a team over its rate that counts as wrongful, and one inside that does not.
    test("the report tells refusals inside the rate by code") {
        val scenario = Scenario.EMBERLINE_DOMAIN_LOST
        val setting = RunSetting(scenario, scenario.workload(rate = null), 30, 1, PlacementOrder.HOME_FIRST, "", 0.0)
        val report = reportOf(setting, record(results, events, samples))
        report.refusedInsideRate shouldContainExactly mapOf("overloaded" to 1, "rate_limited" to 1)
        report.brokenInsideRate shouldContainExactly mapOf("connection_EOFException" to 1)
        report.worstTeamToMedian shouldBe 1.0
        report.leastAnsweredShareOfTeam shouldBe 0.4
    }

    // Guards against refusals of a loud team that count as wrongful because its bucket admitted others of its requests.
    test("a team over its rate is left out of the refusals inside the rate") {
        val scenario = Scenario.NOUR_LOUD_TEAM
        val setting = RunSetting(scenario, scenario.workload(rate = null), 30, 1, PlacementOrder.HOME_FIRST, "", 0.0)
        val loud = List(400) { result(it, 1.0, "rate_limited") }
        val others = listOf(result(400, 1.0, team = 1), result(401, 1.0, "overloaded", team = 1))
        val report = reportOf(setting, record(loud + others, emptyList(), samples))
        report.teams.map { it.isOverRate } shouldBe listOf(true, false)
        report.insideRate shouldBe 2
        report.refusedInsideRate shouldContainExactly mapOf("overloaded" to 1)
        report.leastAnsweredShareOfTeam shouldBe 0.5
    }

    // Guards against waits that are reported shorter than they were.
    test("the bound of the least bucket that holds a part of the values") {
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
