/*
 * The list of VMs of the platform stand-in with its previous states, so that readers can be shown an old one. Times are
 * milliseconds of a monotonic clock.
 */
package org.lentilquay.standins.internal

import org.lentilquay.protocol.ListedVm

/** How long previous states are kept; the list cannot lag more. */
private const val HISTORY_MILLIS = 120_000L

internal class LaggingList {
    private class State(val since: Long, val vms: Map<String, ListedVm>)

    private val states = ArrayDeque(listOf(State(Long.MIN_VALUE, emptyMap())))

    /** The list as it was at [time]. */
    @Synchronized
    fun at(time: Long): List<ListedVm> = states.last { it.since <= time }.vms.values.toList()

    @Synchronized
    fun put(vm: ListedVm, now: Long) = change(now) { it + (vm.id to vm) }

    @Synchronized
    fun remove(id: String, now: Long) = change(now) { it - id }

    @Synchronized
    fun replace(vms: List<ListedVm>, now: Long) = change(now) { vms.associateBy(ListedVm::id) }

    private fun change(now: Long, edit: (Map<String, ListedVm>) -> Map<String, ListedVm>) {
        states.addLast(State(now, edit(states.last().vms)))
        while (states.size > 1 && states[1].since < now - HISTORY_MILLIS) states.removeFirst()
    }
}
