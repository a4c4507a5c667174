/*
 * The record of a test session: normalized lines of the actions and results, compared with a golden file. Only facts
 * that are the same in every run belong in it. The record also collects the responses to callers, to compare refusals
 * with the records of the stand-ins.
 */
package org.lentilquay.proofs

import io.kotest.matchers.collections.shouldBeEmpty
import org.approvaltests.Approvals
import org.approvaltests.core.Options
import org.approvaltests.namer.NamerWrapper
import org.approvaltests.reporters.QuietReporter
import java.util.concurrent.ConcurrentLinkedQueue

private const val GOLDEN_DIRECTORY = "src/test/resources/golden/"

class SessionRecord(private val name: String) {
    private val lines = ArrayList<String>()
    private val inferenceResponses = ConcurrentLinkedQueue<Pair<CallerRequest, CallerResponse>>()
    private val serviceResponses = ConcurrentLinkedQueue<Pair<String, CallerResponse>>()

    /** Adds a line of counts and results; times, ports and ids would differ between runs. */
    fun note(line: String) {
        lines += line
    }

    /** Adds a line that says how often each value stands in [values]. */
    fun note(label: String, values: List<Any>) {
        val counts = values.groupingBy { it.toString() }.eachCount().toSortedMap()
        note("$label: " + counts.map { "${it.value} x ${it.key}" }.joinToString())
    }

    /** Collects the response to [request] for [checkRefusals]. */
    fun add(request: CallerRequest, response: CallerResponse): CallerResponse =
        response.also { inferenceResponses += request to it }

    /** Collects the response to the service call with [reference] for [checkRefusals]. */
    fun add(reference: String, response: CallerResponse): CallerResponse =
        response.also { serviceResponses += reference to it }

    /**
     * Fails if a request that was refused with `not_run` has a run in the records of the stand-ins. Prompts must be
     * unique, as runs are matched by them. A service call that was sent several times may have run if one of its
     * responses was no such refusal.
     */
    fun checkRefusals(fleet: Fleet) {
        val falseRefusals = inferenceResponses.filter { (request, response) ->
            response.run == "not_run" && fleet.runsFor(request).isNotEmpty()
        }
        falseRefusals.map { (request, response) -> "${request.prompt}: $response" }.shouldBeEmpty()
        serviceResponses.groupBy({ it.first }, { it.second })
            .filter { (reference, responses) -> responses.all { it.run == "not_run" } && fleet.runCount(reference) > 0 }
            .toList().shouldBeEmpty()
        note("refusals that say not_run and ran: 0")
    }

    /** Compares the lines with the golden file of this session. */
    fun verify() = Approvals.verify(
        lines.joinToString("\n", postfix = "\n"),
        Options(QuietReporter()).forFile().withNamer(NamerWrapper({ name }, { GOLDEN_DIRECTORY })),
    )
}

/** Runs [test] in a new fleet, checks all refusals, closes the fleet, and compares the record with its golden file. */
fun session(name: String, options: FleetOptions = FleetOptions(), test: SessionRecord.(Fleet) -> Unit) {
    val record = SessionRecord(name)
    Fleet(name, options).use { fleet ->
        record.test(fleet)
        record.checkRefusals(fleet)
    }
    record.verify()
}
