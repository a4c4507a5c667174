/*
 * Reads the member records: from a reader, or from the table service, which also fills this VM's own watch cache. Only
 * records that changed are decoded again.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import org.lentilquay.coordination.gateway.VersionedMemberRecord
import org.lentilquay.daemon.control.decodeOrNull
import org.lentilquay.daemon.logs.event
import org.lentilquay.protocol.RowChange
import org.lentilquay.protocol.TableItem
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.MEMBER_PREFIX
import org.lentilquay.state.gateway.MemberRecord
import org.lentilquay.transport.platform.ReadResult
import org.lentilquay.transport.platform.TableService

private val log = KotlinLogging.logger {}

/** All member records at [tableMillis] of the table clock; [isOwn] if this VM read the table service itself. */
class MemberSnapshot(
    val members: Map<VmId, VersionedMemberRecord>,
    val tableMillis: Long,
    val isOwn: Boolean,
    /** The era of the versions of [members]; null if the table service has none. */
    val era: Long? = null,
)

class MemberRecordReader(
    private val table: TableService,
    private val clock: TableClock,
    private val sharedWatches: SharedWatchSource,
) {
    private var members: Map<VmId, VersionedMemberRecord> = emptyMap()
    private var version = -1L
    private var era: Long? = null

    /**
     * Reads the records, from a reader only if [mayFollow]; null if neither a reader nor the table service answers.
     */
    suspend fun read(mayFollow: Boolean): MemberSnapshot? {
        // A reader that has not seen a return of the table service yet would keep this VM in the former era.
        val isCurrent = compareValues(era, clock.latestEra) >= 0
        val relayed =
            if (mayFollow && isCurrent) sharedWatches.ask(WatchedTableName.MEMBERS, version, 0, era) else null
        if (relayed == null) return readTable()
        apply(relayed.rows)
        version = relayed.version
        return MemberSnapshot(members, relayed.tableMillis, isOwn = false, era)
    }

    private suspend fun readTable(): MemberSnapshot? {
        val cache = sharedWatches.cache(WatchedTableName.MEMBERS)
        val read = table.scan(MEMBER_PREFIX)
        val tableMillis = clock.latestMillis
        if (read !is ReadResult.Read || tableMillis == null || compareValues(read.era, era) < 0) {
            cache.invalidate()
            return null
        }
        val rows = read.value.associate { it.key.removePrefix(MEMBER_PREFIX) to RowChange(it.value, it.version) }
        if (read.era != era) return restart(rows, tableMillis, read.era)
        val removed = members.keys.map { it.text }.filter { it !in rows }
        val upTo = maxOf(version, rows.values.maxOfOrNull { it.version } ?: version)
        val changed = rows.filterValues { it.version > version } + removed.map { it to RowChange(null, upTo) }
        apply(changed)
        cache.change(version, changed, upTo, tableMillis, era)
        version = upTo
        return MemberSnapshot(members, tableMillis, isOwn = true, era)
    }

    /** Takes [rows] in place of those of the former era, whose versions may belong to other rows now. */
    private fun restart(rows: Map<String, RowChange>, tableMillis: Long, readEra: Long?): MemberSnapshot {
        val former = version
        members = emptyMap()
        apply(rows)
        version = rows.values.maxOfOrNull { it.version } ?: -1
        if (former >= 0) {
            log.event(
                "table service returned from a copy",
                "table" to WatchedTableName.MEMBERS.text,
                "era" to readEra,
                "version" to version,
                "formerEra" to era,
                "formerVersion" to former,
            )
        }
        era = readEra
        val texts = rows.mapValues { it.value.text.orEmpty() }
        sharedWatches.cache(WatchedTableName.MEMBERS).replace(WatchedRows(version, texts, era), tableMillis)
        return MemberSnapshot(members, tableMillis, isOwn = true, era)
    }

    /** Applies the changed rows; a record that can no longer be decoded is removed. */
    private fun apply(changed: Map<String, RowChange>) {
        val readable = changed.mapNotNull { (name, row) ->
            val text = row.text ?: return@mapNotNull null
            val record = decodeOrNull<MemberRecord>(TableItem(MEMBER_PREFIX + name, text, row.version))
            record?.let { VmId(name) to VersionedMemberRecord(it, row.version) }
        }
        members = members - changed.keys.mapTo(HashSet()) { VmId(it) } + readable
    }
}
