/*
 * Membership of the fleet by probing, as in SWIM. Each VM probes up to 3 members a second, so its cost does not depend
 * on the number of members. Initial members come from the platform's VM list and from addresses in settings; only the
 * VM list shows that a VM is permanently gone. Single-threaded use; times are monotonic milliseconds of this VM. Docs:
 * docs/design.md, section 4.12.
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

/** How long the caller waits for the answer to a [PeerRequest.ProbeVia], which includes a probe by the other VM. */
const val PROBE_VIA_TIMEOUT_MILLIS: Long = PROBE_TIMEOUT_MILLIS + 100

/** A suspect is declared dead this long after the failed probe was sent. */
const val SUSPICION_MILLIS: Long = 2_000

/** How long an answer counts as proof that a member is reachable. */
const val REACHABILITY_MILLIS: Long = 3_000

/** Three probes a second. */
private const val PROBE_INTERVAL_MILLIS = 333L

/** One probe in this many goes to a dead member or an unknown address, so that a healed partition is detected. */
private const val PROBES_PER_RECOVERY_PROBE = 6L
private const val INDIRECT_PROBES = 2

/** A longer gap between ticks means that this VM was paused, so that its timeouts are not conclusive. */
private const val PAUSE_THRESHOLD_MILLIS = 1_000L

/** The identity of this VM. */
data class OwnIdentity(val vm: VmId, val incarnation: Incarnation, val address: String, val domain: DomainId)

