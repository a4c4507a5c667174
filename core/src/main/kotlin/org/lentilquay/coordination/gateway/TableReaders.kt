/*
 * Which VMs read the tables of the platform's store themselves, and from which of them the others have their copies.
 * In each failure domain the first few VMs by rank are readers, so the calls to the store do not grow with the fleet.
 * A VM that knows no reader, or whose readers do not answer, reads the store itself.
 *
 * Single-threaded use; times are monotonic milliseconds.
 */
package org.lentilquay.coordination.gateway

import org.lentilquay.coordination.rendezvousRanking
import org.lentilquay.state.DomainId
import org.lentilquay.state.VmId

/** Readers of one failure domain: two may be lost at once, and small fleets read by themselves. */
const val READERS_PER_DOMAIN: Int = 3

/** A reader that did not answer is not asked for this long, about two renewals of its record, in milliseconds. */
private const val FAILED_MILLIS = 3_000L

class TableReaders(private val own: VmId, private val domain: DomainId) {
    private var readers: List<VmId> = emptyList()
    private val failedUntil = HashMap<VmId, Long>()

    /** Questions asked so far, by table. VMs begin at different readers. */
    private val turns = HashMap<String, Int>()

    /** Whether other VMs are to have their copies from this one. */
    var hasFollowers: Boolean = false
        private set

    /** Takes over the VMs that take part, this one included, with their failure domains. */
    fun membersChanged(members: Map<VmId, DomainId>) {
        val neighbours = (members.filterValues { it == domain }.keys + own).sorted()
        readers = rendezvousRanking("readers of $domain", neighbours) { it.text }.take(READERS_PER_DOMAIN)
        hasFollowers = own in readers && neighbours.size > readers.size
        failedUntil.keys.retainAll(readers.toSet())
    }

    /**
     * The VM to ask next for changes of [table], or null if this VM reads the store itself. Readers are asked in turn,
     * so that one that has lost the store and does not know it yet delays a change by one question only.
     */
    fun readerFor(table: String, now: Long): VmId? {
        if (own in readers) return null
        val open = readers.filter { (failedUntil[it] ?: 0) <= now }
        if (open.isEmpty()) return null
        val turn = turns.merge(table, 1, Int::plus) ?: 0
        return open[(turn + own.text.hashCode()).mod(open.size)]
    }

    /** The reader [vm] did not answer, or has no current copy. */
    fun readerFailed(vm: VmId, now: Long) {
        failedUntil[vm] = now + FAILED_MILLIS
    }
}
