/*
 * The members and suspicions behind [Membership]: merges updates and the platform's VM list, and selects the updates
 * that are piggybacked on a message. Single-threaded use; times are monotonic milliseconds.
 */
package org.lentilquay.coordination.membership

import org.lentilquay.protocol.ListedVm
import org.lentilquay.protocol.ListedVmKind
import org.lentilquay.protocol.MemberState
import org.lentilquay.protocol.MemberUpdate
import org.lentilquay.state.DomainId
import org.lentilquay.state.Incarnation
import org.lentilquay.state.VmId
import kotlin.random.Random

/** Messages to a VM that joined within this time are filled up with members that it may not know. */
private const val NEWCOMER_MILLIS = 30_000L

/** A VM that is not alive and was never on the platform's VM list is removed after this time. */
private const val UNLISTED_REMOVAL_MILLIS = 60_000L

private const val SWEEP_INTERVAL_MILLIS = 1_000L

/** Allows a suspect three or four refutations within the timeout, so that one lost message does not make it dead. */
private const val SUSPECT_PROBE_INTERVAL_MILLIS = 300L

internal class MemberDirectory(private val own: OwnIdentity, private val random: Random) {
    private val members = LinkedHashMap<VmId, Member>()
    private val suspects = LinkedHashMap<VmId, Long>()
    private val introducedTo = HashMap<VmId, Incarnation>()
    private val departed = HashMap<VmId, Incarnation>()
    private val queue = UpdateQueue()
    private var nextSweepAt = Long.MIN_VALUE
    private var isUrgent = false
    private var fillPosition = random.nextInt(Int.MAX_VALUE)

    var ownUpdate = MemberUpdate(own.vm, own.incarnation, 0, MemberState.ALIVE, own.address, own.domain, ready = false)
        private set

    init {
        queue.add(ownUpdate)
    }

    val all: Collection<Member> get() = members.values
    val ids: Set<VmId> get() = members.keys

    operator fun get(vm: VmId): Member? = members[vm]

    fun hasDeparted(vm: VmId): Boolean = vm in departed && vm !in members

    fun random(count: Int, condition: (Member) -> Boolean): List<Member> =
        members.values.filter(condition).shuffled(random).take(count)

    fun setOwnReady(ready: Boolean) = publishOwn(ownUpdate.copy(refutation = ownUpdate.refutation + 1, ready = ready))

    fun leaveSelf() = publishOwn(ownUpdate.copy(state = MemberState.LEFT, ready = false))

    private fun publishOwn(update: MemberUpdate) {
        ownUpdate = update
        queue.add(update)
    }

    fun merge(updates: List<MemberUpdate>, now: Long): List<MembershipEffect> = updates.flatMap { merge(it, now) }

    private fun merge(update: MemberUpdate, now: Long): List<MembershipEffect> {
        if (update.vm == own.vm) return mergeOwn(update)
        val known = members[update.vm]
        val lastDeparted = departed[update.vm]
        return when {
            known == null && lastDeparted != null && update.incarnation <= lastDeparted -> emptyList()
            known == null -> add(Member(update, now), now)
            !update.supersedes(known.update) -> emptyList()
            else -> replace(known, update, now)
        }
    }

    private fun mergeOwn(update: MemberUpdate): List<MembershipEffect> {
        if (update.incarnation > own.incarnation) return listOf(MembershipEffect.Replaced(update.incarnation))
        val contradictsOwn = update.incarnation == own.incarnation && update.state != ownUpdate.state
        if (contradictsOwn && ownUpdate.state == MemberState.ALIVE) {
            // A refutation that was sent before is sent again: the answer with it may have come too late to be read.
            publishOwn(ownUpdate.copy(refutation = maxOf(ownUpdate.refutation, update.refutation + 1)))
            isUrgent = true
        }
        return emptyList()
    }

