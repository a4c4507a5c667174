/*
 * Tells the control lease of new eras of the table service, and keeps the row that tells new processes since when the
 * present era has been in force. Between returns of the table service it makes no call.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import org.lentilquay.coordination.gateway.ControlLease
import org.lentilquay.coordination.gateway.EraRow
import org.lentilquay.coordination.gateway.eraRecordToWrite
import org.lentilquay.coordination.gateway.eraStart
import org.lentilquay.daemon.control.VersionedRecord
import org.lentilquay.daemon.control.readRecord
import org.lentilquay.daemon.control.tolerantJson
import org.lentilquay.daemon.logs.event
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.gateway.ERA_KEY
import org.lentilquay.state.gateway.EraRecord
import org.lentilquay.transport.platform.TableService

private val log = KotlinLogging.logger {}

class EraLoop(
    private val table: TableService,
    private val clock: TableClock,
    private val lease: ControlLease,
    private val control: ControlThread,
    private val isBootstrap: Boolean,
) {
    /** The last era that the lease was told of; null in a process that has seen none. */
    private var known: Long? = null

    /**
     * Tells the lease of the latest era, if it is new, and writes the row if it does not tell of this era yet. Returns
     * whether the lease knows the latest era.
     */
    suspend fun follow(): Boolean {
        val era = clock.latestEra ?: return true
        if (era == known) return true
        val read = table.readRecord<EraRecord>(ERA_KEY)?.takeIf { it.era == era && clock.latestEra == era }
        // The time comes from an answer of the new era, because a former one may be older than the return.
        val tableMillis = clock.latestMillis
        if (read == null || tableMillis == null) return false
        val row = rowOf(read)
        val start = eraStart(era, row, tableMillis, isNewProcess = known == null, isBootstrap = isBootstrap)
        log.event("era of the table service", "era" to era, "former" to known, "sinceMillis" to start.sinceMillis)
        control.decide { lease.eraStarted(start) }
        known = era
        // If another VM wrote the row first, its time is as good; if the write is lost, new processes wait longer.
        eraRecordToWrite(start, row)?.let { record ->
            table.transact(listOf(TableOperation.Put(ERA_KEY, tolerantJson.encodeToString(record), read.version)), era)
        }
        return true
    }

    private fun rowOf(read: VersionedRecord<EraRecord>): EraRow {
        val record = read.value
        return when {
            record != null -> EraRow.Present(record)
            read.version == 0L -> EraRow.Missing
            else -> EraRow.Unreadable
        }
    }
}
