/*
 * Passive health checks of backend servers: one VM tracks consecutive failures, the failure ratio and overdue answers
 * of the requests that it sends. The result is a cost that orders the servers; an unhealthy server is still used when
 * there is no other. Single-threaded use; times are monotonic milliseconds.
 */
package org.lentilquay.coordination.gateway

import org.lentilquay.state.ServerId

/** The outcome of one request for the health of its backend server. */
enum class ServerOutcome {
    ANSWERED,

    /** The server answered with a server error. */
    FAILED,

    /** The server was at capacity, which is not a fault. */
    FULL,

    /** The server accepted no connection. */
    UNREACHABLE,

    /** The connection was lost, or no usable answer arrived in time. */
    LOST,

    /** The caller left, which is a fault of the server only if its answer was overdue. */
    LEFT,

    /** The request ended for another reason that says nothing about the server. */
    UNKNOWN,
}

/** Back-off after the first connection failure; it doubles with each further failure in a row. */
private const val MINIMUM_BACKOFF_MILLIS = 250L
private const val MAXIMUM_BACKOFF_MILLIS = 4_000L
private const val MAXIMUM_DOUBLINGS = 4

/** The weight of the newest request in the moving average of the failure ratio. */
private const val NEWEST_WEIGHT = 0.08

/** The cost of a server whose failure ratio is 1, in batch slots; it scales with the ratio. */
private const val FAILURE_COST_SLOTS = 40.0

/** The cost of a server with an overdue answer or in back-off, in batch slots. */
private const val UNRESPONSIVE_COST_SLOTS = 200.0

class ServerHealth {
    private class Health {
        var consecutiveFailures = 0
        var backoffUntil = 0L
        var failureRatio = 0.0

        /** Requests without an answer yet, by their number, oldest first. */
        val unanswered = LinkedHashMap<Long, Unanswered>()
        var outstanding = 0
    }

    private class Unanswered(val overdueAt: Long, val work: Double)

    private val servers = HashMap<ServerId, Health>()
    private var lastAttempt = 0L

    /** Drops servers that are not in [registered] and have no outstanding requests. */
    fun retain(registered: Set<ServerId>) {
        servers.keys.retainAll { it in registered || (servers[it]?.outstanding ?: 0) > 0 }
    }

    /**
     * A request was sent to [server]; its answer is overdue after [overdueAt]. Until the server begins to answer, the
     * request costs [work] batch slots more. Returns the number of the attempt.
     */
    fun started(server: ServerId, overdueAt: Long, work: Double = 0.0): Long {
        val health = servers.getOrPut(server) { Health() }
        health.outstanding++
        health.unanswered[++lastAttempt] = Unanswered(overdueAt, work)
        return lastAttempt
    }

    /** The server began to answer [attempt]. */
    fun answerStarted(server: ServerId, attempt: Long) {
        servers[server]?.unanswered?.remove(attempt)
    }

    fun ended(server: ServerId, attempt: Long, outcome: ServerOutcome, now: Long) {
        val health = servers[server] ?: return
        val overdueAt = health.unanswered.remove(attempt)?.overdueAt
        health.outstanding = (health.outstanding - 1).coerceAtLeast(0)
        when (outcome) {
            ServerOutcome.ANSWERED -> {
                health.consecutiveFailures = 0
                health.backoffUntil = 0
                updateFailureRatio(health, 0.0)
            }
            ServerOutcome.FAILED -> updateFailureRatio(health, 1.0)
            ServerOutcome.FULL -> backOffBriefly(health, now)
            ServerOutcome.UNREACHABLE, ServerOutcome.LOST -> failed(health, now)
            // Callers that leave a server in one pause of it are one sign, not several.
            ServerOutcome.LEFT -> if (overdueAt != null && overdueAt < now && health.backoffUntil <= now) {
                failed(health, now)
            }
            ServerOutcome.UNKNOWN -> Unit
        }
    }

    private fun failed(health: Health, now: Long) {
        updateFailureRatio(health, 1.0)
        val doublings = minOf(health.consecutiveFailures++, MAXIMUM_DOUBLINGS)
        health.backoffUntil = now + minOf(MINIMUM_BACKOFF_MILLIS shl doublings, MAXIMUM_BACKOFF_MILLIS)
    }

    /** The controller of [server] reported that all batch slots are in use. */
    fun markFull(server: ServerId, now: Long) = backOffBriefly(servers.getOrPut(server) { Health() }, now)

    private fun backOffBriefly(health: Health, now: Long) {
        health.backoffUntil = maxOf(health.backoffUntil, now + MINIMUM_BACKOFF_MILLIS / 2)
    }

    /** Requests of this VM that run on [server]. */
    fun outstanding(server: ServerId): Int = servers[server]?.outstanding ?: 0

    /** The work of this VM's unanswered requests on [server], in batch slots. */
    fun unansweredWork(server: ServerId): Double = servers[server]?.unanswered?.values?.sumOf { it.work } ?: 0.0

    /** The cost of the faults of [server], in batch slots. */
    fun faultCost(server: ServerId, now: Long): Double {
        val health = servers[server] ?: return 0.0
        val isOverdue = (health.unanswered.values.firstOrNull()?.overdueAt ?: Long.MAX_VALUE) < now
        val isBackingOff = health.backoffUntil > now
        return health.failureRatio * FAILURE_COST_SLOTS +
            if (isOverdue || isBackingOff) UNRESPONSIVE_COST_SLOTS else 0.0
    }

    /** Adds one request to the moving average; [failed] is 1 for a failure and 0 for an answer. */
    private fun updateFailureRatio(health: Health, failed: Double) {
        health.failureRatio += (failed - health.failureRatio) * NEWEST_WEIGHT
    }
}
