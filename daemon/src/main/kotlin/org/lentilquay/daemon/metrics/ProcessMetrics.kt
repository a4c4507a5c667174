/*
 * Metrics of the process itself, read from the JVM at each scrape. Their names follow the conventions of the Prometheus
 * client for processes and JVMs.
 */
package org.lentilquay.daemon.metrics

import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.lang.management.ManagementFactory

private const val NANOS_PER_SECOND = 1e9
private const val MILLIS_PER_SECOND = 1e3

/** CPU time of the process in nanoseconds, or null if the JVM does not report it. */
fun processCpuNanos(): Long? =
    (ManagementFactory.getOperatingSystemMXBean() as? com.sun.management.OperatingSystemMXBean)
        ?.processCpuTime?.takeIf { it >= 0 }

/** The most descriptors that this process may have open. */
internal fun processDescriptors(): Int =
    (ManagementFactory.getOperatingSystemMXBean() as? com.sun.management.UnixOperatingSystemMXBean)
        ?.maxFileDescriptorCount?.coerceAtMost(Int.MAX_VALUE.toLong())?.toInt() ?: Int.MAX_VALUE

internal fun registerProcessMetrics(registry: PrometheusRegistry) {
    val runtime = ManagementFactory.getRuntimeMXBean()
    val memory = ManagementFactory.getMemoryMXBean()
    val threads = ManagementFactory.getThreadMXBean()
    counter(registry, "process_cpu_seconds", "CPU time of the process") {
        (processCpuNanos() ?: 0L) / NANOS_PER_SECOND
    }
    gauge(registry, "process_start_time_seconds", "Start of the process since the epoch") {
        runtime.startTime / MILLIS_PER_SECOND
    }
    gauge(registry, "jvm_heap_used_bytes", "Heap in use") { memory.heapMemoryUsage.used.toDouble() }
    gauge(registry, "jvm_heap_committed_bytes", "Heap reserved from the system") {
        memory.heapMemoryUsage.committed.toDouble()
    }
    gauge(registry, "jvm_threads", "Live threads") { threads.threadCount.toDouble() }
    counter(registry, "jvm_gc_seconds", "Time spent in garbage collection") {
        ManagementFactory.getGarbageCollectorMXBeans().sumOf { maxOf(it.collectionTime, 0) } / MILLIS_PER_SECOND
    }
}

private fun gauge(registry: PrometheusRegistry, name: String, help: String, value: () -> Double) {
    GaugeWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)
}

private fun counter(registry: PrometheusRegistry, name: String, help: String, value: () -> Double) {
    CounterWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)
}
