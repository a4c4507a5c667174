/*
 * Which VMs are members, by probing in the manner of SWIM. Each VM probes up to 3 members a second, so the cost does
 * not depend on their number. The platform's list and addresses from settings are starting points; the list alone says
 * that a VM is gone for certain. Times are monotonic milliseconds of this VM. Docs: docs/design.md, section 4.12.
 */
package org.lentilquay.coordination.membership

import org.lentilquay.coordination.configuration.Reachability
import org.lentilquay.protocol.ListedVm
import org.lentilquay.protocol.MemberState
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.DomainId
import org.lentilquay.state.Incarnation
import org.lentilquay.state.VmId
import kotlin.random.Random

/** How long the caller waits for the answer to a probe. */
const val PROBE_TIMEOUT_MILLIS: Long = 400

/** How long the caller waits for the answer to a [PeerRequest.ProbeVia], which contains a whole probe. */
const val PROBE_VIA_TIMEOUT_MILLIS: Long = PROBE_TIMEOUT_MILLIS + 100

/** A suspect is dead this long after the probe that failed was sent. */
const val SUSPICION_MILLIS: Long = 2_000

/** How long an answer counts as proof that a member can be reached. */
const val REACHABLE_MILLIS: Long = 3_000

/** Three probes a second. */
private const val PROBE_INTERVAL_MILLIS = 333L

/** One probe in this many goes to a dead member or an unknown address, so that a healed partition is noticed. */
private const val RECOVERY_SLOT = 6L
private const val INDIRECT_PROBES = 2

/** A longer gap between ticks means that this VM was paused and that its own timers prove nothing. */
private const val PAUSE_MILLIS = 1_000L

/** Who this VM is. */
data class OwnIdentity(val vm: VmId, val incarnation: Incarnation, val address: String, val domain: DomainId)

