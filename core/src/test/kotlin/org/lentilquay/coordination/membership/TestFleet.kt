package org.lentilquay.coordination.membership

import org.lentilquay.protocol.MemberState
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.DomainId
import org.lentilquay.state.Incarnation
import org.lentilquay.state.VmId
import java.util.PriorityQueue
import kotlin.random.Random

/** Membership instances on one simulated network with latency, loss, pauses, kills and partitions. */
class TestFleet(size: Int, private val seed: Int, private val loss: Double = 0.0) {
    private class Event(val at: Long, val order: Long, val action: () -> Unit)

    inner class Vm(val id: String, val incarnation: Long, seeds: List<String>) {
        val identity = OwnIdentity(VmId(id), Incarnation(incarnation), "ip-$id", DomainId("d"))
        val membership = Membership(identity, seeds, Random(seed * 1_000 + id.hashCode()))
        val changes = mutableListOf<Pair<Long, MembershipEffect>>()
        var pausedUntil = 0L
        var isKilled = false
        var side = 0
    }

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private var order = 0L
    var now = 0L
        private set
    val vms = LinkedHashMap<String, Vm>()

    init {
        (1..size).forEach { start("vm-$it", 1, if (it == 1) emptyList() else listOf("ip-vm-1")) }
    }

    fun start(id: String, incarnation: Long, seeds: List<String>): Vm {
        vms[id]?.isKilled = true
        val vm = Vm(id, incarnation, seeds)
        vm.membership.setStatus(OwnStatus(ready = true))
        vms[id] = vm
        on(vm, now + random.nextLong(TICK_MILLIS)) { tick(vm) }
        return vm
    }

    fun run(millis: Long) {
        val end = now + millis
        while ((events.peek()?.at ?: Long.MAX_VALUE) <= end) events.poll().let {
            now = it.at
            it.action()
        }
        now = end
    }

    /** Milliseconds until [condition] holds; more than [bound] if it does not hold by then. */
    fun timeUntil(bound: Long, condition: () -> Boolean): Long {
        val start = now
        while (!condition() && now - start <= bound) run(TICK_MILLIS / 2)
        return now - start
    }

    fun running(): List<Vm> = vms.values.filter { !it.isKilled }

    /** Whether every other running VM sees [id] in [state]. */
    fun allSee(id: String, state: MemberState): Boolean =
        running().filter { it.id != id }.all { it.membership.stateOf(VmId(id)) == state }

    fun isConverged(): Boolean = running().all { vm -> allSee(vm.id, MemberState.ALIVE) }

    private fun at(time: Long, action: () -> Unit) = events.add(Event(time, order++, action))

    /** Runs [action] on [vm] at [time], or at the end of its pause, unless it is killed. */
    private fun on(vm: Vm, time: Long, action: () -> Unit) {
        at(time) {
            when {
                vm.isKilled -> Unit
                vm.pausedUntil > now -> on(vm, vm.pausedUntil, action)
                else -> action()
            }
        }
    }

    private fun tick(vm: Vm) {
        handle(vm, vm.membership.tick(now))
        on(vm, now + TICK_MILLIS) { tick(vm) }
    }

    fun handle(vm: Vm, effects: List<MembershipEffect>): Unit = effects.forEach { effect ->
        when (effect) {
            is MembershipEffect.Probe -> probe(vm, effect.address, effect.request) { target, answer, sentAt ->
                if (answer == null) {
                    handle(vm, vm.membership.probeFailed(effect.vm, sentAt, now))
                } else {
                    handle(vm, vm.membership.probeAnswered(target, sentAt, answer, now))
                }
            }
            is MembershipEffect.ProbeVia -> probeVia(vm, effect)
            else -> vm.changes += now to effect
        }
    }

    private fun probeVia(vm: Vm, effect: MembershipEffect.ProbeVia) {
        var isOpen = true
        val report = { reached: Boolean ->
            if (isOpen) handle(vm, vm.membership.probeViaAnswered(effect.target, reached, now))
            isOpen = false
        }
        send(vm, vms.getValue(effect.via.text)) { helper ->
            probe(helper, effect.request.address, helper.membership.probeFor(effect.target)) { _, answer, _ ->
                send(helper, vm) { report(answer != null) }
            }
        }
        on(vm, now + PROBE_VIA_TIMEOUT_MILLIS) { report(false) }
    }

    private fun probe(
        vm: Vm,
        address: String,
        request: PeerRequest.Probe,
        result: (VmId, PeerAnswer.ProbeAnswer?, Long) -> Unit,
    ) {
        val sentAt = now
        val target = vms.getValue(address.removePrefix("ip-"))
        var isOpen = true
        val report = { answer: PeerAnswer.ProbeAnswer? ->
            if (isOpen) result(VmId(target.id), answer, sentAt)
            isOpen = false
        }
        send(vm, target) {
            val received = target.membership.received(VmId(vm.id), request, now)
            handle(target, received.effects)
            send(target, vm) { report(received.answer) }
        }
        on(vm, now + PROBE_TIMEOUT_MILLIS) { report(null) }
    }

    private fun send(from: Vm, to: Vm, action: (Vm) -> Unit) {
        if (from.side != to.side || random.nextDouble() < loss) return
        on(to, now + 1 + random.nextLong(MAXIMUM_LATENCY_MILLIS)) { if (from.side == to.side) action(to) }
    }

    private companion object {
        const val TICK_MILLIS = 100L
        const val MAXIMUM_LATENCY_MILLIS = 4L
    }
}
