/*
 * Counts the traffic between VMs. The `kind` label is the simple name of a message type, so the number of its values is
 * fixed.
 */
package org.lentilquay.daemon.metrics

import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.lentilquay.transport.peer.CutReason
import org.lentilquay.transport.peer.PeerTrafficRecorder

private const val SENT = "sent"
private const val RECEIVED = "received"

internal class PeerMetrics(registry: PrometheusRegistry) : PeerTrafficRecorder {
    private val labels = arrayOf("direction", "kind")
    private val messages = registry.counter("lentilquay_peer_messages", "Messages between VMs", labels)
    private val bytes = registry.counter("lentilquay_peer_bytes", "Bytes of messages between VMs", labels)
    private val cuts = registry.counter("lentilquay_peer_cuts", "Connections between VMs cut", arrayOf("reason"))
    private val late = registry.counter("lentilquay_peer_late_answers", "Answers after the time bound", arrayOf())

    override fun sent(kind: String, bytes: Int) = count(SENT, kind, bytes)

    override fun received(kind: String, bytes: Int) = count(RECEIVED, kind, bytes)

    override fun cut(reason: CutReason) = cuts.labelValues(reason.label).inc()

    override fun lateAnswer() = late.inc()

    private fun count(direction: String, kind: String, size: Int) {
        messages.labelValues(direction, kind).inc()
        bytes.labelValues(direction, kind).inc(size.toLong())
    }
}
