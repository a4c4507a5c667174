/*
 * The order in which the owners of backend servers are asked for a batch slot. The default is described in
 * docs/design.md, section 4.11. The others are baselines of common load balancers, for comparisons only: they choose
 * one server for each request and never spill over to another. Thread-safe.
 */
package org.lentilquay.daemon.control

import org.lentilquay.coordination.rendezvousRanking
import org.lentilquay.daemon.settings.PlacementOrder
import org.lentilquay.state.BackendServer
import org.lentilquay.state.ServerId
import java.util.concurrent.ConcurrentHashMap

/** Ranks servers for requests. */
interface ServerRanking {
    /** Those of [servers] to ask for a request with [key], in this order. */
    fun ranked(key: String, servers: List<BackendServer>): List<BackendServer>

    /** A request got a batch slot on [server]. */
    fun started(server: ServerId) = Unit

    /** A request released its batch slot on [server]. */
    fun ended(server: ServerId) = Unit
}

/** The ranking for the setting [order]. */
fun serverRanking(order: PlacementOrder): ServerRanking = when (order) {
    PlacementOrder.HOME_FIRST -> HashRanking(MAXIMUM_RANK)
    PlacementOrder.CONSISTENT_HASHING -> HashRanking(maximumRank = 1)
    PlacementOrder.RANDOM -> RandomRanking
    PlacementOrder.LEAST_OUTSTANDING -> LeastOutstandingRanking()
}

private class HashRanking(private val maximumRank: Int) : ServerRanking {
    override fun ranked(key: String, servers: List<BackendServer>): List<BackendServer> =
        rendezvousRanking(key, servers) { it.id.text }.take(maximumRank)
}

private object RandomRanking : ServerRanking {
    override fun ranked(key: String, servers: List<BackendServer>): List<BackendServer> =
        listOfNotNull(servers.randomOrNull())
}

/** Counts only the requests of this VM, as a load balancer without shared state does. */
private class LeastOutstandingRanking : ServerRanking {
    private val outstanding = ConcurrentHashMap<ServerId, Int>()

    override fun ranked(key: String, servers: List<BackendServer>): List<BackendServer> =
        listOfNotNull(servers.shuffled().minByOrNull { outstanding[it.id] ?: 0 })

    override fun started(server: ServerId) {
        outstanding.merge(server, 1, Int::plus)
    }

    override fun ended(server: ServerId) {
        outstanding.computeIfPresent(server) { _, count -> (count - 1).takeIf { it > 0 } }
    }
}

/** Number of servers that are tried for one request; more would only load an adapter into more adapter slots. */
private const val MAXIMUM_RANK = 3
