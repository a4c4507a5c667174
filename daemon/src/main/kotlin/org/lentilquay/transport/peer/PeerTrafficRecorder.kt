/*
 * Counts the traffic between VMs by message kind. Bytes include the length prefix of the frames.
 */
package org.lentilquay.transport.peer

import org.lentilquay.protocol.PeerFrame
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** Why a connection between VMs was closed, or a connection attempt failed. The names are values of a metric label. */
enum class CutReason {
    /** The length of a frame exceeded the maximum or was not positive. */
    OVERSIZE,

    /** A frame could not be decoded, or was a request where only answers are expected, or the reverse. */
    MALFORMED,
    WRONG_VERSION,

    /** The other side did not prove that it knows the fleet secret. */
    UNAUTHENTICATED,

    /** The server is another VM than the client expected. */
    WRONG_VM,

    /** The handshake timed out, or the other side sent or took no data for too long. */
    STALLED,

    /** Too many handshakes were in progress. */
    TOO_MANY,
}

/** Records peer traffic. Implementations must be thread-safe. */
interface PeerTrafficRecorder {
    fun sent(kind: String, bytes: Int)

    fun received(kind: String, bytes: Int)

    fun cut(reason: CutReason)

    /** An answer was received after its call had timed out. */
    fun lateAnswer()
}

/** Number and total bytes of the messages of one kind in one direction. */
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

/** The simple class name of the request or answer in the frame; a value of a metric label. */
internal val PeerFrame.kind: String get() = (request ?: answer)?.javaClass?.simpleName ?: "None"
