/*
 * Answers readiness checks of the platform and reads of the metrics.
 */
package org.lentilquay.daemon.gateway

private const val METRICS_PATH = "/metrics"
private const val READY_STATUS = 200
private const val NOT_READY_STATUS = 503
private const val NOT_FOUND_STATUS = 404

internal class StatusHandler(
    private val readinessPath: String,
    private val metrics: GatewayMetrics,
    private val isReady: () -> Boolean,
) : CallerHandler {
    override suspend fun handle(request: CallerRequest, writer: ResponseWriter) = when (request.head.path) {
        readinessPath -> writer.respond(if (isReady()) READY_STATUS else NOT_READY_STATUS, emptyList(), ByteArray(0))
        METRICS_PATH ->
            writer.respond(READY_STATUS, listOf("Content-Type" to "text/plain; version=0.0.4"), metrics.text())
        else -> writer.respond(NOT_FOUND_STATUS, emptyList(), ByteArray(0))
    }
}
