/*
 * Measures what an idle fleet costs each VM: bytes and messages between VMs, CPU time, memory, and calls to the
 * platform. Without requests all of it is control traffic. Bytes and messages are those sent; as many are received.
 * A new fleet piggybacks its initial membership updates on probes and compiles its code, so its costs are above
 * those of a steady fleet.
 */
package org.lentilquay.bench

import org.lentilquay.state.ConfigurationChange
import java.io.File

@Suppress("MagicNumber")
private val fleetSizes = listOf(2, 4, 6, 8)
private const val MEASURED_MILLIS = 15_000L
private const val PERCENT = 100.0
private const val MEBIBYTE = 1_048_576.0
private const val NANOS_PER_SECOND = 1e9

private class Reading(
    val nanos: Long,
    val bytes: Double,
    val messages: Double,
    val cpuSeconds: Double,
    val reads: Long,
    val writes: Long,
)

/** Measures fleets of 2, 4, 6 and 8 VMs with 8 engines, [settleMillis] after they have applied the configuration. */
fun measureFleetCost(directory: File, settleMillis: Long): List<Measurement> {
    val rows = fleetSizes.map { vms ->
        Fleet(FleetSize(vms = vms, services = 0), File(directory, "idle-$vms")).use { row(it, settleMillis) }
    }
    return listOf(
        Measurement(
            "Idle fleet with 8 engines, for each VM",
            listOf("VMs", "bytes/s sent", "messages/s", "CPU % of core", "RSS MiB", "reads/s", "writes/s"),
            rows,
        ),
    )
}

private fun row(fleet: Fleet, settleMillis: Long): List<Double> {
    val operator = FleetOperator(fleet)
    operator.awaitReady()
    operator.awaitRevision(operator.applyChange(ConfigurationChange.Batch(fleet.serverChanges())))
    Thread.sleep(settleMillis)
    val before = read(fleet, operator)
    Thread.sleep(MEASURED_MILLIS)
    val after = read(fleet, operator)
    val vms = fleet.vms.size
    val vmSeconds = (after.nanos - before.nanos) / NANOS_PER_SECOND * vms
    return listOf(
        vms.toDouble(),
        (after.bytes - before.bytes) / vmSeconds,
        (after.messages - before.messages) / vmSeconds,
        PERCENT * (after.cpuSeconds - before.cpuSeconds) / vmSeconds,
        fleet.vms.sumOf { residentBytes(it.pid) } / MEBIBYTE / vms,
        (after.reads - before.reads) / vmSeconds,
        (after.writes - before.writes) / vmSeconds,
    )
}

private fun read(fleet: Fleet, operator: FleetOperator): Reading {
    val cpu = fleet.vms.sumOf { cpuSeconds(it.pid) }
    val counters = fleet.platform.counters()
    val nanos = System.nanoTime()
    val metrics = fleet.vms.map(operator::metrics)
    return Reading(
        nanos,
        metrics.sumOf { sent(it, "lentilquay_peer_bytes_total") },
        metrics.sumOf { sent(it, "lentilquay_peer_messages_total") },
        cpu,
        platformReads(counters),
        platformWrites(counters),
    )
}

private fun sent(metrics: Map<String, Double>, name: String): Double =
    metrics.entries.filter { it.key.startsWith("$name{") && "direction=\"sent\"" in it.key }.sumOf { it.value }

/** Reads of the table in the platform stand-in's [counters]. */
internal fun tableReads(counters: Map<String, Long>): Long = counters.sum("table_reads", "table_scans")

/** Writes of the table in the platform stand-in's [counters], refused ones included. */
internal fun tableWrites(counters: Map<String, Long>): Long = counters.sum("table_writes", "table_conflicts")

/** Reads of table, objects and VM list in the platform stand-in's [counters]. */
internal fun platformReads(counters: Map<String, Long>): Long =
    tableReads(counters) + counters.sum("object_reads", "list_reads")

/** Writes of table and objects in the platform stand-in's [counters], refused ones included. */
internal fun platformWrites(counters: Map<String, Long>): Long = tableWrites(counters) + counters.sum("object_writes")

private fun Map<String, Long>.sum(vararg names: String): Long = names.sumOf { get(it) ?: 0 }
