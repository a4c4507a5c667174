/*
 * The counters, gauges and histograms of one VM, kept by the Prometheus client and served in its text format by the
 * administration listener. Methods may be called from any thread and cost at most a look-up and an atomic addition.
 * Durations are passed in milliseconds and exposed in seconds, as Prometheus recommends.
 */
package org.lentilquay.daemon.metrics

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.lentilquay.protocol.MemberState
import org.lentilquay.state.ErrorKind
import org.lentilquay.transport.engine.OrderResult
import org.lentilquay.transport.peer.PeerTrafficRecorder
import java.io.ByteArrayOutputStream

private const val MILLIS_PER_SECOND = 1_000.0

/**
 * Upper bounds of the histogram buckets. The limits that are required of the first token, 0.86 s, and of the time
 * between tokens, 0.061 s, are bucket bounds, so that the fraction within them can be read off.
 */
@Suppress("MagicNumber") // The numbers are a table of bucket bounds.
private val LATENCY_BOUNDS_SECONDS =
    doubleArrayOf(0.005, 0.01, 0.025, 0.061, 0.1, 0.25, 0.5, 0.86, 1.5, 2.5, 5.0, 10.0, 30.0)

/** The `error` label of requests that succeeded. */
private const val NO_ERROR = "none"

/** All metrics of one VM. Each instance has its own registry. */
class Metrics {
    private val registry = PrometheusRegistry()
    private val writer = PrometheusTextFormatWriter.create()

    private val requests = counter("lentilquay_requests", "Callers' requests that ended", "route_kind", "error")
    private val requestSeconds = histogram("lentilquay_request_seconds", "Time to the end of a request", "route_kind")
    private val firstTokenSeconds = histogram("lentilquay_first_token_seconds", "Time to the first token")
    private val tokenGapSeconds = histogram("lentilquay_token_gap_seconds", "Time between two chunks of a stream")
    private val tokens = counter("lentilquay_tokens", "Tokens of finished and running requests", "kind")
    private val retries = counter("lentilquay_retries", "Requests sent to a backend server again", "reason")
    private val loadWaitSeconds = histogram("lentilquay_load_wait_seconds", "Time requests waited for a load")
    private val orders = counter("lentilquay_orders", "Orders to engines", "kind", "outcome")
    private val reservations = counter("lentilquay_reservations", "Polls for a reservation", "outcome")
    private val callerRefusals =
        counter("lentilquay_caller_refusals", "Requests refused unread, and connections closed", "reason")
    private val inProgress = gauge("lentilquay_requests_in_progress", "Callers' requests in progress")
    private val revision = gauge("lentilquay_configuration_revision", "Configuration revision in force")
    private val members = gauge("lentilquay_members", "Members as this VM sees them", "state")
    private val freshness = gauge("lentilquay_freshness", "1 for the state of the configuration's freshness", "state")
    private val ownedServers = gauge("lentilquay_owned_servers", "Backend servers that this VM owns")
    private val seats = gauge("lentilquay_quota_seats", "Quota seats that this VM holds")

    /** Counts the traffic between VMs; the peer server and the peer client report to it. */
    val peerTraffic: PeerTrafficRecorder = PeerMetrics(registry)

    init {
        registerProcessMetrics(registry)
        FreshnessLabel.entries.forEach { freshness.labelValues(it.label).set(0.0) }
        MemberState.entries.forEach { members.labelValues(it.label).set(0.0) }
    }

    /** Counts a request that ended after [millis]; [error] is null if it succeeded. */
    fun requestEnded(kind: RouteKindLabel, error: ErrorKind?, millis: Long) {
        requests.labelValues(kind.label, error?.code ?: NO_ERROR).inc()
        requestSeconds.labelValues(kind.label).observe(millis / MILLIS_PER_SECOND)
    }

    fun requestsInProgress(count: Int) = inProgress.set(count.toDouble())

    fun firstToken(millis: Long) = firstTokenSeconds.observe(millis / MILLIS_PER_SECOND)

    fun tokenGap(millis: Long) = tokenGapSeconds.observe(millis / MILLIS_PER_SECOND)

    fun tokens(kind: TokenKind, count: Long) = tokens.labelValues(kind.label).inc(count)

    fun retried(reason: RetryReason) = retries.labelValues(reason.label).inc()

    fun waitedForLoad(millis: Long) = loadWaitSeconds.observe(millis / MILLIS_PER_SECOND)

    fun ordered(kind: OrderKindLabel, result: OrderResult) = orders.labelValues(kind.label, outcomeLabel(result)).inc()

    fun reservation(outcome: ReservationOutcome) = reservations.labelValues(outcome.label).inc()

    /** Counts a caller that was refused for [reason] before its request had been read. */
    fun callerRefused(reason: String) = callerRefusals.labelValues(reason).inc()

    fun configurationRevision(number: Long) = revision.set(number.toDouble())

    /** Sets the number of members in each state; states that are absent from [counts] have no members. */
    fun memberStates(counts: Map<MemberState, Int>) = MemberState.entries.forEach {
        members.labelValues(it.label).set((counts[it] ?: 0).toDouble())
    }

    fun freshness(state: FreshnessLabel) = FreshnessLabel.entries.forEach {
        freshness.labelValues(it.label).set(if (it == state) 1.0 else 0.0)
    }

    fun ownedServers(count: Int) = ownedServers.set(count.toDouble())

    fun quotaSeats(count: Int) = seats.set(count.toDouble())

    /** Registers the call counters that the platform client keeps itself. Call once. */
    fun platformCalls(reads: () -> Long, writes: () -> Long) {
        CounterWithCallback.builder().name("lentilquay_platform_calls").help("Calls to the platform").labelNames("kind")
            .callback {
                it.call(reads().toDouble(), "read")
                it.call(writes().toDouble(), "write")
            }
            .register(registry)
    }

    /** All metrics in the Prometheus text format, to be served with content type [CONTENT_TYPE]. */
    fun text(): String {
        val output = ByteArrayOutputStream()
        writer.write(output, registry.scrape())
        return output.toString(Charsets.UTF_8)
    }

    private fun counter(name: String, help: String, vararg labels: String): Counter =
        registry.counter(name, help, labels)

    private fun gauge(name: String, help: String, vararg labels: String): Gauge =
        @Suppress("SpreadOperator") // The builder takes labels only as varargs.
        Gauge.builder().name(name).help(help).labelNames(*labels).register(registry)

    private fun histogram(name: String, help: String, vararg labels: String): Histogram =
        @Suppress("SpreadOperator") // The builder takes labels only as varargs.
        Histogram.builder().name(name).help(help).labelNames(*labels)
            .classicOnly().classicUpperBounds(*LATENCY_BOUNDS_SECONDS).register(registry)

    companion object {
        const val CONTENT_TYPE: String = "text/plain; version=0.0.4; charset=utf-8"
    }
}

internal fun PrometheusRegistry.counter(name: String, help: String, labels: Array<out String>): Counter =
    @Suppress("SpreadOperator") // The builder takes labels only as varargs.
    Counter.builder().name(name).help(help).labelNames(*labels).register(this)

private fun outcomeLabel(result: OrderResult): String = when (result) {
    is OrderResult.Done -> "done"
    is OrderResult.StaleFence -> "stale_fence"
    is OrderResult.Rejected -> "rejected"
    is OrderResult.NotWritten -> "not_written"
    is OrderResult.OutcomeUnknown -> "unknown"
}
