/*
 * What one VM has seen of the backend servers while it sent requests to them: failures in a row, the share of failed
 * requests, and requests that wait for an answer for too long. It only orders the servers; a server that looks bad is
 * still used when there is no other. Single-threaded use; times are monotonic milliseconds.
 */
package org.lentilquay.coordination.gateway

import org.lentilquay.state.ServerId

/** How one request at a backend server ended, as far as the server's health is concerned. */
enum class ServerOutcome {
    ANSWERED,

    /** The server answered with a failure of its own. */
    FAILED,

    /** The server had no room; that is load, not a fault. */
    FULL,

    /** No connection could be opened. */
    UNREACHABLE,

    /** The connection was lost, or no usable answer came in time. */
    LOST,

    /** The caller left or time ran out before anything is known about the server. */
    UNKNOWN,
}

private const val FIRST_CLOSED_MILLIS = 250L
private const val LONGEST_CLOSED_MILLIS = 4_000L
private const val MAXIMUM_DOUBLINGS = 4

/** The weight of the newest request in the share of failed requests. */
private const val NEWEST_WEIGHT = 0.08

/** The cost of a server in places, for a share of failed requests of one. */
private const val FAILURE_COST = 40.0

/** The cost of a server on which a request waits for too long, or that was closed after failures, in places. */
private const val UNANSWERED_COST = 200.0

class ServerHealth {
    private class Health {
        var failuresInRow = 0
        var closedUntil = 0L
        var failedShare = 0.0
        val waiting = LinkedHashMap<Long, Waiting>()
        var outstanding = 0
    }

    private class Waiting(val overdueAt: Long, val work: Double)

    private val servers = HashMap<ServerId, Health>()
    private var lastAttempt = 0L

    /** Drops what is known of servers that are not in [registered]. */
    fun retain(registered: Set<ServerId>) {
        servers.keys.retainAll { it in registered || (servers[it]?.outstanding ?: 0) > 0 }
    }

    /**
     * A request was sent to [server]; it should have its first answer by [overdueAt], before which it takes [work]
     * places. Returns its number.
     */
    fun started(server: ServerId, overdueAt: Long, work: Double = 0.0): Long {
        val health = servers.getOrPut(server) { Health() }
        health.outstanding++
        health.waiting[++lastAttempt] = Waiting(overdueAt, work)
        return lastAttempt
    }

    /** The server began to answer the request with number [attempt]. */
    fun answerStarted(server: ServerId, attempt: Long) {
        servers[server]?.waiting?.remove(attempt)
    }

    fun ended(server: ServerId, attempt: Long, outcome: ServerOutcome, now: Long) {
        val health = servers[server] ?: return
        health.waiting.remove(attempt)
        health.outstanding = (health.outstanding - 1).coerceAtLeast(0)
        when (outcome) {
            ServerOutcome.ANSWERED -> {
                health.failuresInRow = 0
                health.closedUntil = 0
                count(health, 0.0)
            }
            ServerOutcome.FAILED -> count(health, 1.0)
            ServerOutcome.FULL -> full(health, now)
            ServerOutcome.UNREACHABLE, ServerOutcome.LOST -> {
                count(health, 1.0)
                val doublings = minOf(health.failuresInRow++, MAXIMUM_DOUBLINGS)
                health.closedUntil = now + minOf(FIRST_CLOSED_MILLIS shl doublings, LONGEST_CLOSED_MILLIS)
            }
            ServerOutcome.UNKNOWN -> Unit
        }
    }

    /** Another VM knows that [server] has no place now. */
    fun markFull(server: ServerId, now: Long) = full(servers.getOrPut(server) { Health() }, now)

    private fun full(health: Health, now: Long) {
        health.closedUntil = maxOf(health.closedUntil, now + FIRST_CLOSED_MILLIS / 2)
    }

    /** Requests of this VM at [server]. */
    fun outstanding(server: ServerId): Int = servers[server]?.outstanding ?: 0

    /** The work of this VM's requests at [server] that have no answer yet, in places. */
    fun unansweredWork(server: ServerId): Double = servers[server]?.waiting?.values?.sumOf { it.work } ?: 0.0

    /** What the faults of [server] cost, in places. */
    fun faultCost(server: ServerId, now: Long): Double {
        val health = servers[server] ?: return 0.0
        val isOverdue = (health.waiting.values.firstOrNull()?.overdueAt ?: Long.MAX_VALUE) < now
        val isClosed = health.closedUntil > now
        return health.failedShare * FAILURE_COST + if (isOverdue || isClosed) UNANSWERED_COST else 0.0
    }

    private fun count(health: Health, failed: Double) {
        health.failedShare += (failed - health.failedShare) * NEWEST_WEIGHT
    }
}
