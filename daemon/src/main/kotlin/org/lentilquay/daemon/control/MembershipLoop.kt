/*
 * Runs the membership protocol of this VM: feeds the membership with ticks, probes and the platform's VM list, and
 * performs its effects. Docs: docs/design.md, section 4.12.
 */
package org.lentilquay.daemon.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.lentilquay.coordination.VmListHistory
import org.lentilquay.coordination.configuration.Reachability
import org.lentilquay.coordination.membership.Membership
import org.lentilquay.coordination.membership.MembershipEffect
import org.lentilquay.coordination.membership.OwnStatus
import org.lentilquay.coordination.membership.PROBE_TIMEOUT_MILLIS
import org.lentilquay.coordination.membership.PROBE_VIA_TIMEOUT_MILLIS
import org.lentilquay.coordination.membership.VmListRefresh
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.ListedVm
import org.lentilquay.protocol.ListedVmKind
import org.lentilquay.protocol.ListedVmState
import org.lentilquay.protocol.MemberState
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.Incarnation
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.transport.peer.PeerCallResult
import org.lentilquay.transport.peer.PeerClient
import org.lentilquay.transport.platform.PlatformClient
import org.lentilquay.transport.platform.ReadResult
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** Receives changes of the membership; called on the control thread. */
interface MembershipListener {
    /** A peer has confirmed [revision] with the table service, in its answer to a probe sent at [sentAt]. */
    fun peerConfirmed(revision: Long, sentAt: Long)

    /** [vm] has announced [revision]. */
    fun revisionAnnounced(vm: VmId, revision: Long)

    /** The process on [vm] has ended: the VM is dead, or its process was restarted. */
    fun processEnded(vm: VmId)

    /** A later process runs with this VM's id, with the incarnation [by]. */
    fun replaced(by: Incarnation)

    /** The set of leaving backend servers in the platform's VM list has changed. */
    fun availabilityChanged()

    /** The status that this VM announces in probes. */
    fun ownStatus(): OwnStatus
}

