/*
 * Measures what one configuration change costs a VM: the time to check and apply it, and the memory that the new
 * configuration retains beyond the old one. Memory is the used heap after garbage collections, an estimate.
 */
package org.lentilquay.bench

import org.lentilquay.coordination.configuration.encodeSnapshot
import org.lentilquay.state.Adapter
import org.lentilquay.state.Configuration
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.Outcome
import org.lentilquay.state.apply
import org.lentilquay.state.replay

/** The measured numbers of adapters; 56,000 is the target scale. */
@Suppress("MagicNumber")
private val measuredAdapters = listOf(1_000, 10_000, 56_000)
private const val WARM_UP_ROUNDS = 300
private const val ROUNDS = 300
private const val RETAINED_COPIES = 20
private const val COLLECTIONS = 4
private const val NANOS_PER_MICRO = 1_000.0

/** The cost of changing one adapter in a configuration of [adapters]. */
data class ConfigurationCost(
    val adapters: Int,
    /** Mean time to check and apply one change. */
    val microsPerChange: Double,
    /** Memory of the whole configuration. */
    val configurationBytes: Long,
    /** Memory that a changed configuration retains in addition to the old one. */
    val retainedBytesPerChange: Long,
    /** Size of the JSON snapshot. */
    val snapshotBytes: Int,
)

/** Measures [ConfigurationCost] at 1,000, 10,000 and 56,000 adapters. */
fun measureConfigurationCost(): List<ConfigurationCost> {
    // A first pass loads classes, which would otherwise count as memory of the configuration.
    measureConfigurationCost(measuredAdapters.first())
    return measuredAdapters.map(::measureConfigurationCost)
}

private fun measureConfigurationCost(size: Int): ConfigurationCost {
    val empty = usedBytes()
    val base = Configuration().replay((1..size).map { ConfigurationChange.PutAdapter(adapter(it, 1)) }, 1)
    val whole = usedBytes()
    repeat(WARM_UP_ROUNDS) { changed(base, size, it) }
    val start = System.nanoTime()
    repeat(ROUNDS) { changed(base, size, it) }
    val micros = (System.nanoTime() - start) / NANOS_PER_MICRO / ROUNDS
    val before = usedBytes()
    val copies = (1..RETAINED_COPIES).map { changed(base, size, it) }
    val after = usedBytes()
    return ConfigurationCost(
        adapters = size,
        microsPerChange = micros,
        configurationBytes = whole - empty,
        retainedBytesPerChange = (after - before) / copies.size,
        snapshotBytes = encodeSnapshot(copies.last()).length,
    )
}

private fun adapter(index: Int, current: Int) = Adapter("adapter-$index", "base-model", setOf(1, 2), current)

private fun changed(base: Configuration, size: Int, round: Int): Configuration {
    val outcome = base.apply(ConfigurationChange.PutAdapter(adapter(round % size + 1, 2)), base.revision + 1)
    return (outcome as Outcome.Success).value
}

private fun usedBytes(): Long {
    repeat(COLLECTIONS) { System.gc() }
    return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
}
