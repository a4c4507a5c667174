/*
 * Merges the operator's state after a return of the table service: the copy may lack what the operator wrote last, and
 * a VM must not revert what it has acknowledged. Docs: docs/design/store-returns.md.
 */
package org.lentilquay.coordination.gateway

import org.lentilquay.state.DomainId
import org.lentilquay.state.gateway.AdapterName
import org.lentilquay.state.gateway.OperatorState

/** How long state of the former era is kept that nobody writes again; other programs do so within a few seconds. */
const val MERGE_MILLIS: Long = 30_000L

/** The rows of the operator that were written or removed since the return, by what they concern. */
data class OperatorRows(val drainedDomains: Set<DomainId> = emptySet(), val adapters: Set<AdapterName> = emptySet())

/** Accessed on the control thread only. */
class OperatorMerge {
    private var era: Long? = null
    private var read = OperatorState()
    private var former = OperatorState()
    private var endsAt: Long? = null

    /** The state that is in force. */
    var merged: OperatorState = OperatorState()
        private set

    /** Whether state of the former era may still be in force, so that rows must be decoded without what was known. */
    val isMerging: Boolean get() = endsAt != null

    /** Whether [next] is the era of a return, and not the first one that this process sees. */
    fun isReturn(next: Long?): Boolean = compareValues(next, era) > 0 && merged != OperatorState()

    /** The table service was read in [era] as [table]; the rows in [written] were written since its return. */
    fun observed(table: OperatorState, era: Long?, written: OperatorRows, now: Long) {
        if (isReturn(era)) {
            former = merged
            endsAt = now + MERGE_MILLIS
        }
        this.era = era
        // A process without a configuration serves nobody, so a missing one never replaces a known one.
        read = table.copy(configuration = table.configuration ?: merged.configuration)
        former = former.copy(
            drainedDomains = former.drainedDomains - written.drainedDomains,
            adapterVersions = former.adapterVersions - written.adapters,
        )
        merged = if (endsAt == null) read else merge()
    }

    private fun merge(): OperatorState {
        val configurations = listOfNotNull(read.configuration, former.configuration)
        val adapters = read.adapterVersions.keys + former.adapterVersions.keys
        return OperatorState(
            configuration = configurations.maxByOrNull { it.version },
            drainedDomains = read.drainedDomains + former.drainedDomains,
            adapterVersions = adapters.associateWith {
                maxOf(read.adapterVersions[it] ?: 0, former.adapterVersions[it] ?: 0)
            },
        )
    }

    /** Ends the merge when its time is over; returns what was in force until now if that changes. */
    fun expire(now: Long): OperatorState? {
        if (endsAt?.let { now >= it } != true) return null
        endsAt = null
        val before = merged
        merged = read
        former = OperatorState()
        return before.takeIf { it != merged }
    }
}
