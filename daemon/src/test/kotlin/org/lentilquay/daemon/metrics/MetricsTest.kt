package org.lentilquay.daemon.metrics

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.lentilquay.daemon.logs.oneLine
import org.lentilquay.protocol.MemberState
import org.lentilquay.state.ErrorKind
import org.lentilquay.transport.engine.OrderResult
import org.lentilquay.transport.peer.CutReason

/** Guards against metrics that are missing or renamed in the exposition, and against unbounded label values. */
class MetricsTest : FunSpec({
    test("each recorded value is exposed under its metric name and labels") {
        val metrics = Metrics().apply {
            requestEnded(RouteKindLabel.ADAPTER, null, 500)
            requestEnded(RouteKindLabel.SERVICE, ErrorKind.RATE_LIMITED, 1)
            firstToken(860)
            tokenGap(61)
            tokens(TokenKind.GENERATED, 42)
            retried(RetryReason.CONNECTION_LOST)
            waitedForLoad(250)
            ordered(OrderKindLabel.LOAD, OrderResult.StaleFence(1))
            reservation(ReservationOutcome.BUSY)
            configurationRevision(9)
            memberStates(mapOf(MemberState.ALIVE to 6))
            freshness(FreshnessLabel.MAJORITY)
            requestsInProgress(3)
            ownedServers(2)
            quotaSeats(1)
            platformCalls({ 11 }, { 12 })
            peerTraffic.sent("Reserve", 100)
            peerTraffic.received("Granted", 60)
            peerTraffic.cut(CutReason.OVERSIZE)
            peerTraffic.lateAnswer()
        }
        val text = metrics.text()
        listOf(
            """lentilquay_requests_total{error="none",route_kind="adapter"} 1.0""",
            """lentilquay_requests_total{error="rate_limited",route_kind="service"} 1.0""",
            """lentilquay_first_token_seconds_bucket{le="0.86"} 1""",
            """lentilquay_token_gap_seconds_bucket{le="0.061"} 1""",
            """lentilquay_tokens_total{kind="generated"} 42.0""",
            """lentilquay_retries_total{reason="connection_lost"} 1.0""",
            """lentilquay_load_wait_seconds_count 1""",
            """lentilquay_orders_total{kind="load",outcome="stale_fence"} 1.0""",
            """lentilquay_reservations_total{outcome="busy"} 1.0""",
            """lentilquay_configuration_revision 9.0""",
            """lentilquay_members{state="alive"} 6.0""",
            """lentilquay_members{state="dead"} 0.0""",
            """lentilquay_freshness{state="majority"} 1.0""",
            """lentilquay_freshness{state="current"} 0.0""",
            """lentilquay_platform_calls_total{kind="write"} 12.0""",
            """lentilquay_peer_messages_total{direction="sent",kind="Reserve"} 1.0""",
            """lentilquay_peer_bytes_total{direction="received",kind="Granted"} 60.0""",
            """lentilquay_peer_cuts_total{reason="oversize"} 1.0""",
            """lentilquay_peer_late_answers_total 1.0""",
            "process_cpu_seconds_total ",
            "jvm_heap_used_bytes ",
        ).forEach { text shouldContain it }
    }

    test("requests with every kind and error together expose fewer than 500 lines") {
        val metrics = Metrics()
        RouteKindLabel.entries.forEach { kind ->
            metrics.requestEnded(kind, null, 1)
            ErrorKind.entries.forEach { metrics.requestEnded(kind, it, 1) }
        }
        metrics.text().lines().size shouldBeLessThan 500
    }

    test("control characters and double quotes in a log value are replaced") {
        oneLine("a\nlevel=ERROR \"b\"\u001b") shouldBe "a level=ERROR 'b' "
    }
})
