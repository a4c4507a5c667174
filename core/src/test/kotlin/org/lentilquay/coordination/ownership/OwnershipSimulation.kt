package org.lentilquay.coordination.ownership

import kotlinx.serialization.json.Json
import org.lentilquay.coordination.SimulatedTable
import org.lentilquay.coordination.WriteResult
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.DomainId
import org.lentilquay.state.Incarnation
import org.lentilquay.state.OrderKind
import org.lentilquay.state.VmId
import org.lentilquay.state.ownerKey
import org.lentilquay.state.sessionKey
import kotlin.random.Random

/** Two VMs and one server. Each call, message and table access is a separate step, in random order and with pauses. */
class OwnershipSimulation(private val random: Random, private val checksFencing: Boolean) {
    private inner class Grant(val vm: Vm, val adapter: AdapterVersion, val fence: Long, val endsAt: Long)

    private class Message(val at: Long, val run: () -> Unit)

    private inner class Vm(val id: VmId, val incarnation: Incarnation) {
        val clock = random.nextLong(1_000_000)
        val lease = SessionLease(id, incarnation, "10.0.0.1:1", DomainId("d"), newNonce = ::nonce)
        val decider = OwnershipDecider("s", id, incarnation, !checksFencing, HandoverLimiter(), ::nonce)
        val steps = ArrayList<() -> Unit>()
        val unloading = HashSet<AdapterVersion>()
        var pausedUntil = 0L
        var claimed = 0L
        val local get() = now + clock
    }

    private val table = SimulatedTable(random).apply { faultPercent = random.nextInt(0, 20) }
    private val adapters = List(2) { AdapterVersion("a$it", 1) }
    private val loaded = adapters.toHashSet()
    private val grants = ArrayList<Grant>()
    private val network = ArrayList<Message>()
    private var highestFence = 0L
    private var nonces = 0
    private var ranked = listOf(VmId("vm-0"), VmId("vm-1"))
    private var now = 0L
    private val vms = Array(2) { Vm(VmId("vm-$it"), Incarnation(1)) }
    var violations = 0
    var takes = 0
    var unloads = 0
    var granted = 0

    private fun nonce() = "n${nonces++}"

    fun step() {
        when (random.nextInt(50)) {
            in 0..7 -> now += random.nextLong(0, 15)
            8 -> rareEvent()
            9 -> table.deliverLate()
            in 10..17 -> network.filter { it.at <= now }.randomOrNull(random)?.let { message ->
                network.remove(message)
                message.run()
            }
            else -> vms.random(random).takeIf { now >= it.pausedUntil }?.let { advance(it) }
        }
        grants.removeAll { it.endsAt < now }
    }

    private fun rareEvent() {
        when (random.nextInt(40)) {
            in 0..3 -> now += random.nextLong(0, 6_000)
            in 4..7 -> pause(vms.random(random))
            in 8..11 -> table.isDown = random.nextInt(3) == 0
            12, 13 -> crash(random.nextInt(2))
        }
    }

    private fun pause(vm: Vm) {
        vm.pausedUntil = now + random.nextLong(0, 12_000)
    }

    /** Delays one message in [slowOneIn], so that orders are in transit while the owner changes. */
    private fun send(slowOneIn: Int = 10, run: () -> Unit) {
        network.add(Message(if (random.nextInt(slowOneIn) == 0) now + random.nextLong(0, 9_000) else now, run))
    }

    private fun crash(index: Int) {
        val old = vms[index]
        vms[index] = Vm(old.id, Incarnation(old.incarnation.number + 1))
        vms[1 - index].decider.restarted(old.id, vms[index].incarnation)
    }

    private fun advance(vm: Vm) {
        when (random.nextInt(18)) {
            0, 1 -> session(vm)
            2 -> if (vm.steps.isEmpty()) decide(vm)
            3 -> order(vm)
            4 -> grant(vm)
            5 -> requestAcknowledgement(vm)
            6 -> observePeer(vm)
            7 -> requestAcknowledgement(vm)
            8 -> order(vm)
            else -> if (vm.steps.isNotEmpty()) vm.steps.removeAt(random.nextInt(vm.steps.size))()
        }
    }

    private fun peer(vm: Vm) = vms.first { it.id != vm.id }

    private fun observePeer(vm: Vm) {
        val isConsideredDead = random.nextInt(8) == 0 || now < peer(vm).pausedUntil
        vm.decider.ownerState(if (isConsideredDead) OwnerState.DEAD else OwnerState.ALIVE, vm.local)
    }

    private fun session(vm: Vm) {
        val tick = vm.lease.tick(vm.local, isInUse = vm.decider.ownership != null)
        if (tick.resumedAfterPause || tick.leaseExpired) vm.decider.markUnconfirmed()
        when (val step = tick.step) {
            is SessionStep.Renew -> transact(vm, step.operations) { vm.lease.renewed(step.nonce, it, vm.local) }
            SessionStep.ReadBack -> read(vm, sessionKey(vm.id)) { text, version ->
                vm.lease.readBack(text?.let { Json.decodeFromString(it) }, version, vm.local)
            }
            else -> Unit
        }
    }

    private fun transact(vm: Vm, operations: List<TableOperation>, then: (WriteResult) -> Unit) {
        vm.steps.add {
            val result = table.transact(operations)
            vm.steps.add { then(result) }
        }
    }

