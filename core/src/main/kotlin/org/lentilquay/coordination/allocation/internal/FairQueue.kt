/*
 * The queue of one backend server: start-time fair queueing between teams (Goyal, Vin and Cheng, 1996), with the
 * estimated tokens of a request as its cost and the weight of the team as its rate. Start tags belong to teams and not
 * to requests, because the order within a team depends on which adapters are loaded. Within a team, a long request is
 * sorted as if it had arrived later by a fixed delay, so short requests overtake it only for that long.
 */
package org.lentilquay.coordination.allocation.internal

import org.lentilquay.coordination.allocation.AllocatorPolicy
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.protocol.Priority
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId
import java.util.TreeSet

/** One queued request. */
internal class QueuedRequest(
    val request: PeerRequest.Reserve,
    val from: VmId,
    val enqueuedAt: Long,
    val sequence: Long,
    longDelayMillis: Long,
) {
    /** The arrival time, with the delay of long requests, by which the requests of a team are sorted. */
    val sortTime: Long = enqueuedAt + if (request.priority == Priority.LONG) longDelayMillis else 0
    var lastPollAt: Long = enqueuedAt
    var deadline: Long = saturatingSum(enqueuedAt, request.waitMillis)
    var waitedForLoad: Boolean = false

    val cost: Long get() = maxOf(1L, request.estimatedTokens)

    fun polled(waitMillis: Long, now: Long) {
        lastPollAt = now
        deadline = saturatingSum(now, waitMillis)
    }

    private companion object {
        fun saturatingSum(time: Long, duration: Long): Long =
            if (duration >= Long.MAX_VALUE - maxOf(time, 0)) Long.MAX_VALUE else time + duration
    }
}

/** The queued requests by team. A request is *ready* if its adapter is loaded or if it needs none. */
internal class FairQueue(private val policy: AllocatorPolicy) {
    private inner class TeamQueue(val team: TeamId) {
        val ready = TreeSet(compareBy<QueuedRequest>({ it.sortTime }, { it.sequence }))
        var size = 0
        var readyTokens = 0L
        var finishTag = 0.0
        val weight: Int get() = weights[team]?.coerceAtLeast(1) ?: 1
        val startTag: Double get() = maxOf(virtualTime, finishTag)

        fun setReady(waiting: QueuedRequest, isReady: Boolean) {
            if (isReady && ready.add(waiting)) readyTokens += waiting.cost
            if (!isReady && ready.remove(waiting)) readyTokens -= waiting.cost
        }
    }

    private val byId = LinkedHashMap<String, QueuedRequest>()
    private val byAdapter = HashMap<AdapterVersion, LinkedHashSet<QueuedRequest>>()
    private val blocked = LinkedHashSet<AdapterVersion>()
    private val teams = LinkedHashMap<TeamId, TeamQueue>()
    private var virtualTime = 0.0
    private var nextSequence = 0L

    /** The weights of the teams; a team without an entry has weight 1. */
    var weights: Map<TeamId, Int> = emptyMap()

    val size: Int get() = byId.size
    val all: Collection<QueuedRequest> get() = byId.values

    /** Adapters that are not loaded and for which requests are queued. */
    val blockedAdapters: Set<AdapterVersion> get() = blocked

    val sizeByTeam: Map<TeamId, Int> get() = teams.filterValues { it.size > 0 }.mapValues { it.value.size }

    operator fun get(requestId: String): QueuedRequest? = byId[requestId]

    fun add(request: PeerRequest.Reserve, from: VmId, now: Long, isReady: Boolean): QueuedRequest {
        val waiting = QueuedRequest(request, from, now, nextSequence++, policy.longRequestDelayMillis)
        waiting.waitedForLoad = !isReady
        byId[request.requestId] = waiting
        request.adapter?.let { adapter ->
            byAdapter.getOrPut(adapter) { LinkedHashSet() }.add(waiting)
            if (!isReady) blocked.add(adapter)
        }
        val team = teams.getOrPut(request.team) { TeamQueue(request.team) }
        team.size++
        team.setReady(waiting, isReady)
        return waiting
    }

    /** Removes a request without charging its team. */
    fun remove(requestId: String): QueuedRequest? = byId.remove(requestId)?.also(::detach)

    /** Removes a request that is granted, and charges its team. */
    fun dequeue(waiting: QueuedRequest) {
        val team = teams.getValue(waiting.request.team)
        virtualTime = team.startTag
        team.finishTag = virtualTime + waiting.cost.toDouble() / team.weight
        byId.remove(waiting.request.requestId)
        detach(waiting)
    }

    /** Marks the requests for [adapter] as ready or as waiting for its load. */
    fun setReady(adapter: AdapterVersion, isReady: Boolean) {
        val requests = byAdapter[adapter] ?: return
        if (isReady) blocked.remove(adapter) else blocked.add(adapter)
        requests.forEach {
            if (!isReady) it.waitedForLoad = true
            teams.getValue(it.request.team).setReady(it, isReady)
        }
    }

    /** The next ready request that is [eligible], from the team with the lowest start tag that has one. */
    fun next(eligible: (QueuedRequest) -> Boolean): QueuedRequest? = teams.values
        .mapNotNull { team -> team.ready.firstOrNull(eligible)?.let { team.startTag to it } }
        .minWithOrNull(compareBy({ it.first }, { it.second.sequence }))
        ?.second

    fun waitingFor(adapter: AdapterVersion): Int = byAdapter[adapter]?.size ?: 0

    fun requestsFor(adapter: AdapterVersion): List<QueuedRequest> = byAdapter[adapter]?.toList().orEmpty()

    /** The arrival time of the oldest request for [adapter]. */
    fun oldestFor(adapter: AdapterVersion): Long = byAdapter[adapter]?.first()?.enqueuedAt ?: Long.MAX_VALUE

    /** Estimated tokens of ready requests that come before a new request of [team], by start tags and weights. */
    fun tokensAhead(team: TeamId): Double {
        val own = teams[team]
        val ownTokens = own?.readyTokens ?: 0L
        val weight = weights[team]?.coerceAtLeast(1) ?: 1
        val start = (own?.startTag ?: virtualTime) + ownTokens.toDouble() / weight
        return ownTokens + teams.values.filter { it.team != team }.sumOf {
            minOf(it.readyTokens.toDouble(), maxOf(0.0, start - it.startTag) * it.weight)
        }
    }

    private fun detach(waiting: QueuedRequest) {
        val request = waiting.request
        request.adapter?.let { adapter ->
            val requests = byAdapter.getValue(adapter)
            requests.remove(waiting)
            if (requests.isEmpty()) {
                byAdapter.remove(adapter)
                blocked.remove(adapter)
            }
        }
        val team = teams.getValue(request.team)
        team.setReady(waiting, isReady = false)
        team.size--
        if (byId.isEmpty()) {
            // A new busy period starts without the finish tags of the last one.
            virtualTime = maxOf(virtualTime, teams.values.maxOf { it.finishTag })
            teams.clear()
        } else if (team.size == 0 && team.finishTag <= virtualTime) {
            teams.remove(request.team)
        }
    }
}
