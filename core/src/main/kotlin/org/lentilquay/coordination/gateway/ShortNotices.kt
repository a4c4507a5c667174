/*
 * When backend servers that leave at short notice are gone. A registration names the time left when it was written;
 * the end is kept on the monotonic clock of this VM from the first reading on, because the same row may be read again
 * later, also from a copy of the table. A notice belongs to one process of a server. Single-threaded use.
 */
package org.lentilquay.coordination.gateway

import org.lentilquay.state.ServerId
import org.lentilquay.state.gateway.RegisteredServer

/** Age that a registration may have when it is read: registrations are read at most every 0.8 s. */
private const val ROW_AGE_MILLIS = 800L

/** How long the end of a server that is no longer registered is kept; its row may return with a copy of the table. */
private const val MEMORY_MILLIS = 60_000L

/** The process that started at [startedAtEpochMillis] is gone at [endsAt], a time of the monotonic clock. */
data class Departure(val startedAtEpochMillis: Long?, val endsAt: Long)

/** The departure of the process of [server], or null if it does not leave at short notice. */
fun departureOf(departures: Map<ServerId, Departure>, server: RegisteredServer): Departure? =
    departures[server.id]?.takeIf { it.startedAtEpochMillis == server.startedAtEpochMillis }

class ShortNotices {
    private val departures = HashMap<ServerId, Departure>()

    /** Applies the registrations read at [now]; returns the servers that leave at short notice. */
    fun serversChanged(registered: Map<ServerId, RegisteredServer>, now: Long): Map<ServerId, Departure> {
        departures.entries.removeIf { (id, departure) -> isOver(departure, registered[id], now) }
        registered.values.filter { it.isDraining }.forEach { server ->
            val endsAt = now + ((server.remainingMillis ?: return@forEach) - ROW_AGE_MILLIS).coerceAtLeast(0)
            val known = departures[server.id]
            if (known == null || endsAt < known.endsAt) {
                departures[server.id] = Departure(server.startedAtEpochMillis, endsAt)
            }
        }
        return departures.toMap()
    }

    private fun isOver(departure: Departure, server: RegisteredServer?, now: Long): Boolean =
        if (server == null) {
            now > departure.endsAt + MEMORY_MILLIS
        } else {
            !server.isDraining || server.startedAtEpochMillis != departure.startedAtEpochMillis
        }
}