/** The members in this VM's local view. [seeds] are addresses from settings; [random] determines the probe order. */
class Membership(
    private val own: OwnIdentity,
    seeds: List<String>,
    private val random: Random,
) {
    private val directory = MemberDirectory(own, random)
    private val seeds = seeds.filter { it != own.address }
    private val schedule = ProbeSchedule(random)
    private val recoverySchedule = ProbeSchedule(random)
    private val probeResults = ProbeResultWindow()
    private val indirect = HashMap<VmId, IndirectProbe>()
    private var status = OwnStatus()
    private var probeCount = 0L
    private var nextProbeAt = Long.MIN_VALUE
    private var lastTickAt: Long? = null
    private var seedIndex = 0

    private class IndirectProbe(val sentAt: Long, var open: Int)

    /** Sets the status that this VM reports to its peers. */
    fun setStatus(next: OwnStatus) {
        if (next.ready != status.ready) directory.setOwnReady(next.ready)
        status = next
    }

    /** Returns the probes that are due and declares suspects dead; to be called every 50 to 200 ms. */
    fun tick(now: Long): List<MembershipEffect> {
        val effects = mutableListOf<MembershipEffect>()
        if (now - (lastTickAt ?: now) > PAUSE_THRESHOLD_MILLIS) {
            indirect.clear()
            directory.restartSuspicions(now)
        }
        lastTickAt = now
        effects += directory.expire(now)
        if (directory.takeUrgent()) effects += notices(now)
        directory.suspectsToProbe(now).forEach { effects += probe(it, now) }
        if (now >= nextProbeAt) {
            nextProbeAt = now + PROBE_INTERVAL_MILLIS
            nextProbe(now)?.let(effects::add)
        }
        return effects
    }

    /** Handles the [answer] of [vm] to the probe that was sent at [sentAt]. */
    fun probeAnswered(vm: VmId, sentAt: Long, answer: PeerAnswer.ProbeAnswer, now: Long): List<MembershipEffect> {
        probeResults.answered(now)
        indirect.remove(vm)
        val effects = directory.merge(answer.updates, now)
        directory.recordStatus(vm, sentAt, answer.incarnation, answer.revision, answer.tableReachable)
        directory[vm]?.takeIf { answer.incarnation >= it.update.incarnation }?.contacted(sentAt)
        return effects
    }

    /** Handles a probe to [vm], sent at [sentAt], that had no answer in time or no connection. */
    fun probeFailed(vm: VmId?, sentAt: Long, now: Long): List<MembershipEffect> {
        // After a pause of this VM, the answer may have arrived in time and been read too late.
        if (vm == null || now - sentAt > PAUSE_THRESHOLD_MILLIS) return emptyList()
        probeResults.failed(now)
        val target = directory[vm]?.takeIf { it.update.state == MemberState.ALIVE } ?: return emptyList()
        val helpers = directory.random(INDIRECT_PROBES) { it.state == MemberState.ALIVE && it.vm != vm }
        if (helpers.isEmpty()) return directory.suspect(vm, sentAt, now)
        indirect[vm] = IndirectProbe(sentAt, helpers.size)
        return helpers.map {
            MembershipEffect.ProbeVia(it.vm, it.update.address, vm, PeerRequest.ProbeVia(vm, target.update.address))
        }
    }

    /** Handles the result of an indirect probe of [target]; [reached] is also false if the helper did not answer. */
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

    /** The probe to send to [target] on behalf of another VM; its result is reported like that of any probe. */
    fun probeFor(target: VmId): PeerRequest.Probe = request(target)

    /** Handles a probe of [from] and returns the answer to send. */
    fun received(from: VmId, probe: PeerRequest.Probe, now: Long): ProbeReceived {
        val effects = directory.merge(probe.updates, now)
        val incarnation = directory[from]?.update?.incarnation
        if (incarnation != null) directory.recordStatus(from, now, incarnation, probe.revision, probe.tableReachable)
        // The answer contains the update of this VM if the sender is new to it, or sent an update that it may refute.
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

    /**
     * Merges the platform's VM list, which lags behind. A VM that was on an earlier list and is not on [vms] departs.
     */
    fun mergeVmList(vms: List<ListedVm>, now: Long): List<MembershipEffect> = directory.mergeVmList(vms, now)

    /** Whether [vm] was on the platform's VM list, has left it, and does not answer any more. */
    fun hasDeparted(vm: VmId): Boolean = directory.hasDeparted(vm)

    /** Announces the planned stop of this VM to some members; the caller continues to call [tick] until it stops. */
    fun leave(now: Long): List<MembershipEffect> {
        directory.leaveSelf()
        return notices(now)
    }

    /** The state of [vm], or null if it is not a member. */
    fun stateOf(vm: VmId): MemberState? = if (vm == own.vm) directory.ownUpdate.state else directory[vm]?.state

    /** The incarnation of [vm], or null if it is not known. */
    fun incarnationOf(vm: VmId): Incarnation? =
        if (vm == own.vm) own.incarnation else directory[vm]?.update?.incarnation?.takeIf { it != unknownIncarnation }

    /** The last known address of [vm], or null. */
    fun addressOf(vm: VmId): String? = if (vm == own.vm) own.address else directory[vm]?.update?.address

    /** The failure domain of [vm], or null. */
    fun domainOf(vm: VmId): DomainId? = if (vm == own.vm) own.domain else directory[vm]?.update?.domain

    /** All members that have not departed, including this VM. */
    fun members(): Set<VmId> = others() + own.vm

    /** All other members that have not departed. */
    fun others(): Set<VmId> = directory.all.mapTo(HashSet()) { it.vm }

    /** The members that are alive and accept requests, including this VM if it does. Suspects are excluded. */
    fun readyMembers(): Set<VmId> =
        directory.all.filter { it.state == MemberState.ALIVE && it.update.ready }.mapTo(HashSet()) { it.vm }
            .apply { if (status.ready && directory.ownUpdate.state == MemberState.ALIVE) add(own.vm) }

    /**
     * The reachable members, including this VM: those heard from, directly or through another member, within
     * [REACHABILITY_MILLIS]. A VM that serves without the table service depends on them to report later revisions. In a
     * fleet too large to probe within that time, a live member also counts without an answer of its own while most of
     * this VM's probes are answered: members that cannot be reached are suspected by those that probe them.
     */
    fun reachable(now: Long): Set<VmId> {
        val countsWithoutAnswer = directory.all.size > DIRECTLY_PROBED_MEMBERS && probeResults.isMostlyAnswered(now)
        return directory.all
            .filter { isRecent(it.heardAt, now) || (countsWithoutAnswer && it.update.state == MemberState.ALIVE) }
            .mapTo(HashSet()) { it.vm }
            .apply { add(own.vm) }
    }

    /** The counts for the rules of configuration freshness. */
    fun reachability(now: Long): Reachability =
        reachability(reachable(now).size, directory.all.filter { isRecent(it.statusAt, now) })

    /**
     * The same counts, of members that answered probes sent at [since] or later. A confirmation needs these: it has to
     * reach the members, and probes received from a member do not prove that it can be reached.
     */
    fun reachabilitySince(since: Long): Reachability = reachability(
        reachable = directory.all.count { (it.contactAt ?: Long.MIN_VALUE) >= since } + 1,
        reporting = directory.all.filter { (it.statusAt ?: Long.MIN_VALUE) >= since },
    )

    private fun reachability(reachable: Int, reporting: List<Member>) = Reachability(
        members = directory.all.size + 1,
        reachable = reachable,
        tableReachableByPeer = reporting.any { it.tableReachable },
        highestRevision = reporting.maxOfOrNull { it.revision } ?: 0,
    )

    /** Probes outside the schedule that carry urgent updates: a death, a refutation or a planned stop. */
    private fun notices(now: Long): List<MembershipEffect> =
        directory.random(NOTICE_COUNT) { it.state == MemberState.ALIVE }.map { probe(it, now) }

    private fun isRecent(at: Long?, now: Long) = at != null && now - at <= REACHABILITY_MILLIS

    private fun nextProbe(now: Long): MembershipEffect? {
        probeCount++
        val regular = { schedule.next(directory.ids) { directory[it]?.isRegular() == true }?.let { directory[it] } }
        val recovery = { recoveryProbe(now) }
        return if (probeCount % PROBES_PER_RECOVERY_PROBE == 0L) {
            recovery() ?: regular()?.let { probe(it, now) }
        } else {
            regular()?.let { probe(it, now) } ?: recovery()
        }
    }

    private fun recoveryProbe(now: Long): MembershipEffect? {
        val unknown = seeds.filter { seed -> directory.all.none { it.update.address == seed } }
        val dead = recoverySchedule.next(directory.ids) { directory[it]?.update?.state == MemberState.DEAD }
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
        updates = directory.updatesFor(to, withSelf = to == null || directory.needsIntroduction(to), now),
        revision = status.revision,
        tableReachable = status.tableReachable,
        ready = status.ready,
        list = status.list,
    )

    private companion object {
        const val NOTICE_COUNT = 3

        /** The number of members that three probes a second reach within [REACHABILITY_MILLIS]. */
        const val DIRECTLY_PROBED_MEMBERS = 8
    }
}
