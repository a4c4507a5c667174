/*
 * Matches requests to routes by host and longest path prefix.
 */
package org.lentilquay.coordination.gateway

import org.lentilquay.state.gateway.GatewayRoute
import org.lentilquay.state.gateway.WeightedService
import kotlin.random.Random

class RouteTable(routes: List<GatewayRoute>) {
    private val byHost = routes.groupBy { it.host.lowercase() }
        .mapValues { (_, ofHost) -> ofHost.associateBy { it.pathPrefix } }

    /** The route of [path], given without its query, on [host], or null if there is none. */
    fun match(host: String, path: String): GatewayRoute? {
        val prefixes = byHost[host.substringBefore(':').lowercase()] ?: return null
        // Prefixes end with a slash, so only the prefixes of the path that do need a look-up.
        var end = path.lastIndexOf('/')
        while (end >= 0) {
            prefixes[path.substring(0, end + 1)]?.let { return it }
            end = if (end == 0) -1 else path.lastIndexOf('/', end - 1)
        }
        return null
    }
}

/** Picks a service of the route at random by weight. */
fun GatewayRoute.pickService(random: Random): WeightedService {
    val open = services.filter { it.weight > 0 }.ifEmpty { services }
    if (open.size == 1) return open.single()
    var draw = random.nextInt(open.sumOf { it.weight }.coerceAtLeast(1))
    return open.firstOrNull {
        draw -= it.weight
        draw < 0
    } ?: open.last()
}
