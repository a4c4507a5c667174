package org.lentilquay.coordination.suspects

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.lentilquay.state.ServerId
import kotlin.random.Random

/** Time between the crashes of the cases below, unless they give their own. */
private const val PAUSE = 700L

/** The time at which the cases are judged, within the platform's 3 s after a fifth crash. */
private const val JUDGED_AT = 4 * PAUSE + 2_100

/** One crash: the parts of each request that was lost, separated by spaces. */
private class Lost(val server: String, val at: Long, vararg val requests: String, val incarnation: Long = 1)

private class Answered(val at: Long, val parts: String)

private fun parts(text: String) = text.split(' ').toSet()

private fun crashes(vararg requests: String) =
    requests.mapIndexed { index, request -> Lost("e$index", index * PAUSE, *request.split(" | ").toTypedArray()) }

/**
 * Guards against a prompt part that crashes one server after another, and against the refusal of sound requests that
 * share other parts with it or ran on the same servers.
 */
class PromptPartTrackerTest : FunSpec({
    data class Case(
        val name: String,
        val lost: List<Lost>,
        val refused: List<String>,
        val free: List<String>,
        val answered: List<Answered> = emptyList(),
    )

    listOf(
        Case("no crash", emptyList(), emptyList(), listOf("s p")),
        Case("two crashes", crashes("s p", "s p"), emptyList(), listOf("s p")),
        Case("a part in three crashes", crashes("p", "p", "p"), listOf("p", "s p", "p q"), listOf("s", "q")),
        Case(
            "three crashes of one server process or of one server",
            listOf(1L, 1L, 2L, 3L, 4L).map { Lost("e1", 0, "p", incarnation = it) },
            emptyList(),
            listOf("p"),
        ),
        Case(
            "a common first part is not blocked, whether it was answered since or not",
            crashes("s p", "s p q", "s p", "s p", "s p"),
            listOf("s p", "s p r"),
            listOf("s", "s q", "s r"),
        ),
        Case(
            "a first part that was answered since does not narrow the quarantine",
            crashes("s p", "s p", "s p", "s p", "s p"),
            listOf("s p", "p", "t p"),
            listOf("s", "s q"),
            listOf(Answered(4 * PAUSE + 1, "s q")),
        ),
        Case(
            "the guilty part comes with different first parts",
            crashes("s p", "t p", "s p", "t p"),
            listOf("s p", "t p", "u p"),
            listOf("s", "t", "s q"),
        ),
        Case(
            "the guilty part is the first one",
            crashes("p a", "p b", "p c"),
            listOf("p a", "p d"),
            listOf("a", "b", "c d"),
        ),
        Case(
            "sound requests lost on the same servers, one of them again and again",
            crashes("s p | s a | t d", "s p q | t d", "s p | t d | s b", "s p | s c", "s p | s a"),
            listOf("s p"),
            listOf("s a", "t d", "s d", "s b", "s q"),
        ),
        Case(
            "two parts that always come together until one is answered alone",
            crashes("s p q", "s p q", "s p q"),
            listOf("s p q", "s p"),
            listOf("s q", "s"),
            listOf(Answered(2 * PAUSE + 1, "s q")),
        ),
        Case(
            "two guilty parts",
            List(6) { Lost("e$it", it * 300L, if (it % 2 == 0) "s p" else "s q") },
            listOf("s p", "s q"),
            listOf("s", "s r"),
            listOf(Answered(5 * PAUSE + 1, "s r")),
        ),
        Case(
            "engines that crash at once while popular parts are on each, which are answered elsewhere soon after",
            List(6) { Lost("e$it", 0, "s a$it", "s d", "t d", "t b$it", "u c") },
            emptyList(),
            listOf("s d", "t d", "u c", "s a1", "t b1"),
            listOf(Answered(1, "s d"), Answered(2, "t a9"), Answered(3, "u c")),
        ),
        Case(
            "a rare part on four engines that crash at once, which nobody has answered since",
            List(4) { Lost("e$it", 0, "s r", "s a", "t b") },
            emptyList(),
            listOf("s r", "s a", "t b", "t r"),
        ),
        Case(
            "a later crash of many engines does not release the guilty part",
            crashes("s p", "s p", "s p", "s p") +
                List(6) { Lost("x$it", 4 * PAUSE, "s p", "s d", "t d") },
            listOf("s p", "s p r"),
            listOf("s d", "t d", "s r"),
            listOf(Answered(4 * PAUSE + 1, "s d"), Answered(4 * PAUSE + 1, "t d")),
        ),
        Case(
            "an answer to an attempt that was sent before the crashes clears nothing",
            crashes("p", "p", "p"),
            listOf("p"),
            emptyList(),
            listOf(Answered(0, "p")),
        ),
    ).forEach { case ->
        test("${case.name}, in any order of the notices and with repeats") {
            repeat(5) { seed ->
                val tracker = PromptPartTracker()
                val events = (case.lost + case.lost + case.answered).shuffled(Random(seed))
                events.forEach { tracker.apply(it) }
                val judgedAt = JUDGED_AT + seed
                case.refused.forEach { tracker.quarantine(parts(it), judgedAt).shouldNotBeNull() }
                case.free.forEach { tracker.quarantine(parts(it), judgedAt).shouldBeNull() }
            }
        }
    }

    test("a part is quarantined 1.5 s after its third crash or 1 s after its fifth, for 10 min after the last") {
        val tracker = PromptPartTracker()
        crashes("p", "p", "p").forEach { tracker.apply(it) }
        tracker.quarantine(parts("p"), 2 * PAUSE + 1_499).shouldBeNull()
        tracker.quarantine(parts("p"), 2 * PAUSE + 1_550)?.remainingMillis(2 * PAUSE) shouldBe QUARANTINE_MILLIS
        tracker.quarantine(parts("p"), 2 * PAUSE + QUARANTINE_MILLIS).shouldBeNull()

        val quick = PromptPartTracker()
        List(5) { Lost("e$it", 0, "p") }.forEach { quick.apply(it) }
        quick.quarantine(parts("p"), 999).shouldBeNull()
        quick.quarantine(parts("p"), 1_050) shouldBe
            PartQuarantine(setOf("p"), 5, List(5) { ServerId("e$it") }.toSet(), 0, 0)
    }

    test("parts that tie in five crashes are quarantined 2 s after the fifth; a sixth crash of one frees the other") {
        val tracker = PromptPartTracker()
        crashes("p | r", "p | r", "p | r", "p | r", "p | r").forEach { tracker.apply(it) }
        tracker.quarantine(parts("r"), 4 * PAUSE + 1_900).shouldBeNull()
        tracker.quarantine(parts("r"), 4 * PAUSE + 2_000).shouldNotBeNull()
        tracker.quarantine(parts("p"), 4 * PAUSE + 2_000).shouldNotBeNull()
        tracker.apply(Lost("e5", 4 * PAUSE + 2_100, "p"))
        tracker.quarantine(parts("r"), 4 * PAUSE + 2_200).shouldBeNull()
        tracker.quarantine(parts("p"), 4 * PAUSE + 2_200).shouldNotBeNull()
    }

    test("a wrongly quarantined part becomes free when a request with it is answered") {
        val tracker = PromptPartTracker()
        crashes("r", "r", "r").forEach { tracker.apply(it) }
        tracker.quarantine(parts("r"), JUDGED_AT).shouldNotBeNull()
        tracker.answered(parts("s r"), sentAt = 2 * PAUSE + 1)
        tracker.quarantine(parts("r"), JUDGED_AT).shouldBeNull()
    }

    test("other VMs are told once that a suspect part is clear, and then drop their evidence as well") {
        val tracker = PromptPartTracker()
        val other = PromptPartTracker()
        tracker.apply(Answered(2 * PAUSE + 1, "s"))
        crashes("s p", "s p", "s p").forEach { tracker.apply(it) }
        crashes("s p", "s p", "s p").forEach { other.apply(it) }
        val news = tracker.takeUnannounced(JUDGED_AT)
        news shouldBe mapOf("s" to 2 * PAUSE + 1)
        tracker.takeUnannounced(JUDGED_AT).shouldBeEmpty()
        other.quarantine(parts("p"), JUDGED_AT).shouldBeNull()
        other.clearedElsewhere(news)
        other.quarantine(parts("p"), JUDGED_AT).shouldNotBeNull()
        other.takeUnannounced(JUDGED_AT).shouldBeEmpty()
    }

    test("no VM is told about a part that is clear after a single crash") {
        val tracker = PromptPartTracker()
        crashes("s p").forEach { tracker.apply(it) }
        tracker.apply(Answered(1, "s"))
        tracker.takeUnannounced(2).shouldBeEmpty()
    }

    test("an adopted quarantine lasts as long as that of its origin, however often it is adopted") {
        val tracker = PromptPartTracker()
        val origin = PartQuarantine(parts("p"), 4, emptySet(), latestCrashAt = 1_000, decisiveCrashAt = 500)
        repeat(100) { tracker.adopt(origin.copy(latestCrashAt = 1_000 + it * 20L), 2_000L + it) }
        tracker.quarantine(parts("s p"), 3_000)?.remainingMillis(1_000) shouldBe QUARANTINE_MILLIS
        tracker.quarantine(parts("s"), 3_000).shouldBeNull()
        tracker.quarantine(parts("p"), 1_000 + QUARANTINE_MILLIS).shouldBeNull()
    }

    test("a quarantine whose part was answered since is not adopted, and other VMs learn when it was") {
        val tracker = PromptPartTracker()
        val stale = PartQuarantine(parts("p"), 4, emptySet(), latestCrashAt = 1_000, decisiveCrashAt = 500)
        tracker.adopt(stale, 1_100)
        tracker.quarantine(parts("p"), 1_200).shouldNotBeNull()
        tracker.cleared.shouldBeEmpty()
        tracker.adopt(stale.copy(parts = parts("q r")), 1_100)
        tracker.quarantine(parts("q r"), 1_200).shouldNotBeNull()
        tracker.answered(parts("p"), sentAt = 501)
        repeat(2) {
            tracker.quarantine(parts("p"), 1_300).shouldBeNull()
            tracker.cleared shouldBe mapOf("p" to 501L)
            tracker.adopt(stale, 1_400)
        }
    }

    test("of very many crashes the latest are kept") {
        val tracker = PromptPartTracker()
        repeat(500) { tracker.apply(Lost("e$it", it.toLong(), "s a$it b$it", "t c$it")) }
        repeat(3) { tracker.apply(Lost("f$it", 500, "p")) }
        tracker.quarantine(parts("p"), 500 + 2_000)?.crashes shouldBe 3
    }
})

private fun PromptPartTracker.apply(event: Any) = when (event) {
    is Lost -> merge(ServerId(event.server), event.incarnation, event.at, event.requests.map { parts(it) })
    is Answered -> answered(parts(event.parts), event.at)
    else -> error("unknown event $event")
}
