package org.lentilquay.coordination.idempotency

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.lentilquay.coordination.WriteResult
import org.lentilquay.protocol.RecordedCallState
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.IdempotencyRecord
import org.lentilquay.state.IdempotencyState
import org.lentilquay.state.Incarnation
import org.lentilquay.state.Outcome
import org.lentilquay.state.RouteId
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId
import kotlin.random.Random

private val key = simulatedKey
private val own = VmId("vm-a")
private val answer = simulatedAnswer

private fun found(state: IdempotencyState, vm: String): RecordLookup.Found {
    val stored = answer.takeIf { state == IdempotencyState.FINISHED }
    return RecordLookup.Found(IdempotencyRecord(state, "f", VmId(vm), Incarnation(1), "n", stored), 1)
}

class IdempotencyDeciderTest : FunSpec({
    // Guards against a key with separators that reaches the record of another team, and against unusable keys.
    listOf(
        Triple("a/b", "k", "idempotency/a%2Fb/deposits/k"),
        Triple("a", "b/k%", "idempotency/a/deposits/b%2Fk%25"),
        Triple("é", "k", "idempotency/%C3%A9/deposits/k"),
    ).forEach { (team, text, expected) ->
        test("the table key of team $team and key $text is percent-encoded") {
            val outcome = callKeyOf(TeamId(team), RouteId("deposits"), text)
            (outcome as Outcome.Success).value.tableKey shouldBe expected
        }
    }
    mapOf(
        null to ErrorKind.IDEMPOTENCY_KEY_REQUIRED,
        "" to ErrorKind.IDEMPOTENCY_KEY_REQUIRED,
        "a b" to ErrorKind.MALFORMED_REQUEST,
        "k".repeat(256) to ErrorKind.MALFORMED_REQUEST,
    ).forEach { (text, kind) ->
        test("an idempotency key that starts with ${text?.take(5)} is refused") {
            (callKeyOf(TeamId("a"), RouteId("b"), text) as Outcome.Failed).failure.kind shouldBe kind
        }
    }

    // Guards against a wrong first step for a state of the record.
    fun refusal(decision: IdempotencyDecision) = (decision as IdempotencyDecision.Refuse).failure.kind
    val decider = IdempotencyDecider(own, Incarnation(2)) { "new" }
    test("the first step of an attempt follows from the state, the body and the writer of the record") {
        val finished = found(IdempotencyState.FINISHED, "vm-b")
        val started = found(IdempotencyState.STARTED, "vm-b")
        decider.begin(key, "f", finished, 0) shouldBe IdempotencyDecision.Replay(answer)
        refusal(decider.begin(key, "other", finished, 0)) shouldBe ErrorKind.IDEMPOTENCY_KEY_REUSED
        refusal(decider.begin(key, "other", started, 0)) shouldBe ErrorKind.IDEMPOTENCY_KEY_REUSED
        decider.begin(key, "f", started, 0) shouldBe IdempotencyDecision.AskVm(VmId("vm-b"), "n", started)
        refusal(decider.begin(key, "f", started, 10_000)) shouldBe ErrorKind.OUTCOME_UNKNOWN
        refusal(decider.begin(key, "f", RecordLookup.Unavailable, 0)) shouldBe ErrorKind.PLATFORM_UNAVAILABLE
        // The record is of an earlier process of this VM, so the outcome of its call is unknown.
        refusal(decider.begin(key, "f", found(IdempotencyState.STARTED, "vm-a"), 0)) shouldBe ErrorKind.OUTCOME_UNKNOWN
        decider.begin(key, "g", found(IdempotencyState.ABANDONED, "vm-b"), 0)
            .shouldBeInstanceOf<IdempotencyDecision.Write>()
    }

    // Guards against a run after another VM was answered that there is none, and against dropped attempts reported as
    // not run.
    test("an abandoned attempt never dispatches, and its state is UNKNOWN once it is dropped") {
        var number = 0
        val bounded = IdempotencyDecider(own, Incarnation(2), maximumEnded = 2) { "n${number++}" }
        repeat(3) {
            val write = bounded.begin(key, "f", RecordLookup.Absent, 0) as IdempotencyDecision.Write
            bounded.status(write.nonce) shouldBe RecordedCallState.RUNNING
            bounded.cancelled(write.nonce)
            bounded.status(write.nonce) shouldBe RecordedCallState.NEVER_DISPATCHED
            refusal(bounded.written(write.nonce, WriteResult.COMMITTED)) shouldBe ErrorKind.PLATFORM_UNAVAILABLE
        }
        bounded.status("n0") shouldBe RecordedCallState.UNKNOWN
    }

    // Guards against the deletion of a record whose call may have run.
    test("records expire a day after their call has ended, and started records never") {
        fun ended(state: IdempotencyState) =
            found(state, "vm-a").let { it.copy(record = it.record.copy(endedAtEpochMillis = 1_000)) }
        expiryOperations(key, ended(IdempotencyState.FINISHED), 1_000 + RECORD_EXPIRY_MILLIS).shouldNotBeNull()
        expiryOperations(key, ended(IdempotencyState.FINISHED), 999 + RECORD_EXPIRY_MILLIS).shouldBeNull()
        expiryOperations(key, ended(IdempotencyState.STARTED), 1_000 + RECORD_EXPIRY_MILLIS).shouldBeNull()
        expiryOperations(key, found(IdempotencyState.STARTED, "vm-a"), Long.MAX_VALUE).shouldBeNull()
    }

    // Guards against two runs of one call, and against "not run" for an attempt that was dispatched.
    test("a call runs at most once under random interleavings of attempts, crashes, outages and lost answers") {
        var runs = 0
        for (seed in 1..20_000) {
            val simulation = CallSimulation(Random(seed))
            repeat(300) { simulation.step() }
            withClue("seed $seed") {
                simulation.runs shouldBeLessThanOrEqualTo 1
                simulation.falseNotRun shouldBe 0
            }
            runs += simulation.runs
        }
        // A decider that refuses every call would pass without this.
        runs shouldBeGreaterThan 10_000
    }
})