/** The members as this VM sees them. [seeds] are addresses from settings, [random] decides the order of probes. */
class Membership(
    private val own: OwnIdentity,
    seeds: List<String>,
    private val random: Random,
) {
    private val directory = MemberDirectory(own, random)
    private val seeds = seeds.filter { it != own.address }
    private val rota = ProbeRota(random)
    private val recoveryRota = ProbeRota(random)
    private val contact = ContactWindow()
    private val indirect = HashMap<VmId, IndirectProbe>()
    private var status = OwnStatus()
    private var slots = 0L
    private var nextProbeAt = Long.MIN_VALUE
    private var lastTickAt: Long? = null
    private var seedIndex = 0

    private class IndirectProbe(val sentAt: Long, var open: Int)

    /** What this VM tells its peers from now on. */
    fun setStatus(next: OwnStatus) {
        if (next.ready != status.ready) directory.setOwnReady(next.ready)
        status = next
    }

    /** Probes that are due and suspects that are now dead. To be called every 50 to 200 ms. */
    fun tick(now: Long): List<MembershipEffect> {
        val effects = mutableListOf<MembershipEffect>()
        if (now - (lastTickAt ?: now) > PAUSE_MILLIS) {
            indirect.clear()
            directory.restartSuspicions(now)
        }
        lastTickAt = now
        effects += directory.expire(now)
        if (directory.takeUrgent()) effects += notices(now)
        directory.suspectsToProbe(now).forEach { effects += probe(it, now) }
        if (now >= nextProbeAt) {
            nextProbeAt = now + PROBE_INTERVAL_MILLIS
            probeOfSlot(now)?.let(effects::add)
        }
        return effects
    }

    /** [vm] answered the probe that was sent to it at [sentAt]. */
    fun probeAnswered(vm: VmId, sentAt: Long, answer: PeerAnswer.ProbeAnswer, now: Long): List<MembershipEffect> {
        contact.answered(now)
        indirect.remove(vm)
        val effects = directory.merge(answer.updates, now)
        directory.statusOf(vm, sentAt, answer.incarnation, answer.revision, answer.tableReachable)
        directory[vm]?.takeIf { answer.incarnation >= it.update.incarnation }?.contacted(sentAt)
        return effects
    }

    /** The probe sent to [vm] at [sentAt] had no answer in time or no connection. */
    fun probeFailed(vm: VmId?, sentAt: Long, now: Long): List<MembershipEffect> {
        // After a pause of this VM, answers that arrived in time were read too late.
        if (vm == null || now - sentAt > PAUSE_MILLIS) return emptyList()
        contact.failed(now)
        val target = directory[vm]?.takeIf { it.update.state == MemberState.ALIVE } ?: return emptyList()
        val helpers = directory.random(INDIRECT_PROBES) { it.state == MemberState.ALIVE && it.vm != vm }
        if (helpers.isEmpty()) return directory.suspect(vm, sentAt, now)
        indirect[vm] = IndirectProbe(sentAt, helpers.size)
        return helpers.map {
            MembershipEffect.ProbeVia(it.vm, it.update.address, vm, PeerRequest.ProbeVia(vm, target.update.address))
        }
    }

    /** A member asked to probe [target] answered; [reached] is false also if it did not answer itself. */
    fun probeViaAnswered(target: VmId, reached: Boolean, now: Long): List<MembershipEffect> {
        val open = indirect[target] ?: return emptyList()
        open.open--
        if (reached) {
            indirect.remove(target)
            directory[target]?.contacted(open.sentAt)
        } else if (open.open <= 0) {
            indirect.remove(target)
            return directory.suspect(target, open.sentAt, now)
        }
        return emptyList()
    }

    /** The probe to send to [target] on behalf of another VM; report its result as that of any probe. */
    fun probeFor(target: VmId): PeerRequest.Probe = request(target)

    /** Takes a probe of [from] and answers it. */
    fun received(from: VmId, probe: PeerRequest.Probe, now: Long): ProbeReceived {
        val effects = directory.merge(probe.updates, now)
        val incarnation = directory[from]?.update?.incarnation
        if (incarnation != null) directory.statusOf(from, now, incarnation, probe.revision, probe.tableReachable)
        // The sender is new to this VM, or it holds news of this VM that may need an answer.
        val withSelf = probe.updates.any { it.vm == from || it.vm == own.vm }
        val answer = PeerAnswer.ProbeAnswer(
            incarnation = own.incarnation,
            updates = directory.updatesFor(from, withSelf = withSelf, now),
            revision = status.revision,
            tableReachable = status.tableReachable,
            revisionCurrent = status.revisionCurrent,
            ready = status.ready,
            list = status.list,
        )
        return ProbeReceived(answer, effects)
    }

    /** Takes the platform's lagging list. A VM that was on an earlier list and is on this one no more is gone. */
    fun mergeVmList(vms: List<ListedVm>, now: Long): List<MembershipEffect> = directory.mergeVmList(vms, now)

    /** Whether [vm] was on the platform's list, is no more, and does not answer. */
    fun hasDeparted(vm: VmId): Boolean = directory.hasDeparted(vm)

    /** Tells some members that this VM stops as planned; the caller keeps ticking while it finishes its work. */
    fun leave(now: Long): List<MembershipEffect> {
        directory.leaveSelf()
        return notices(now)
    }

    /** The state of [vm], or null if it is not a member. */
    fun stateOf(vm: VmId): MemberState? = if (vm == own.vm) directory.ownUpdate.state else directory[vm]?.state

    /** The incarnation of [vm] that is known, or null. */
    fun incarnationOf(vm: VmId): Incarnation? =
        if (vm == own.vm) own.incarnation else directory[vm]?.update?.incarnation?.takeIf { it != unknownIncarnation }

    /** The last known address of [vm], or null. */
    fun addressOf(vm: VmId): String? = if (vm == own.vm) own.address else directory[vm]?.update?.address

    /** The failure domain of [vm], or null. */
    fun domainOf(vm: VmId): DomainId? = if (vm == own.vm) own.domain else directory[vm]?.update?.domain

    /** Every member that is not gone for certain, this VM included. */
    fun members(): Set<VmId> = others() + own.vm

    /** Every other member that is not gone for certain. */
    fun others(): Set<VmId> = directory.all.mapTo(HashSet()) { it.vm }

    /** Members that live and accept requests, this VM included if it does. Suspects are left out. */
    fun readyMembers(): Set<VmId> =
        directory.all.filter { it.state == MemberState.ALIVE && it.update.ready }.mapTo(HashSet()) { it.vm }
            .apply { if (status.ready && directory.ownUpdate.state == MemberState.ALIVE) add(own.vm) }

    /**
     * Members that can be reached, this VM included: those that were heard, directly or through another member, within
     * 3 s. A member that is heard brings news of later revisions, which is what going on without the table needs. In a
     * fleet too large to probe within that time, a live member counts without an answer of its own while most of this
     * VM's probes are answered: a member that cannot be reached is suspected by those that probe it.
     */
    fun reachable(now: Long): Set<VmId> {
        val vouched = directory.all.size > DIRECT_MEMBERS && contact.isMostlyAnswered(now)
        return directory.all
            .filter { isRecent(it.heardAt, now) || (vouched && it.update.state == MemberState.ALIVE) }
            .mapTo(HashSet()) { it.vm }
            .apply { add(own.vm) }
    }

    /** The counts for the rules of configuration freshness. */
    fun reachability(now: Long): Reachability =
        reachability(reachable(now).size, directory.all.filter { isRecent(it.statusAt, now) })

    /**
     * The same, but only of members that answered questions sent from [since] on. A confirm needs this: it must be able
     * to tell them, and the probes of a member prove nothing about the way to it.
     */
    fun reachabilitySince(since: Long): Reachability = reachability(
        reachable = directory.all.count { (it.contactAt ?: Long.MIN_VALUE) >= since } + 1,
        told = directory.all.filter { (it.statusAt ?: Long.MIN_VALUE) >= since },
    )

    private fun reachability(reachable: Int, told: List<Member>) = Reachability(
        members = directory.all.size + 1,
        reachable = reachable,
        tableReachableByPeer = told.any { it.tableReachable },
        highestRevision = told.maxOfOrNull { it.revision } ?: 0,
    )

    /** Probes out of turn that carry urgent news: a death, a refutation or a planned stop. */
    private fun notices(now: Long): List<MembershipEffect> =
        directory.random(NOTICES) { it.state == MemberState.ALIVE }.map { probe(it, now) }

    private fun isRecent(at: Long?, now: Long) = at != null && now - at <= REACHABLE_MILLIS

    private fun probeOfSlot(now: Long): MembershipEffect? {
        slots++
        val regular = { rota.next(directory.ids) { directory[it]?.isRegular() == true }?.let { directory[it] } }
        val recovery = { recoveryProbe(now) }
        return if (slots % RECOVERY_SLOT == 0L) {
            recovery() ?: regular()?.let { probe(it, now) }
        } else {
            regular()?.let { probe(it, now) } ?: recovery()
        }
    }

    private fun recoveryProbe(now: Long): MembershipEffect? {
        val unknown = seeds.filter { seed -> directory.all.none { it.update.address == seed } }
        val dead = recoveryRota.next(directory.ids) { directory[it]?.update?.state == MemberState.DEAD }
        return when {
            unknown.isNotEmpty() && (dead == null || random.nextBoolean()) ->
                MembershipEffect.Probe(null, unknown[seedIndex++ % unknown.size], request(null))
            else -> dead?.let { directory[it] }?.let { probe(it, now) }
        }
    }

    private fun Member.isRegular() = update.state != MemberState.DEAD && !suspectedHere

    private fun probe(member: Member, now: Long): MembershipEffect {
        directory.probed(member, now)
        return MembershipEffect.Probe(member.vm, member.update.address, request(member.vm, now))
    }

    private fun request(to: VmId?, now: Long = lastTickAt ?: 0): PeerRequest.Probe = PeerRequest.Probe(
        updates = directory.updatesFor(to, withSelf = to == null || directory.isNewTo(to), now),
        revision = status.revision,
        tableReachable = status.tableReachable,
        ready = status.ready,
        list = status.list,
    )

    private companion object {
        const val NOTICES = 3

        /** Three probes a second reach this many members within [REACHABLE_MILLIS]. */
        const val DIRECT_MEMBERS = 8
    }
}
