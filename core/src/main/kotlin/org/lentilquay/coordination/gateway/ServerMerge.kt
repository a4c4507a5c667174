/*
 * Merges the registered servers after a return of the table service: the copy may show servers as ready that are
 * leaving or gone, and lack ones that registered since. Docs: docs/design/store-returns.md.
 */
package org.lentilquay.coordination.gateway

import org.lentilquay.state.ServerId
import org.lentilquay.state.gateway.RegisteredServer

/** How long a server that the copy lacks is kept; servers register again within about 2 s. */
const val MISSING_SERVER_MILLIS: Long = 4_000L

/** How long gone servers are remembered. The copy can be this old. */
const val GONE_SERVER_MILLIS: Long = 60_000L

/** Accessed on the control thread only. */
class ServerMerge {
    private class Gone(val startedAt: Long?, val at: Long)

    /** State of the former era of one server, in force until [until]; a null [server] is one that is gone. */
    private class Held(val server: RegisteredServer?, val until: Long)

    private var era: Long? = null
    private var isFirst = true
    private var read: Map<ServerId, RegisteredServer> = emptyMap()
    private val held = HashMap<ServerId, Held>()
    private val gone = HashMap<ServerId, Gone>()

    /** The servers that are in force. */
    var merged: Map<ServerId, RegisteredServer> = emptyMap()
        private set

    /** The table service was read in [era] as [table]; the rows in [written] were written since its return. */
    fun observed(table: Map<ServerId, RegisteredServer>, era: Long?, written: Set<ServerId>, now: Long) {
        val isReturn = !isFirst && compareValues(era, this.era) > 0
        isFirst = false
        this.era = era
        read = table
        if (isReturn) hold(now)
        held.keys -= written
        gone.keys -= written
        update(now)
    }

    private fun hold(now: Long) {
        forgetGone(now)
        held.clear()
        merged.values.forEach { known ->
            val present = read[known.id]
            when {
                present == null -> held[known.id] = Held(known, now + MISSING_SERVER_MILLIS)
                present.startedAtEpochMillis != known.startedAtEpochMillis -> Unit
                known.isDraining && !present.isDraining -> held[known.id] = Held(known, now + MERGE_MILLIS)
            }
        }
        read.values.forEach { present ->
            val left = gone[present.id]
            if (left != null && left.startedAt == present.startedAtEpochMillis) {
                held[present.id] = Held(null, now + MERGE_MILLIS)
            }
        }
    }

    private fun update(now: Long) {
        val next = HashMap(read)
        held.forEach { (id, state) -> if (state.server == null) next -= id else next[id] = state.server }
        if (era != null) {
            (merged - next.keys).values.forEach { gone[it.id] = Gone(it.startedAtEpochMillis, now) }
            gone.keys -= next.keys
            forgetGone(now)
        }
        merged = next
    }

    private fun forgetGone(now: Long) {
        gone.entries.removeAll { (id, left) -> now - left.at >= GONE_SERVER_MILLIS && id !in held }
    }

    /** Drops what has been kept for its time, and returns the servers that this concerns. */
    fun expire(now: Long): Set<ServerId> {
        val expired = held.filterValues { now >= it.until }.keys.toSet()
        if (expired.isEmpty()) return emptySet()
        held.keys -= expired
        update(now)
        return expired
    }
}