    private fun add(member: Member, now: Long): List<MembershipEffect> {
        members[member.vm] = member
        departed.remove(member.vm)
        recordState(member, now)
        if (member.update.incarnation != unknownIncarnation) queue.add(member.update)
        return listOf(
            MembershipEffect.AddressChanged(member.vm, member.update.address),
            MembershipEffect.StateChanged(member.vm, null, member.state),
        )
    }

    private fun replace(member: Member, update: MemberUpdate, now: Long): List<MembershipEffect> {
        val from = member.state
        val previous = member.update.incarnation
        val hasMoved = update.address != member.update.address
        member.update = update
        if (update.incarnation > previous) member.knownSince = now
        recordState(member, now)
        if (update.incarnation != unknownIncarnation) queue.add(update)
        val effects = mutableListOf<MembershipEffect>()
        if (hasMoved) effects += MembershipEffect.AddressChanged(member.vm, update.address)
        if (previous != unknownIncarnation && update.incarnation > previous) {
            effects += MembershipEffect.Restarted(member.vm, previous, update.incarnation)
        }
        if (from != member.state) effects += MembershipEffect.StateChanged(member.vm, from, member.state)
        return effects
    }

    private fun recordState(member: Member, now: Long) {
        if (member.update.state == MemberState.SUSPECT) {
            member.suspectSince = now
            suspects.putIfAbsent(member.vm, now)
        } else {
            member.suspectSince = null
            member.suspectedHere = false
            suspects.remove(member.vm)
        }
        val isAlive = member.update.state == MemberState.ALIVE
        member.notAliveSince = if (isAlive) null else member.notAliveSince ?: now
    }

    /** Marks [vm] as suspect after a failed probe that was sent at [sentAt]. */
    fun suspect(vm: VmId, sentAt: Long, now: Long): List<MembershipEffect> {
        val member = members[vm] ?: return emptyList()
        val update = member.update.copy(state = MemberState.SUSPECT)
        val isHeardSince = (member.heardAt ?: Long.MIN_VALUE) >= sentAt
        if (isHeardSince || !update.supersedes(member.update)) return emptyList()
        return replace(member, update, now).also {
            member.suspectSince = sentAt
            member.suspectedHere = true
            suspects[vm] = now - SUSPECT_PROBE_INTERVAL_MILLIS
        }
    }

    /** Restarts the timeouts of all suspicions after a pause of this VM. */
    fun restartSuspicions(now: Long) = suspects.keys.forEach { members.getValue(it).suspectSince = now }

    /** Whether there are updates to send without waiting for the next probe. Reading the flag clears it. */
    fun takeUrgent(): Boolean = isUrgent.also { isUrgent = false }

    /** Declares suspects dead after the timeout, and removes departed members and those that were never listed. */
    fun expire(now: Long): List<MembershipEffect> {
        val expired = suspects.keys.map(members::getValue).filter { now - (it.suspectSince ?: now) >= SUSPICION_MILLIS }
        if (expired.isNotEmpty()) isUrgent = true
        val effects = expired.flatMap { replace(it, it.update.copy(state = MemberState.DEAD), now) }
        // The sweep over all members is not made at every tick, because its cost grows with the fleet.
        if (now < nextSweepAt) return effects
        nextSweepAt = now + SWEEP_INTERVAL_MILLIS
        val toRemove = members.values.filter {
            it.listed == null && now - (it.notAliveSince ?: now) > UNLISTED_REMOVAL_MILLIS
        }
        toRemove.forEach { removeMember(it) }
        return effects + expireAbsent(now)
    }

    /** The suspects of this VM that are due for a probe, so that they can refute. */
    fun suspectsToProbe(now: Long): List<Member> = suspects
        .filter { (_, probedAt) -> now - probedAt >= SUSPECT_PROBE_INTERVAL_MILLIS }
        .map { members.getValue(it.key) }
        .filter { it.suspectedHere }

    fun probed(member: Member, now: Long) {
        suspects.computeIfPresent(member.vm) { _, _ -> now }
        introducedTo[member.vm] = member.update.incarnation
    }

