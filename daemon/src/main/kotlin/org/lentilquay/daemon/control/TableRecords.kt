/*
 * Reads and writes records of the table service for the deciders of the core module.
 */
package org.lentilquay.daemon.control

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.lentilquay.coordination.WriteResult
import org.lentilquay.daemon.logs.UnreadableRows
import org.lentilquay.protocol.TableItem
import org.lentilquay.protocol.TableOperation
import org.lentilquay.transport.platform.ReadResult
import org.lentilquay.transport.platform.TableService
import org.lentilquay.transport.platform.TransactResult

/**
 * Executes [operations] as one transaction, with conditions that were read in [readEra], and returns the result in the
 * terms of the deciders.
 */
suspend fun TableService.write(
    operations: List<TableOperation>,
    readEra: Long? = null,
): WriteResult = when (transact(operations, readEra)) {
    is TransactResult.Committed -> WriteResult.COMMITTED
    is TransactResult.Conflict -> WriteResult.CONFLICT
    is TransactResult.Unavailable -> WriteResult.NOT_SENT
    is TransactResult.OutcomeUnknown, is TransactResult.OtherEra -> WriteResult.UNKNOWN
}

/**
 * A record as read in [era]: its value, or null if it is absent or cannot be decoded, and its version (0 if absent).
 */
class VersionedRecord<T>(val value: T?, val version: Long, val era: Long? = null)

/** Reads the item at [key] and decodes it from JSON; null if the table service did not answer. */
suspend inline fun <reified T> TableService.readRecord(key: String): VersionedRecord<T>? =
    when (val result = item(key)) {
        is ReadResult.Unavailable -> null
        is ReadResult.Read ->
            VersionedRecord(result.value?.let { decodeOrNull<T>(it) }, result.value?.version ?: 0, result.era)
    }

/** The decoded value of [item]; null, with a log message, if this build cannot read its format. */
inline fun <reified T> decodeOrNull(item: TableItem): T? = try {
    tolerantJson.decodeFromString<T>(item.value)
} catch (fault: SerializationException) {
    unreadableRows.report(item.key, item.value, fault)
    null
}

/** Logs the rows that this process could not decode. */
@PublishedApi
internal val unreadableRows = UnreadableRows()

/** Ignores unknown fields, so that records written by later builds can be read. */
val tolerantJson: Json = Json { ignoreUnknownKeys = true }
