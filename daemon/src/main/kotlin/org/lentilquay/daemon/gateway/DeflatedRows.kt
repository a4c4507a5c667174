/*
 * Deflates the changed rows of a table that a reader relays to its followers. A configuration with some hundred routes
 * is about 100 KB long and goes to each VM of the failure domain, over the link that also carries the responses to
 * callers; deflated it is about an eighth of that.
 */
package org.lentilquay.daemon.gateway

import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.lentilquay.protocol.MAXIMUM_PEER_FRAME_BYTES
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.RowChange
import org.lentilquay.transport.peer.peerCbor
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.util.zip.Deflater
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/** Rows with less text are relayed as they are, because deflating them takes more time than it saves on the link. */
private const val MINIMUM_DEFLATED_CHARACTERS = 4 shl 10

/** Longest rows after inflating; rows that are not deflated have to fit in one frame. */
private const val MAXIMUM_INFLATED_BYTES = 4 * MAXIMUM_PEER_FRAME_BYTES

/** The number of characters of all rows. */
internal val PeerAnswer.TableChanges.characters: Int
    get() = rows.entries.sumOf { (key, row) -> key.length + (row.text?.length ?: 0) }

/** These changes with deflated rows, or unchanged if their rows are short. */
internal fun PeerAnswer.TableChanges.deflated(): PeerAnswer.TableChanges {
    if (characters < MINIMUM_DEFLATED_CHARACTERS) return this
    val encoded = peerCbor.encodeToByteArray(rows)
    if (encoded.size > MAXIMUM_INFLATED_BYTES) return this
    val bytes = ByteArrayOutputStream()
    val deflater = Deflater(Deflater.BEST_SPEED)
    try {
        DeflaterOutputStream(bytes, deflater).use { it.write(encoded) }
    } finally {
        deflater.end()
    }
    return PeerAnswer.TableChanges(version, tableMillis, emptyMap(), bytes.toByteArray(), era)
}

/** These changes with readable rows. Throws an exception if the deflated rows are malformed or too long. */
internal fun PeerAnswer.TableChanges.inflated(): PeerAnswer.TableChanges {
    val deflated = deflatedRows ?: return this
    val bytes = InflaterInputStream(ByteArrayInputStream(deflated)).use { it.readNBytes(MAXIMUM_INFLATED_BYTES + 1) }
    require(bytes.size <= MAXIMUM_INFLATED_BYTES) { "the inflated rows are longer than $MAXIMUM_INFLATED_BYTES bytes" }
    val rows = peerCbor.decodeFromByteArray<Map<String, RowChange>>(bytes)
    return PeerAnswer.TableChanges(version, tableMillis, rows, era = era)
}
