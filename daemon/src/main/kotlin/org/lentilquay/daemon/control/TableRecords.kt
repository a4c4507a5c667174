/*
 * What the result of a transaction means to the decisions that asked for it.
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

/** Sends [operations] as one transaction. */
suspend fun TableService.write(operations: List<TableOperation>): WriteResult = when (transact(operations)) {
    is TransactResult.Committed -> WriteResult.COMMITTED
    is TransactResult.Conflict -> WriteResult.CONFLICT
    is TransactResult.Unavailable -> WriteResult.NOT_SENT
    is TransactResult.OutcomeUnknown -> WriteResult.UNKNOWN
}

/** An item as read: its value, or null if it is absent or not readable, and its version. */
class VersionedRecord<T>(val value: T?, val version: Long)

/** Reads the item at [key] as JSON; null if the table did not answer. */
suspend inline fun <reified T> TableService.readRecord(key: String): VersionedRecord<T>? =
    when (val result = item(key)) {
        is ReadResult.Unavailable -> null
        is ReadResult.Read -> VersionedRecord(result.value?.let { decodeOrNull<T>(it) }, result.value?.version ?: 0)
    }

/** The value of [item], or null if it was written by a build whose format this one cannot read. */
inline fun <reified T> decodeOrNull(item: TableItem): T? = try {
    tolerantJson.decodeFromString<T>(item.value)
} catch (fault: SerializationException) {
    unreadableRows.report(item.key, item.value, fault)
    null
}

/** The rows of the fleet's own tables that this process could not read. */
@PublishedApi
internal val unreadableRows = UnreadableRows()

/** Reads records of later builds as far as possible. */
val tolerantJson: Json = Json { ignoreUnknownKeys = true }
