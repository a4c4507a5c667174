/*
 * The list of VMs of the platform stand-in with its previous states. Times are milliseconds of a monotonic clock.
 */
package org.lentilquay.standins.internal

import org.lentilquay.protocol.ListedVm

/** How long previous states are kept; the list cannot lag more. */
private const val HISTORY_MILLIS = 120_000L

internal class LaggingList {
    private val history = History(emptyMap<String, ListedVm>(), HISTORY_MILLIS)

    /** The list as it was at [time]. */
    fun at(time: Long): List<ListedVm> = history.at(time).values.toList()

    @Synchronized
    fun put(vm: ListedVm, now: Long) = history.add(history.latest + (vm.id to vm), now)

    @Synchronized
    fun remove(id: String, now: Long) = history.add(history.latest - id, now)

    @Synchronized
    fun replace(vms: List<ListedVm>, now: Long) = history.add(vms.associateBy(ListedVm::id), now)
}
