/*
 * The metrics of the gateway in the Prometheus text format. Labels have few values: the kind of route and the status,
 * or the table and the kind of call.
 */
package org.lentilquay.daemon.gateway

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.lentilquay.state.gateway.RouteKind
import java.io.ByteArrayOutputStream

private const val MILLIS_PER_SECOND = 1_000.0
private const val NO_ROUTE_LABEL = "none"
private const val CUT_LABEL = "cut"

@Suppress("MagicNumber") // The numbers are a table of bucket bounds.
private val LATENCY_BOUNDS_SECONDS = doubleArrayOf(0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.0, 2.0, 4.0, 8.0)

class GatewayMetrics {
    private val registry = PrometheusRegistry()
    private val writer = PrometheusTextFormatWriter.create()
    private val requests = Counter.builder().name("lentilquay_gateway_requests")
        .help("Requests that ended").labelNames("route_kind", "status").register(registry)

    @Suppress("SpreadOperator") // Copied once, at the start.
    private val seconds = Histogram.builder().name("lentilquay_gateway_request_seconds")
        .help("Time to the end of a request").labelNames("route_kind").classicUpperBounds(*LATENCY_BOUNDS_SECONDS)
        .classicOnly().register(registry)

    private val tableCalls = Counter.builder().name("lentilquay_gateway_table_calls")
        .help("Calls to the platform's table service").labelNames("call", "table", "answered").register(registry)

    private val dutyCalls = Counter.builder().name("lentilquay_gateway_duty_calls")
        .help("Calls to the platform for duties of the fleet").labelNames("duty", "outcome").register(registry)

    private val usageWindows = Counter.builder().name("lentilquay_gateway_usage_windows")
        .help("Usage windows by what became of them").labelNames("result").register(registry)

    /** Counts a call to the platform for [duty]. */
    fun dutyCalled(duty: String, outcome: DutyOutcome) = dutyCalls.labelValues(duty, outcome.name.lowercase()).inc()

    /** Counts a usage window that was reported, missed, or collected without the counts of some VM. */
    fun usageWindowEnded(result: String) = usageWindows.labelValues(result).inc()

    private val movedStreams = Counter.builder().name("lentilquay_gateway_moved_streams")
        .help("Attempts to move a stream from a server that leaves").labelNames("outcome").register(registry)

    private val tableReturns = Counter.builder().name("lentilquay_gateway_table_returns")
        .help("Returns of the platform's table service from a copy").register(registry)

    /** Counts [returns] of the table service from a copy. */
    fun tableReturned(returns: Long) = tableReturns.inc(returns)

    /** Counts a [call] to the table service that concerned [table]. */
    fun tableCalled(call: String, table: String, isAnswered: Boolean) =
        tableCalls.labelValues(call, table, isAnswered.toString()).inc()

    /** Counts a request that ended with [status] after [millis]; status 0 stands for a response that was cut off. */
    fun requestEnded(kind: RouteKind?, status: Int, millis: Long) {
        val label = kind?.name?.lowercase() ?: NO_ROUTE_LABEL
        requests.labelValues(label, if (status == 0) CUT_LABEL else status.toString()).inc()
        seconds.labelValues(label).observe(millis / MILLIS_PER_SECOND)
    }

    /** Counts an attempt beside one whose server leaves at short notice, and whether the stream goes on there. */
    fun streamMoved(isMoved: Boolean) = movedStreams.labelValues(if (isMoved) "moved" else "stayed").inc()

    private val refusals = Counter.builder().name("lentilquay_gateway_caller_refusals")
        .help("Requests that were refused before they had been read, and connections closed for want of room")
        .labelNames("reason").register(registry)

    /** Counts a caller that was refused for [reason] before its request had been read. */
    fun callerRefused(reason: String) = refusals.labelValues(reason).inc()

    /** Registers a gauge whose value is computed by [value] at each scrape. */
    fun gauge(name: String, help: String, value: () -> Double) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)
    }

    fun text(): ByteArray = ByteArrayOutputStream().also { writer.write(it, registry.scrape()) }.toByteArray()
}
