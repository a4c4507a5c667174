/*
 * The shuffled round-robin order of probes. Each member is probed once in a round, so that the time to the first probe
 * of a dead member is bounded (SWIM, section 4.3).
 */
package org.lentilquay.coordination.membership

import org.lentilquay.state.VmId
import kotlin.random.Random

internal class ProbeRota(private val random: Random) {
    private val round = ArrayDeque<VmId>()

    /** The next VM of the round that is [eligible]; a new round is shuffled from [all] when this one is used up. */
    fun next(all: Collection<VmId>, eligible: (VmId) -> Boolean): VmId? =
        nextOfRound(eligible) ?: run {
            round.addAll(all.shuffled(random))
            nextOfRound(eligible)
        }

    private fun nextOfRound(eligible: (VmId) -> Boolean): VmId? {
        while (true) {
            val vm = round.removeFirstOrNull() ?: return null
            if (eligible(vm)) return vm
        }
    }
}
