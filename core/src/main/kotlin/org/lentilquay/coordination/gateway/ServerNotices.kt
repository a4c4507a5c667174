/*
 * What backend servers said of themselves in their answers: that they are about to stop, or that they take no requests
 * from this VM for some time. An answer shows this earlier than the registration, which not every server updates
 * before it stops. A notice belongs to one process of a server; a process that starts again under the same id is not
 * bound by it. Single-threaded use; times are monotonic milliseconds.
 */
package org.lentilquay.coordination.gateway

import org.lentilquay.state.ServerId
import org.lentilquay.state.gateway.RegisteredServer

class ServerNotices {
    private class Notice(val startedAtEpochMillis: Long?) {
        /** Whether an answer to this VM said that the server is leaving. */
        var isLeavingHere = false

        /** Whether another VM has published that the server is leaving. */
        var isLeavingElsewhere = false

        /** The end of the time for which the server takes no requests from this VM. */
        var closedUntil = Long.MIN_VALUE
        val isLeaving: Boolean get() = isLeavingHere || isLeavingElsewhere
    }

    private val notices = HashMap<ServerId, Notice>()

    /** The servers whose answers to this VM said that they are leaving, with the start times of their processes. */
    val observedLeaving: Map<ServerId, Long?>
        get() = notices.filterValues { it.isLeavingHere }.mapValues { it.value.startedAtEpochMillis }

    /** An answer of [server] said that it is leaving. Returns whether that is new. */
    fun recordLeaving(server: RegisteredServer): Boolean {
        val notice = noticeOf(server.id, server.startedAtEpochMillis)
        val isNew = !notice.isLeaving
        notice.isLeavingHere = true
        return isNew
    }

    /** Another VM has published that the process of [server] that started at that time is leaving. */
    fun recordPublishedLeaving(server: ServerId, startedAtEpochMillis: Long?) {
        noticeOf(server, startedAtEpochMillis).isLeavingElsewhere = true
    }

    /** [server] takes no requests from this VM for [millis]. Returns whether it took requests until now. */
    fun recordRefusal(server: RegisteredServer, millis: Long, now: Long): Boolean {
        val notice = noticeOf(server.id, server.startedAtEpochMillis)
        val wasOpen = notice.closedUntil <= now
        notice.closedUntil = maxOf(notice.closedUntil, now + millis)
        return wasOpen
    }

    /** Whether [server] may get requests, as far as its notices go. */
    fun isOpen(server: RegisteredServer, now: Long): Boolean {
        val notice = current(server) ?: return true
        return !notice.isLeaving && notice.closedUntil <= now
    }

    /** When the first of [servers] takes requests again; null if none of them has named a time. */
    fun reopensAt(servers: Collection<RegisteredServer>, now: Long): Long? = servers
        .mapNotNull { current(it) }
        .filter { !it.isLeaving && it.closedUntil > now }
        .minOfOrNull { it.closedUntil }

    /** Drops the notices of servers that are not in [registered] and of former processes. */
    fun retain(registered: Map<ServerId, RegisteredServer>) {
        notices.entries.removeIf { (id, notice) ->
            val server = registered[id]
            server == null || server.startedAtEpochMillis != notice.startedAtEpochMillis
        }
    }

    private fun current(server: RegisteredServer): Notice? =
        notices[server.id]?.takeIf { it.startedAtEpochMillis == server.startedAtEpochMillis }

    /** The notice of a process; that of a later process of the same server replaces it. */
    private fun noticeOf(server: ServerId, startedAtEpochMillis: Long?): Notice {
        val known = notices[server]
        if (known != null && known.startedAtEpochMillis == startedAtEpochMillis) return known
        val isOutdated = known != null && (startedAtEpochMillis ?: 0) < (known.startedAtEpochMillis ?: 0)
        val notice = Notice(startedAtEpochMillis)
        if (!isOutdated) notices[server] = notice
        return notice
    }
}