    private fun read(vm: Vm, key: String, then: (String?, Long) -> Unit) {
        vm.steps.add {
            val item = table.read(key)
            if (!table.isDown) vm.steps.add { then(item?.value, item?.version ?: 0) }
        }
    }

    private fun decide(vm: Vm) {
        if (random.nextInt(150) == 0) ranked = ranked.reversed()
        fun write(nonce: String, operations: List<TableOperation>) =
            transact(vm, operations) { if (vm.decider.written(nonce, it, vm.local) == WriteEffect.OWNER) takes++ }
        val candidates = OwnershipCandidates(ranked, random.nextLong(0, 7_000), random.nextInt(100) == 0)
        when (val decision = vm.decider.decide(candidates, vm.local)) {
            is OwnershipDecision.Take -> write(decision.nonce, decision.operations)
            is OwnershipDecision.Verify -> write(decision.nonce, decision.operations)
            is OwnershipDecision.Clear -> write(decision.nonce, decision.operations)
            is OwnershipDecision.Release -> write(decision.nonce, decision.operations)
            is OwnershipDecision.ReadRecord -> read(vm, ownerKey("s")) { text, version ->
                vm.decider.observe(text?.let { Json.decodeFromString(it) }, version, vm.local)
            }
            is OwnershipDecision.ReadSession -> read(vm, sessionKey(decision.vm)) { _, version ->
                vm.decider.sessionObserved(decision.vm, version, vm.local)
            }
            else -> Unit
        }
    }

    private fun order(vm: Vm) {
        val adapter = adapters.random(random)
        val kind = if (adapter in loaded) OrderKind.UNLOAD else OrderKind.LOAD
        val fence = vm.decider.ownership?.fence ?: return
        // An owner never unloads what it granted itself; what it knows of runs of other VMs is not part of this test.
        val isPinned = kind == OrderKind.UNLOAD && grants.any { it.adapter == adapter && it.fence == fence }
        if (isPinned || vm.steps.size > 4) return
        val listed = vms.mapTo(HashSet()) { it.id }
        val step = vm.decider.beginOrder(kind, adapter, vm.lease.isValid(vm.local), listed, vm.local)
        if (kind == OrderKind.UNLOAD && step !is OrderStep.Refused) vm.unloading.add(adapter)
        when (step) {
            is OrderStep.Send -> vm.steps.add { send { arrive(vm, kind, adapter, step.fence) } }
            is OrderStep.Write -> {
                transact(vm, step.operations) { result ->
                    recorded(vm, vm.decider.written(step.nonce, result, vm.local), kind, adapter, fence)
                }
                if (random.nextInt(4) == 0) pause(vm)
            }
            is OrderStep.Refused -> Unit
        }
    }

    private fun recorded(vm: Vm, effect: WriteEffect, kind: OrderKind, adapter: AdapterVersion, fence: Long) {
        if (effect == WriteEffect.ORDER_ABORTED) vm.unloading.remove(adapter)
        if (effect != WriteEffect.ORDER_RECORDED) return
        if (random.nextInt(4) == 0) pause(vm)
        vm.steps.add {
            if (vm.decider.startSending()) {
                send(slowOneIn = 3) { arrive(vm, kind, adapter, fence) }
                if (random.nextInt(3) == 0) pause(vm)
            }
        }
    }

    private fun arrive(vm: Vm, kind: OrderKind, adapter: AdapterVersion, fence: Long) {
        if (vm !in vms) return
        if (random.nextInt(20) == 0) {
            // The connection is lost; the order may still be carried out without an answer.
            send { if (vm in vms) execute(vm, kind, adapter, fence) }
            vm.steps.add { vm.decider.orderFinished(isCertain = false, vm.local) }
        } else {
            execute(vm, kind, adapter, fence)
            vm.steps.add {
                vm.unloading.remove(adapter)
                vm.decider.orderFinished(isCertain = true, vm.local)
            }
        }
    }

    private fun execute(vm: Vm, kind: OrderKind, adapter: AdapterVersion, fence: Long) {
        if (!checksFencing || fence >= highestFence) {
            highestFence = maxOf(highestFence, fence)
            if (kind == OrderKind.LOAD) loaded.add(adapter) else loaded.remove(adapter)
            if (kind == OrderKind.UNLOAD) {
                unloads++
                if (grants.any { it.vm !== vm && it.adapter == adapter && it.fence >= fence }) violations++
            }
        }
    }

    private fun grant(vm: Vm) {
        val fence = vm.decider.ownership?.fence ?: return
        if (checksFencing && vm.claimed < fence) {
            send {
                if (fence >= highestFence) {
                    highestFence = fence
                    vm.steps.add { vm.claimed = fence }
                }
            }
            return
        }
        val adapter = adapters.random(random)
        val isBlocked = adapter in vm.decider.blockedAdapters || adapter in vm.unloading
        if (adapter !in loaded || isBlocked) return
        granted++
        grants.add(Grant(vm, adapter, fence, now + random.nextLong(0, if (random.nextBoolean()) 300 else 10_000)))
    }

    private fun requestAcknowledgement(vm: Vm) {
        val fence = vm.decider.ownership?.fence ?: return
        val receiver = peer(vm)
        send {
            receiver.steps.add {
                if (receiver.decider.acknowledge(fence)) send { vm.decider.acknowledged(receiver.id, fence) }
            }
        }
    }
}
