/*
 * The member records as this VM reads them: from a reader's copy, or from the store, which fills this VM's own copy.
 * Only records that changed are decoded again.
 */
package org.lentilquay.daemon.gateway

import org.lentilquay.coordination.gateway.VersionedMemberRecord
import org.lentilquay.daemon.control.decodeOrNull
import org.lentilquay.protocol.RowChange
import org.lentilquay.protocol.TableItem
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.MEMBER_PREFIX
import org.lentilquay.state.gateway.MemberRecord
import org.lentilquay.transport.platform.ReadResult
import org.lentilquay.transport.platform.TableService

/** All member records, read when the table's clock showed [tableMillis]; [isOwn] if this VM asked the store itself. */
class MemberTableReading(val members: Map<VmId, VersionedMemberRecord>, val tableMillis: Long, val isOwn: Boolean)

class MemberTable(private val table: TableService, private val clock: TableClock, private val relay: TableRelay) {
    private var members: Map<VmId, VersionedMemberRecord> = emptyMap()
    private var version = -1L

    /** Reads the records; null if neither a reader nor the store answers. */
    suspend fun read(mayFollow: Boolean): MemberTableReading? {
        val relayed = if (mayFollow) relay.ask(WatchedTableName.MEMBERS, version, waitMillis = 0) else null
        if (relayed == null) return readStore()
        take(relayed.rows)
        version = relayed.version
        return MemberTableReading(members, relayed.tableMillis, isOwn = false)
    }

    private suspend fun readStore(): MemberTableReading? {
        val copy = relay.copy(WatchedTableName.MEMBERS)
        val read = table.scan(MEMBER_PREFIX)
        val tableMillis = clock.latestMillis
        if (read !is ReadResult.Read || tableMillis == null) {
            copy.lost()
            return null
        }
        val rows = read.value.associate { it.key.removePrefix(MEMBER_PREFIX) to RowChange(it.value, it.version) }
        val removed = members.keys.map { it.text }.filter { it !in rows }
        val upTo = maxOf(version, rows.values.maxOfOrNull { it.version } ?: version)
        val changed = rows.filterValues { it.version > version } + removed.map { it to RowChange(null, upTo) }
        take(changed)
        copy.change(version, changed, upTo, tableMillis)
        version = upTo
        return MemberTableReading(members, tableMillis, isOwn = true)
    }

    /** Takes the rows in; a record that cannot be read any more counts as none. */
    private fun take(changed: Map<String, RowChange>) {
        val readable = changed.mapNotNull { (name, row) ->
            val text = row.text ?: return@mapNotNull null
            val record = decodeOrNull<MemberRecord>(TableItem(MEMBER_PREFIX + name, text, row.version))
            record?.let { VmId(name) to VersionedMemberRecord(it, row.version) }
        }
        members = members - changed.keys.mapTo(HashSet()) { VmId(it) } + readable
    }
}
