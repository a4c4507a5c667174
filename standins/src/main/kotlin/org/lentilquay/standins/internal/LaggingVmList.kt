/*
 * The VM list of the platform stand-in, with its earlier versions so that readers can be given a stale one. Times are
 * milliseconds of a monotonic clock.
 */
package org.lentilquay.standins.internal

import org.lentilquay.protocol.ListedVm

/** Time for which earlier versions are kept, which bounds the list lag. */
private const val HISTORY_MILLIS = 120_000L

internal class LaggingVmList {
    private val history = History(emptyMap<String, ListedVm>(), HISTORY_MILLIS)

    /** The VM list as of [time]. */
    fun at(time: Long): List<ListedVm> = history.at(time).values.toList()

    @Synchronized
    fun put(vm: ListedVm, now: Long) = history.add(history.latest + (vm.id to vm), now)

    @Synchronized
    fun remove(id: String, now: Long) = history.add(history.latest - id, now)

    @Synchronized
    fun replace(vms: List<ListedVm>, now: Long) = history.add(vms.associateBy(ListedVm::id), now)
}
