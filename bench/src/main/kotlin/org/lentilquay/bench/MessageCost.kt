/*
 * Measures the encoded bytes of message exchanges between VMs and the CPU time to encode and decode them on one
 * thread, which is the work of sender and receiver together, without sockets. HttpCost measures calls over HTTP.
 */
package org.lentilquay.bench

import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.json.Json
import org.lentilquay.protocol.ConfigurationLogEntry
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerFrame
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.protocol.Priority
import org.lentilquay.protocol.RunOutcome
import org.lentilquay.state.Adapter
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.ServerId
import org.lentilquay.state.TeamId
import java.util.UUID

@Suppress("MagicNumber")
private val exchanges = listOf(1_000, 2_000, 4_000, 8_000)

@Suppress("MagicNumber")
private val changesInEntry = listOf(1, 10, 50, 100)
private const val LENGTH_PREFIX_BYTES = 4
private const val NANOS_PER_MICRO = 1_000.0
private const val NANOS_PER_MILLI = 1e6
private const val REVISION = 100_000L
private const val INCARNATION = 1_760_000_000_000L
private const val RESERVED_TOKENS = 47L
private const val TRANSFER_TOKENS = 600L
private const val WAIT_MILLIS = 3_000L
private const val SPILL_MILLIS = 400L
private const val FINGERPRINT_DIGITS = 64
private const val WARM_UP = 40_000
private const val ENTRY_ROUNDS = 500

/** Measures a batch slot reservation, a token transfer, a revision notice with its log entry, and calls over HTTP. */
fun measureMessageCost(): List<Measurement> = listOf(
    measureExchange("Reservation: Reserve, Granted, Progress, Release with answers", reservation()),
    measureExchange("Token pull: TakeTokens, Tokens", tokenTransfer()),
    measureRevision(),
) + measureHttpCost()

private fun reservation(): List<PeerFrame> {
    val id = "req-${UUID.nameUUIDFromBytes(byteArrayOf(1))}-1"
    val server = ServerId("engine-412")
    val adapter = AdapterVersion("stove-adapter-31415", 2)
    val reserve = PeerRequest.Reserve(
        requestId = id,
        server = server,
        adapter = adapter,
        team = TeamId("team-3"),
        estimatedTokens = RESERVED_TOKENS,
        priority = Priority.SHORT,
        waitMillis = WAIT_MILLIS,
        spillMillis = SPILL_MILLIS,
        fingerprint = "a".repeat(FINGERPRINT_DIGITS),
    )
    return listOf(
        PeerFrame(REVISION, request = reserve),
        PeerFrame(REVISION, answer = PeerAnswer.Granted(id, server, "10.11.12.13:8000", 1, adapter, false)),
        PeerFrame(REVISION + 1, request = PeerRequest.Progress(id, server, INCARNATION)),
        PeerFrame(REVISION + 1, answer = PeerAnswer.Done),
        PeerFrame(REVISION + 2, request = PeerRequest.Release(id, server, RunOutcome.COMPLETED, INCARNATION)),
        PeerFrame(REVISION + 2, answer = PeerAnswer.Done),
    )
}

private fun tokenTransfer() = listOf(
    PeerFrame(REVISION, request = PeerRequest.TakeTokens(TeamId("team-3"), TRANSFER_TOKENS, 1)),
    PeerFrame(REVISION, answer = PeerAnswer.Tokens(TRANSFER_TOKENS)),
)

private fun revisionNotice(changes: Int): List<PeerFrame> {
    val puts = (1..changes).map { ConfigurationChange.PutAdapter(Adapter("stove-adapter-$it", "base", setOf(1, 2), 2)) }
    val change = puts.singleOrNull() ?: ConfigurationChange.Batch(puts)
    val planId = UUID.nameUUIDFromBytes(byteArrayOf(2)).toString()
    val entry = ConfigurationLogEntry(REVISION, planId, "anjali", change, INCARNATION, "vm-1")
    val page = PeerAnswer.ConfigurationPage(
        listOf(Json.encodeToString(ConfigurationLogEntry.serializer(), entry)),
        null,
        REVISION,
    )
    return listOf(
        PeerFrame(1, request = PeerRequest.RevisionNotice(REVISION)),
        PeerFrame(1, answer = PeerAnswer.Done),
        PeerFrame(2, request = PeerRequest.FetchConfiguration(REVISION - 1)),
        PeerFrame(2, answer = page),
    )
}

private fun measureExchange(title: String, frames: List<PeerFrame>): Measurement {
    codecNanos(frames, WARM_UP)
    val bytes = bytesOf(frames).toDouble()
    return Measurement(
        title,
        listOf("exchanges", "bytes", "CPU ms", "CPU us/exchange"),
        exchanges.map { count ->
            val nanos = codecNanos(frames, count)
            listOf(count.toDouble(), bytes * count, nanos / NANOS_PER_MILLI, nanos / NANOS_PER_MICRO / count)
        },
    )
}

private fun measureRevision(): Measurement {
    codecNanos(revisionNotice(1), WARM_UP)
    return Measurement(
        "Revision notice with the fetch of its entry",
        listOf("changes", "bytes", "CPU us"),
        changesInEntry.map { changes ->
            val frames = revisionNotice(changes)
            val nanos = codecNanos(frames, ENTRY_ROUNDS)
            listOf(changes.toDouble(), bytesOf(frames).toDouble(), nanos / NANOS_PER_MICRO / ENTRY_ROUNDS)
        },
    )
}

private fun bytesOf(frames: List<PeerFrame>): Int =
    frames.sumOf { Cbor.encodeToByteArray(it).size + LENGTH_PREFIX_BYTES }

private fun codecNanos(frames: List<PeerFrame>, count: Int): Long = threadNanos {
    repeat(count) { frames.forEach { Cbor.decodeFromByteArray<PeerFrame>(Cbor.encodeToByteArray(it)) } }
}