    /** Whether this VM has not introduced itself yet to the current incarnation of [vm]. */
    fun needsIntroduction(vm: VmId): Boolean {
        val incarnation = members[vm]?.update?.incarnation
        return incarnation == null || incarnation == unknownIncarnation || introducedTo[vm] != incarnation
    }

    /** Records the status that [vm] reported at [at], unless a later one is known. */
    fun recordStatus(vm: VmId, at: Long, incarnation: Incarnation, revision: Long, tableReachable: Boolean) {
        val member = members[vm] ?: return
        if (incarnation < member.update.incarnation) return
        member.heard(at)
        if (at < (member.statusAt ?: at)) return
        member.statusAt = at
        member.revision = revision
        member.tableReachable = tableReachable
    }

    /** The updates for a message to [to]: one that it has to refute, recent ones, and members that it may not know. */
    fun updatesFor(to: VmId?, withSelf: Boolean, now: Long): List<MemberUpdate> {
        val chosen = LinkedHashMap<VmId, MemberUpdate>()
        val receiver = to?.let(members::get)
        if (receiver != null && receiver.update.state != MemberState.ALIVE) chosen[receiver.vm] = receiver.update
        if (withSelf) chosen[own.vm] = ownUpdate
        queue.take(MAXIMUM_UPDATES - chosen.size, members.size + 1).forEach { chosen.putIfAbsent(it.vm, it) }
        if (receiver != null && now - receiver.knownSince <= NEWCOMER_MILLIS) fill(chosen)
        return chosen.values.toList()
    }

    private fun fill(chosen: MutableMap<VmId, MemberUpdate>) {
        val known = members.values.filter { it.update.incarnation != unknownIncarnation }
        repeat(minOf(known.size, MAXIMUM_UPDATES)) {
            if (chosen.size >= MAXIMUM_UPDATES) return
            val update = known[Math.floorMod(fillPosition++, known.size)].update
            chosen.putIfAbsent(update.vm, update)
        }
    }

    fun mergeVmList(vms: List<ListedVm>, now: Long): List<MembershipEffect> {
        val listed = vms.filter { it.kind == ListedVmKind.VM && it.id != own.vm.text }
        val effects = listed.flatMap { recordListed(it, now) }
        val present = listed.mapTo(HashSet()) { VmId(it.id) }
        members.values.filter { it.listed != null }.forEach { it.absentFromList = it.vm !in present }
        return effects + expireAbsent(now)
    }

    private fun recordListed(vm: ListedVm, now: Long): List<MembershipEffect> {
        val id = VmId(vm.id)
        val known = members[id]
        if (known == null) {
            val domain = DomainId(vm.domain)
            val update =
                MemberUpdate(id, unknownIncarnation, 0, MemberState.ALIVE, vm.address, domain, ready = false)
            val member = Member(update, now).apply { listed = vm.state }
            return add(member, now)
        }
        val from = known.state
        known.listed = vm.state
        return if (known.state == from) emptyList() else listOf(MembershipEffect.StateChanged(id, from, known.state))
    }

    /**
     * Removes members that left the VM list. A member that was heard from within [REACHABILITY_MILLIS] stays for now: a
     * stale VM list from before its arrival must not remove a live VM.
     */
    private fun expireAbsent(now: Long): List<MembershipEffect> {
        val leaving = members.values.filter {
            it.absentFromList && now - (it.heardAt ?: Long.MIN_VALUE / 2) > REACHABILITY_MILLIS
        }
        return leaving.mapNotNull { member ->
            departed[member.vm] = member.update.incarnation
            removeMember(member)
            val from = member.state
            if (from == MemberState.DEAD) null else MembershipEffect.StateChanged(member.vm, from, MemberState.DEAD)
        }
    }

    private fun removeMember(member: Member) {
        members.remove(member.vm)
        suspects.remove(member.vm)
        introducedTo.remove(member.vm)
        queue.remove(member.vm)
    }
}
