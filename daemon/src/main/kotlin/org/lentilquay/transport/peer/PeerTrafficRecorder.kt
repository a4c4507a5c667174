/*
 * Counts the traffic between VMs by message kind. Bytes include the length prefix of the frames.
 */
package org.lentilquay.transport.peer

import org.lentilquay.protocol.PeerFrame
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** Why a connection between VMs was cut, or an attempt to open one given up. */
enum class CutReason {
    /** A frame was longer than the bound, or its length was not positive. */
    OVERSIZE,

    /** A frame could not be read as a message, or had the wrong direction. */
    MALFORMED,
    WRONG_VERSION,

    /** The other side did not prove that it knows the fleet secret. */
    UNAUTHENTICATED,

    /** The accepting side is not the VM that the opening side meant. */
    WRONG_VM,

    /** The other side took too long in the handshake or did not take data. */
    STALLED,

    /** Too many connections were in the handshake. */
    TOO_MANY,
}

/** Receives counts of peer traffic. Implementations are called from many threads. */
interface PeerTrafficRecorder {
    fun sent(kind: String, bytes: Int)

    fun received(kind: String, bytes: Int)

    fun cut(reason: CutReason)

    /** An answer came after its call had timed out. */
    fun lateAnswer()
}

/** Messages and bytes of one kind in one direction. */
data class TrafficCount(val messages: Long, val bytes: Long)

/** Keeps the counts in memory. */
class PeerTrafficCounters : PeerTrafficRecorder {
    private class Count {
        val messages = LongAdder()
        val bytes = LongAdder()
    }

    private val sentCounts = ConcurrentHashMap<String, Count>()
    private val receivedCounts = ConcurrentHashMap<String, Count>()
    private val cutCounts = ConcurrentHashMap<CutReason, LongAdder>()
    private val lateCount = LongAdder()

    val sent: Map<String, TrafficCount> get() = totals(sentCounts)
    val received: Map<String, TrafficCount> get() = totals(receivedCounts)
    val cuts: Map<CutReason, Long> get() = cutCounts.mapValues { it.value.sum() }
    val lateAnswers: Long get() = lateCount.sum()

    override fun sent(kind: String, bytes: Int) = add(sentCounts, kind, bytes)

    override fun received(kind: String, bytes: Int) = add(receivedCounts, kind, bytes)

    override fun cut(reason: CutReason) = cutCounts.computeIfAbsent(reason) { LongAdder() }.increment()

    override fun lateAnswer() = lateCount.increment()

    private fun add(counts: ConcurrentHashMap<String, Count>, kind: String, bytes: Int) {
        val count = counts.computeIfAbsent(kind) { Count() }
        count.messages.increment()
        count.bytes.add(bytes.toLong())
    }

    private fun totals(counts: Map<String, Count>): Map<String, TrafficCount> =
        counts.mapValues { (_, count) -> TrafficCount(count.messages.sum(), count.bytes.sum()) }
}

/** The kind of message in the frame, one of the names of the request and answer types. */
internal val PeerFrame.kind: String get() = (request ?: answer)?.javaClass?.simpleName ?: "None"
