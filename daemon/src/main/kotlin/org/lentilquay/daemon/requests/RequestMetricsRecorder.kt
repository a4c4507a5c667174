/*
 * Records the metrics of request handling in the metrics of the VM.
 */
package org.lentilquay.daemon.requests

import org.lentilquay.daemon.metrics.Metrics
import org.lentilquay.daemon.metrics.RetryReason
import org.lentilquay.daemon.metrics.RouteKindLabel
import org.lentilquay.daemon.metrics.TokenKind
import org.lentilquay.state.ErrorKind

class RequestMetricsRecorder(private val metrics: Metrics) : RequestMetrics {
    override fun firstToken(millis: Long) = metrics.firstToken(millis)

    override fun tokenGap(millis: Long) = metrics.tokenGap(millis)

    override fun retried(reason: RetryReason) = metrics.retried(reason)

    override fun finished(usage: Usage, loadWaitMillis: Long?, millis: Long) {
        metrics.tokens(TokenKind.PROMPT, usage.promptTokens)
        metrics.tokens(TokenKind.GENERATED, usage.completionTokens)
        loadWaitMillis?.let(metrics::waitedForLoad)
        metrics.requestEnded(RouteKindLabel.ADAPTER, null, millis)
    }

    override fun serviceAnswered(millis: Long) = metrics.requestEnded(RouteKindLabel.SERVICE, null, millis)

    override fun failed(kind: ErrorKind) = metrics.requestEnded(RouteKindLabel.UNRESOLVED, kind, 0)
}
