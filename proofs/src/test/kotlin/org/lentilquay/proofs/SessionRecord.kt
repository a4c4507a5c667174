/*
 * The record of a session: normalised lines of what was done and what was seen, approved as a golden file. Only facts
 * that are the same in every run belong in it. The record also collects every answer, to compare refusals with the
 * records of the stand-ins.
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
    private val asked = ConcurrentLinkedQueue<Pair<Ask, Answer>>()
    private val called = ConcurrentLinkedQueue<Pair<String, Answer>>()

    /** Adds a line; counts and verdicts, no times, ports or ids. */
    fun note(line: String) {
        lines += line
    }

    /** Adds how often each normalised answer or count came. */
    fun note(what: String, seen: List<Any>) {
        val counts = seen.groupingBy { it.toString() }.eachCount().toSortedMap()
        note("$what: " + counts.map { "${it.value} x ${it.key}" }.joinToString())
    }

    fun add(ask: Ask, answer: Answer): Answer = answer.also { asked += ask to it }

    fun add(reference: String, answer: Answer): Answer = answer.also { called += reference to it }

    /**
     * Compares every refusal that says `not_run` with the records of the stand-ins. Prompts must be unique. A call that
     * was sent again and then not refused may have run.
     */
    fun checkRefusals(fleet: Fleet) {
        val falseRefusals = asked.filter { (ask, answer) -> answer.run == "not_run" && fleet.runsOf(ask).isNotEmpty() }
        falseRefusals.map { (ask, answer) -> "${ask.prompt}: $answer" }.shouldBeEmpty()
        called.groupBy({ it.first }, { it.second })
            .filter { (reference, answers) -> answers.all { it.run == "not_run" } && fleet.timesRun(reference) > 0 }
            .toList().shouldBeEmpty()
        note("refusals that say not_run and ran: 0")
    }

    fun verify() = Approvals.verify(
        lines.joinToString("\n", postfix = "\n"),
        Options(QuietReporter()).forFile().withNamer(NamerWrapper({ name }, { GOLDEN_DIRECTORY })),
    )
}

/** Runs [test] in a fleet of its own and closes the fleet whatever happens. */
fun session(name: String, options: FleetOptions = FleetOptions(), test: SessionRecord.(Fleet) -> Unit) {
    val record = SessionRecord(name)
    Fleet(name, options).use { fleet ->
        record.test(fleet)
        record.checkRefusals(fleet)
    }
    record.verify()
}
