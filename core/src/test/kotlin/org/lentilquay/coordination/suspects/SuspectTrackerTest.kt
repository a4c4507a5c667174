package org.lentilquay.coordination.suspects

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.ServerId
import kotlin.random.Random

/** Guards against a request that crashes one server after another, and against the quarantine of other requests. */
class SuspectTrackerTest : FunSpec({
    val clear = SuspectVerdict.Clear

    data class Case(val name: String, val notices: List<PeerRequest.SuspectNotice>, val verdicts: Map<String, Any>)

    listOf(
        Case("no crash: no suspicion", emptyList(), mapOf("a" to clear)),
        Case("one crash: suspected", listOf(lost("e1", 1, "a")), mapOf("a" to SuspectVerdict.Suspect(1), "b" to clear)),
        Case("a crash counts once", List(2) { lost("e1", 1, "a") }, mapOf("a" to SuspectVerdict.Suspect(1))),
        Case(
            "two crashes of one request: it is quarantined",
            listOf(lost("e1", 1, "a"), lost("e2", 1, "a", "b")),
            mapOf("a" to SuspectVerdict.Quarantined(2, QUARANTINE_MILLIS), "b" to SuspectVerdict.Suspect(1)),
        ),
        Case(
            "crashes of a faulty server do not count",
            listOf(lost("e1", 1, "a"), lost("e1", 2, "b"), lost("e1", 3, "c"), lost("e2", 1, "a")),
            mapOf("a" to SuspectVerdict.Suspect(1), "b" to clear, "c" to clear),
        ),
        Case(
            "a server that one request crashes again is not faulty",
            listOf(lost("e1", 1, "a"), lost("e1", 2, "a"), lost("e1", 3, "b")),
            mapOf("a" to SuspectVerdict.Quarantined(2, QUARANTINE_MILLIS), "b" to SuspectVerdict.Suspect(1)),
        ),
    ).forEach { case ->
        test("${case.name}, in any order of the notices and with repeats") {
            repeat(5) { seed ->
                val suspects = SuspectTracker()
                (case.notices + case.notices).shuffled(Random(seed)).forEach { suspects.merge(it, 1_000) }
                case.verdicts.forEach { (fingerprint, verdict) ->
                    suspects.verdict(fingerprint, 1_000) shouldBe verdict
                }
            }
        }
    }

    test("a crash counts, and a quarantine lasts, for 10 minutes") {
        val suspects = SuspectTracker()
        suspects.merge(lost("e1", 1, "a"), 0) shouldBe true
        suspects.merge(lost("e2", 1, "a"), 1_000) shouldBe true
        suspects.merge(lost("e2", 1, "a"), 5_000) shouldBe false
        suspects.verdict("a", QUARANTINE_MILLIS - 1) shouldBe SuspectVerdict.Quarantined(2, 1_001)
        suspects.verdict("a", QUARANTINE_MILLIS) shouldBe SuspectVerdict.Suspect(1)
        suspects.verdict("a", QUARANTINE_MILLIS + 1_000) shouldBe clear
        suspects.merge(lost("e3", 1, "a"), 900_000, ageMillis = QUARANTINE_MILLIS) shouldBe false
    }

    test("at most 10,000 fingerprints are kept, those of the latest crashes") {
        val suspects = SuspectTracker()
        repeat(5_000) { suspects.merge(lost("e$it", 1, "x$it", "y$it", "z$it"), 0) }
        suspects.size shouldBeLessThanOrEqual 10_000
        suspects.verdict("x4999", 0) shouldBe SuspectVerdict.Suspect(1)
    }
})

private fun lost(server: String, incarnation: Long, vararg fingerprints: String) =
    PeerRequest.SuspectNotice(ServerId(server), incarnation, fingerprints.toList())
