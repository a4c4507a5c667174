package org.lentilquay.coordination.idempotency

import kotlinx.serialization.json.Json
import org.lentilquay.coordination.SimulatedTable
import org.lentilquay.state.Incarnation
import org.lentilquay.state.Outcome
import org.lentilquay.state.RouteId
import org.lentilquay.state.RunState
import org.lentilquay.state.StoredAnswer
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId
import kotlin.random.Random

val simulatedKey: CallKey =
    (callKeyOf(TeamId("stoves"), RouteId("deposits"), "k-1") as Outcome.Success).value
val simulatedAnswer = StoredAnswer(201, "application/json", "e30=")

/** Attempts at one call on several VMs, in random interleavings of their steps. */
class CallSimulation(private val random: Random) {
    private class Attempt(val vm: Int, var next: IdempotencyDecision, var dispatched: Boolean = false)

    private val table = SimulatedTable(random).apply { faultPercent = random.nextInt(0, 30) }
    private val vms = random.nextInt(2, 4)
    private var nonces = 0
    private val incarnations = LongArray(vms) { 1 }
    private val deciders = Array(vms) { decider(it) }
    private val attempts = ArrayList<Attempt>()
    private val serviceRefuses = random.nextInt(3) == 0
    var runs = 0
    var falseNotRun = 0

    private fun decider(vm: Int) = IdempotencyDecider(VmId("vm-$vm"), Incarnation(incarnations[vm])) { "n${nonces++}" }

    fun step() {
        when (random.nextInt(40)) {
            0 -> table.isDown = random.nextInt(3) == 0
            1 -> table.deliverLate()
            2 -> if (random.nextInt(4) == 0) crash(random.nextInt(vms))
            3, 4 -> clean(random.nextInt(vms))
            5, 6 -> if (attempts.size < 8) {
                attempts.add(Attempt(random.nextInt(vms), IdempotencyDecision.ReadAgain(0)))
            }
            else -> attempts.randomOrNull(random)?.let { advance(it) }
        }
    }

    private fun crash(vm: Int) {
        incarnations[vm]++
        deciders[vm] = decider(vm)
        attempts.removeAll { it.vm == vm }
    }

    private fun read(): RecordLookup {
        if (table.isDown) return RecordLookup.Unavailable
        val item = table.read(simulatedKey.tableKey) ?: return RecordLookup.Absent
        return RecordLookup.Found(Json.decodeFromString(item.value), item.version)
    }

    private fun clean(vm: Int) {
        val decider = deciders[vm]
        for ((nonce, write) in decider.pendingCompletions()) decider.completionWritten(nonce, table.transact(write))
        for (nonce in decider.pendingCleanups().keys) {
            val step = decider.cleanup(nonce, read(), 0)
            if (step is CleanupStep.Write) table.transact(step.operations)
        }
    }

    private fun advance(attempt: Attempt) {
        val decider = deciders[attempt.vm]
        val waited = random.nextLong(0, 11_000)
        when (val decision = attempt.next) {
            is IdempotencyDecision.Write ->
                attempt.next = decider.written(decision.nonce, table.transact(decision.operations))
            is IdempotencyDecision.ReadBack -> attempt.next = decider.readBack(decision.nonce, read(), waited)
            is IdempotencyDecision.ReadAgain -> attempt.next = decider.begin(simulatedKey, "f", read(), waited)
            is IdempotencyDecision.AskVm -> {
                val peer = deciders[decision.vm.text.removePrefix("vm-").toInt()]
                val state = if (random.nextInt(10) == 0) null else peer.status(decision.nonce)
                attempt.next = decider.peerAnswered(simulatedKey, "f", decision.found, state, waited)
            }
            is IdempotencyDecision.Dispatch -> dispatch(attempt, decider, decision.nonce)
            is IdempotencyDecision.Replay -> attempts.remove(attempt)
            is IdempotencyDecision.Refuse -> {
                if (attempt.dispatched && decision.failure.kind.run == RunState.NOT_RUN) falseNotRun++
                attempts.remove(attempt)
            }
        }
    }

    private fun dispatch(attempt: Attempt, decider: IdempotencyDecider, nonce: String) {
        if (serviceRefuses && random.nextBoolean()) {
            decider.refusedByService(nonce, 0)
            attempts.remove(attempt)
            return
        }
        attempt.dispatched = true
        runs++
        if (random.nextBoolean()) {
            attempt.next = decider.connectionLost(nonce)
        } else {
            decider.finished(nonce, simulatedAnswer, 0)
            attempts.remove(attempt)
        }
    }
}