class MembershipLoop(
    val membership: Membership,
    private val client: PeerClient,
    private val platform: PlatformClient,
    private val control: ControlThread,
    private val scope: CoroutineScope,
    private val servers: ServerAvailability,
    private val seedAddresses: Map<VmId, String>,
    private val now: () -> Long,
) {
    lateinit var listener: MembershipListener

    /** The VMs that the platform has listed over time. Used on the control thread. */
    val listedVms = VmListHistory()
    private val listRefresh = VmListRefresh(Random.Default)
    private var isReadingList = false
    private val readySince = HashMap<VmId, Long>()
    private val addresses = ConcurrentHashMap<VmId, String>(seedAddresses).apply {
        membership.members().forEach { vm -> membership.addressOf(vm)?.let { put(vm, it) } }
    }

    /** Members that are alive and accept requests, and for how long, in milliseconds. */
    fun readyMembers(): Map<VmId, Long> {
        val ready = membership.readyMembers()
        readySince.keys.retainAll(ready)
        return ready.associateWith { now() - readySince.getOrPut(it, now) }
    }

    /** The address of the peer listener of [vm]; callable from any thread. */
    fun addressOf(vm: VmId): String? = addresses[vm]

    /** Sends probes and reads the VM list as due. Call on the control thread, several times a second. */
    fun tick() {
        refreshStatus()
        perform(membership.tick(now()))
        if (!isReadingList && listRefresh.isDue(now())) startListRead()
    }

    /** Announces that this VM leaves the fleet. Call on the control thread. */
    fun leave() = perform(membership.leave(now()))

    /** Answers the probe of another VM. */
    suspend fun answerProbe(from: VmId, probe: PeerRequest.Probe): PeerAnswer = control.decide {
        // After a pause of the process, the status of the last tick would still claim that this VM is current.
        refreshStatus()
        listRefresh.peerViewReceived(probe.list, now())
        val received = membership.received(from, probe, now())
        perform(received.effects)
        listener.revisionAnnounced(from, probe.revision)
        received.answer
    }

    /**
     * Probes all members and returns which ones are reachable now. The probes are repeated while fewer than half of the
     * members answer, because a busy VM may miss a probe.
     */
    suspend fun reachabilityNow(): Reachability {
        val startedAt = now()
        var reached = probeAll(startedAt)
        repeat(MAXIMUM_PROBE_REPETITIONS) { if (!reached.isAtLeastHalf) reached = probeAll(startedAt) }
        return reached
    }

    private suspend fun probeAll(since: Long): Reachability {
        val targets = control.decide {
            membership.others().mapNotNull { vm ->
                membership.addressOf(vm)?.let { MembershipEffect.Probe(vm, it, membership.probeFor(vm)) }
            }
        }
        coroutineScope { targets.forEach { launch { probe(it.vm, it.address, it.request) } } }
        return control.decide { membership.reachabilitySince(since) }
    }

    /** Probes a VM on behalf of another one (indirect probe). */
    suspend fun answerProbeVia(request: PeerRequest.ProbeVia): PeerAnswer {
        val probe = control.decide {
            refreshStatus()
            membership.probeFor(request.target)
        }
        return PeerAnswer.ProbeViaAnswer(probe(request.target, request.address, probe))
    }

    private fun refreshStatus() = membership.setStatus(listener.ownStatus().copy(list = listRefresh.view(now())))

    private fun startListRead() {
        isReadingList = true
        listRefresh.readStarted(now(), membership.members().size)
        scope.launch {
            try {
                readPlatformList()
            } finally {
                control.decide { isReadingList = false }
            }
        }
    }

    /** Reads the platform's VM list and updates the membership and the leaving backend servers from it. */
    private suspend fun readPlatformList() {
        val sentAt = now()
        val list = (platform.vmList() as? ReadResult.Read)?.value ?: return
        val leaving = list
            .filter { it.kind == ListedVmKind.BACKEND && it.state == ListedVmState.LEAVING }
            .mapTo(HashSet()) { ServerId(it.id) }
        val vms = list.filter(::isVm)
        control.decide {
            if (leaving != servers.leaving) {
                servers.leavingServersChanged(leaving)
                listener.availabilityChanged()
            }
            listRefresh.readFinished(list, sentAt)
            listedVms.observed(vms.mapTo(HashSet()) { VmId(it.id) }, now())
            perform(membership.mergeVmList(vms, now()))
        }
    }

    private fun isVm(entry: ListedVm) = entry.kind == ListedVmKind.VM

    private fun perform(effects: List<MembershipEffect>) {
        effects.forEach { effect ->
            when (effect) {
                is MembershipEffect.Probe -> scope.launch { probe(effect.vm, effect.address, effect.request) }
                is MembershipEffect.ProbeVia -> scope.launch { probeIndirectly(effect) }
                is MembershipEffect.AddressChanged -> addresses[effect.vm] = effect.address
                is MembershipEffect.StateChanged -> if (effect.to == MemberState.DEAD) listener.processEnded(effect.vm)
                is MembershipEffect.Restarted -> listener.processEnded(effect.vm)
                is MembershipEffect.Replaced -> listener.replaced(effect.by)
            }
        }
    }

    private suspend fun probe(known: VmId?, address: String, request: PeerRequest.Probe): Boolean {
        val sentAt = now()
        val vm = known ?: seedAddresses.entries.firstOrNull { it.value == address }?.key ?: return false
        val result = client.call(vm, address, request, PROBE_TIMEOUT_MILLIS)
        val answer = (result as? PeerCallResult.Answered)?.answer as? PeerAnswer.ProbeAnswer
        control.decide {
            if (answer == null) {
                perform(membership.probeFailed(known, sentAt, now()))
            } else {
                listRefresh.peerViewReceived(answer.list, sentAt)
                perform(membership.probeAnswered(vm, sentAt, answer, now()))
                if (answer.revisionCurrent) listener.peerConfirmed(answer.revision, sentAt)
                listener.revisionAnnounced(vm, answer.revision)
            }
        }
        return answer != null
    }

    private suspend fun probeIndirectly(effect: MembershipEffect.ProbeVia) {
        val result = client.call(effect.via, effect.viaAddress, effect.request, PROBE_VIA_TIMEOUT_MILLIS)
        val reached = ((result as? PeerCallResult.Answered)?.answer as? PeerAnswer.ProbeViaAnswer)?.reached ?: false
        control.decide { perform(membership.probeViaAnswered(effect.target, reached, now())) }
    }
}

private const val MAXIMUM_PROBE_REPETITIONS = 2
