/*
 * Reads the rows in which the processes of the gateway publish their counts and demand. Both duties read them, normally
 * on the same VM, and share one read.
 */
package org.lentilquay.daemon.gateway

import org.lentilquay.daemon.control.decodeOrNull
import org.lentilquay.state.Incarnation
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.GatewayProcess
import org.lentilquay.state.gateway.USAGE_PREFIX
import org.lentilquay.state.gateway.UsageRecord
import org.lentilquay.transport.platform.ReadResult
import org.lentilquay.transport.platform.TableService

/** The rows as read at [readAt] of the monotonic clock. */
class UsageReading(val rows: Map<GatewayProcess, UsageRecord>, val readAt: Long)

class UsageRows(private val table: TableService, private val now: () -> Long) {
    /** The last reading, or null before the first one. */
    @Volatile
    var latest: UsageReading? = null
        private set

    /** Reads all rows; null if the table service did not answer. */
    suspend fun read(): UsageReading? {
        val askedAt = now()
        val items = (table.scan(USAGE_PREFIX) as? ReadResult.Read)?.value ?: return null
        val rows = items.mapNotNull { item ->
            val process = processOf(item.key.removePrefix(USAGE_PREFIX))
            process?.let { decodeOrNull<UsageRecord>(item)?.let { row -> it to row } }
        }
        return UsageReading(rows.toMap(), askedAt).also { latest = it }
    }

    /** The last reading if it is at most [millis] old, else a new one. */
    suspend fun atMost(millis: Long): UsageReading? = latest?.takeIf { now() - it.readAt <= millis } ?: read()
}

private fun processOf(text: String): GatewayProcess? {
    val incarnation = text.substringAfterLast('.', "").toLongOrNull() ?: return null
    return GatewayProcess(VmId(text.substringBeforeLast('.')), Incarnation(incarnation))
}
