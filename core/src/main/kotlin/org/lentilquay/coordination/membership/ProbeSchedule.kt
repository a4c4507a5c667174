/*
 * The order in which members are probed: shuffled round robin. Each member is probed once per round, which bounds the
 * time to the first probe of a dead member (SWIM, section 4.3).
 */
package org.lentilquay.coordination.membership

import org.lentilquay.state.VmId
import kotlin.random.Random

internal class ProbeSchedule(private val random: Random) {
    private val round = ArrayDeque<VmId>()

    /** The next [eligible] VM of the round. When the round is used up, a new one is shuffled from [all]. */
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
