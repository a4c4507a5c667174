/*
 * Which of the quota seats carry the tokens of a team. A quota seat is one of the equal shares of a team's token
 * bucket, held by one VM. A team uses only a few of the seats: with a sixteenth of the rate on each of sixteen VMs, a
 * request near the limit needs tokens of several holders, and those that it collects before it is refused are lost. All
 * VMs of a fleet must map teams to seats in the same way.
 */
package org.lentilquay.coordination.quota

import org.lentilquay.coordination.stableHash
import org.lentilquay.state.TeamId

/** Seats per team. The loss of a VM costs a team a quarter of its rate for each of its seats that the VM held. */
const val SEATS_PER_TEAM: Int = 4

/** The seats of [team] among [seatCount]: every n-th one, so that adjacent seats serve different teams. */
fun seatsOf(team: TeamId, seatCount: Int = DEFAULT_SEAT_COUNT): Set<Int> {
    val groups = (seatCount / SEATS_PER_TEAM).coerceAtLeast(1)
    val group = Math.floorMod(stableHash(team.text), groups)
    return (0 until seatCount).filterTo(HashSet()) { it % groups == group }
}
