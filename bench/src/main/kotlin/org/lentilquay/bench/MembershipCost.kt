/*
 * Measures what membership costs one VM: the bytes of encoded probes and the CPU time of its decisions, in a fleet
 * that is simulated in memory, without sockets and message loss. The clock is simulated; CPU time is real.
 */
package org.lentilquay.bench

import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import org.lentilquay.coordination.membership.Membership
import org.lentilquay.coordination.membership.MembershipEffect
import org.lentilquay.coordination.membership.OwnIdentity
import org.lentilquay.coordination.membership.OwnStatus
import org.lentilquay.protocol.PeerFrame
import org.lentilquay.state.DomainId
import org.lentilquay.state.Incarnation
import org.lentilquay.state.VmId
import kotlin.random.Random

/** The measured fleet sizes: the current one, two in between, and the target scale. */
@Suppress("MagicNumber")
private val measuredSizes = listOf(8, 50, 150, 370)

/** 14 failures and 58 restarts at the target scale. */
private const val CHANGES_PER_DAY = 72
private const val DAY_MILLIS = 86_400_000L

/** The initial updates of 370 members take about 250 s until they have been sent their full number of times. */
private const val WARM_UP_MILLIS = 300_000L

/** A twelfth of the time between two changes, with a change at its start, so the result is an upper bound. */
private const val MEASURED_MILLIS = DAY_MILLIS / CHANGES_PER_DAY / 12
private const val TICK_MILLIS = 100L
private const val LENGTH_PREFIX_BYTES = 4
private const val MILLIS_PER_SECOND = 1_000.0
private const val NANOS_PER_MICRO = 1_000.0
private const val FAILURE_DOMAINS = 4
private const val PERCENT = 100.0
private const val NANOS_PER_SECOND = 1e9
private const val FIRST_REVISION = 100_000L
private const val PORT = 7_000
private const val ADDRESSES_PER_NETWORK = 250

/** The cost of membership for one VM of a fleet of [members]. Bytes are those sent; as many are received. */
data class MembershipCost(
    val members: Int,
    val bytesPerSecond: Double,
    val messagesPerSecond: Double,
    /** CPU time for a tick and the probes and answers since the last one, without encoding. */
    val microsPerTick: Double,
    /** CPU time as a percentage of one core, without encoding. */
    val corePercent: Double,
)

/** Measures [MembershipCost] at 8, 50, 150 and 370 members with 72 membership changes a day. */
fun measureMembershipCost(): List<MembershipCost> = measuredSizes.map { size ->
    val traffic = FleetSimulation(size, encodesFrames = true).apply { run() }
    val decisions = FleetSimulation(size, encodesFrames = false).apply { run() }
    val vmSeconds = size * MEASURED_MILLIS / MILLIS_PER_SECOND
    MembershipCost(
        members = size,
        bytesPerSecond = traffic.bytes / vmSeconds,
        messagesPerSecond = traffic.messages / vmSeconds,
        microsPerTick = decisions.nanos / NANOS_PER_MICRO / (vmSeconds * MILLIS_PER_SECOND / TICK_MILLIS),
        corePercent = PERCENT * decisions.nanos / NANOS_PER_SECOND / vmSeconds,
    )
}

/** Simulates [size] VMs. [encodesFrames] is false where CPU time is measured, so that only decisions count. */
private class FleetSimulation(private val size: Int, private val encodesFrames: Boolean) {
    private class Vm(val id: VmId, val address: String, val membership: Membership)

    private val random = Random(size)
    private val vms = LinkedHashMap<String, Vm>()
    private val byId = HashMap<VmId, Vm>()
    private var incarnation = 1L
    var bytes = 0L
        private set
    var messages = 0L
        private set
    var nanos = 0L
        private set

    fun run() {
        for (index in 0 until size) start(index)
        var now = 0L
        while (now < WARM_UP_MILLIS) now = step(now)
        bytes = 0
        messages = 0
        start(random.nextInt(size))
        val end = now + MEASURED_MILLIS
        nanos = threadNanos { while (now < end) now = step(now) }
    }

    private fun start(index: Int) {
        val address = "10.0.${index / ADDRESSES_PER_NETWORK}.${index % ADDRESSES_PER_NETWORK + 1}:$PORT"
        val domain = DomainId("domain-${index % FAILURE_DOMAINS}")
        val identity = OwnIdentity(VmId("vm-$index"), Incarnation(incarnation++), address, domain)
        val membership = Membership(identity, listOf("10.0.0.1:$PORT"), Random(random.nextInt()))
        membership.setStatus(OwnStatus(FIRST_REVISION, tableReachable = true, revisionCurrent = true, ready = true))
        val vm = Vm(identity.vm, address, membership)
        vms[address] = vm
        byId[identity.vm] = vm
    }

    private fun step(now: Long): Long {
        vms.values.forEach { vm -> handle(vm, vm.membership.tick(now), now) }
        return now + TICK_MILLIS
    }

    private fun handle(vm: Vm, effects: List<MembershipEffect>, now: Long) {
        effects.filterIsInstance<MembershipEffect.Probe>().forEach { probe ->
            val target = vms.getValue(probe.address)
            count(PeerFrame(messages, request = probe.request))
            val received = target.membership.received(vm.id, probe.request, now)
            handle(target, received.effects, now)
            count(PeerFrame(messages, answer = received.answer))
            handle(vm, vm.membership.probeAnswered(target.id, now, received.answer, now), now)
        }
    }

    private fun count(frame: PeerFrame) {
        if (encodesFrames) bytes += Cbor.encodeToByteArray(frame).size + LENGTH_PREFIX_BYTES
        messages++
    }
}
