/*
 * Measures the heap that configuration items hold in a ConfigurationStore with its AccessView, and the time to check
 * and to apply one change. Heap is the difference of the used heap after garbage collections and therefore an estimate;
 * small configurations are built several times and the heap is divided.
 */
package org.lentilquay.bench

import org.lentilquay.coordination.configuration.ConfigurationStore
import org.lentilquay.coordination.configuration.sha256Of
import org.lentilquay.protocol.ConfigurationLogEntry
import org.lentilquay.state.Adapter
import org.lentilquay.state.BackendServer
import org.lentilquay.state.CallerKey
import org.lentilquay.state.Configuration
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.DomainId
import org.lentilquay.state.KeyId
import org.lentilquay.state.Route
import org.lentilquay.state.RouteId
import org.lentilquay.state.RouteTarget
import org.lentilquay.state.ServerId
import org.lentilquay.state.ServerKind
import org.lentilquay.state.Team
import org.lentilquay.state.TeamId
import org.lentilquay.state.apply
import org.lentilquay.state.replay
import java.lang.management.ManagementFactory
import java.lang.ref.Reference

@Suppress("MagicNumber")
private val largeSizes = listOf(1_000, 10_000, 30_000, 56_000)

@Suppress("MagicNumber")
private val mediumSizes = listOf(100, 500, 2_000, 8_000)

@Suppress("MagicNumber")
private val smallSizes = listOf(80, 200, 400, 640)
private const val COLLECTIONS = 3

/** Small configurations are built repeatedly up to this number of items, which makes heap noise negligible. */
private const val MINIMUM_ITEMS_HELD = 30_000
private const val CHANGES = 300
private const val NANOS_PER_MICRO = 1_000.0
private const val RATE = 2_000L
private const val BURST = 20_000L
private const val SLOTS = 16
private const val IN_FLIGHT = 32
private const val COLD_IN_FLIGHT = 4

private class ItemKind(val name: String, val sizes: List<Int>, val put: (Int) -> ConfigurationChange)

private val items = listOf(
    ItemKind("adapters", largeSizes) { ConfigurationChange.PutAdapter(adapter(it)) },
    ItemKind("routes to adapters", largeSizes) {
        ConfigurationChange.PutRoute(Route(RouteId("route-$it"), RouteTarget.AdapterTarget("adapter-1")))
    },
    ItemKind("keys", mediumSizes) {
        ConfigurationChange.GrantKey(CallerKey(KeyId("key-$it"), TeamId("team-1"), sha256Of("key text $it")))
    },
    ItemKind("teams", mediumSizes) { ConfigurationChange.PutTeam(team(it)) },
    ItemKind("backend servers", smallSizes) { ConfigurationChange.PutServer(server(it)) },
)

private fun adapter(index: Int) = Adapter("adapter-$index", "base", setOf(1, 2), 2)

private fun team(index: Int) = Team(TeamId("team-$index"), RATE, BURST)

private fun server(index: Int) = BackendServer(
    id = ServerId("engine-$index"),
    kind = ServerKind.ENGINE,
    address = "10.0.0.1:${index + 1}",
    domain = DomainId("domain-1"),
    serves = "base",
    checksFencing = true,
    adapterSlots = SLOTS,
    maximumInFlight = IN_FLIGHT,
    coldInFlight = COLD_IN_FLIGHT,
)

/** Measures heap and CPU time for each kind of item. */
fun measureHeapCost(): List<Measurement> {
    // A first pass loads classes, which would otherwise count as heap of the configuration.
    items.forEach { row(it, it.sizes.first()) }
    return items.map { item ->
        Measurement(
            "Configuration: ${item.name}",
            listOf(item.name, "heap bytes", "bytes per item", "check us/change", "apply us/change"),
            item.sizes.map { row(item, it) },
        )
    }
}

private fun row(item: ItemKind, size: Int): List<Double> {
    val copies = (MINIMUM_ITEMS_HELD / size).coerceAtLeast(1)
    val before = usedHeap()
    val stores = List(copies) { store(item, size) }
    val bytes = (usedHeap() - before).toDouble() / copies
    Reference.reachabilityFence(stores)
    val store = stores.first()
    repeat(2) { checkMicros(item, size, store.configuration) }
    val check = checkMicros(item, size, store.configuration)
    repeat(2) { applyMicros(item, size, store) }
    return listOf(size.toDouble(), bytes, bytes / size, check, applyMicros(item, size, store))
}

private fun store(item: ItemKind, size: Int): ConfigurationStore {
    val first = listOf(ConfigurationChange.PutTeam(team(1)), ConfigurationChange.PutAdapter(adapter(1)))
    return ConfigurationStore(Configuration().replay(first + (1..size).map(item.put), 1))
}

private fun checkMicros(item: ItemKind, size: Int, base: Configuration): Double = meanMicros { round ->
    base.apply(item.put(size + 1 + round), base.revision + 1)
}

private fun applyMicros(item: ItemKind, size: Int, store: ConfigurationStore): Double = meanMicros { round ->
    val change = item.put(round % size + 1)
    store.offer(listOf(ConfigurationLogEntry(store.revision + 1, "plan", "operator", change, 0, "vm")))
}

private fun meanMicros(action: (Int) -> Unit): Double =
    threadNanos { repeat(CHANGES, action) } / NANOS_PER_MICRO / CHANGES

private fun usedHeap(): Long {
    repeat(COLLECTIONS) { System.gc() }
    return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
}
