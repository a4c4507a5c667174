/*
 * Since when the table service has been in its present era. The service may return from a copy with a new era; what the
 * copy lacks can still be in force, so records of former eras count as not older than the start of the present one.
 */
package org.lentilquay.coordination.gateway

import org.lentilquay.state.gateway.EraRecord

/** A time before all others, without the overflow of differences to it. */
private const val ALWAYS_MILLIS = Long.MIN_VALUE / 4

/** Fencing numbers of one era begin at its number times this: the service's clock stays below it until 2039. */
private const val ERA_FENCES = 1L shl 41

/** The present era, which counts from the table time [sinceMillis]. */
data class EraStart(val era: Long, val sinceMillis: Long) {
    /** Whether what was written in [recordEra] may have been lost or replaced since; never before the first return. */
    fun isFormer(recordEra: Long?): Boolean = era > 0 && (recordEra == null || recordEra < era)

    /** The lowest fencing number that may be assigned at [tableMillis], above all numbers of former eras. */
    fun lowestFence(tableMillis: Long): Long = if (era > 0) era * ERA_FENCES + tableMillis else 0
}

/**
 * The start of [era], which this VM sees for the first time at [tableMillis]. A process that saw an earlier era counts
 * from now, because it may have been cut off when the era rose. A new process counts from the time in [row], or from
 * now if there is none for this era, unless the whole system starts for the first time ([isBootstrap]).
 */
fun eraStart(era: Long, row: EraRow, tableMillis: Long, isNewProcess: Boolean, isBootstrap: Boolean): EraStart {
    val since = when {
        era == 0L -> ALWAYS_MILLIS
        !isNewProcess -> tableMillis
        row is EraRow.Missing -> if (isBootstrap) ALWAYS_MILLIS else tableMillis
        row is EraRow.Present && row.record.era == era -> row.record.sinceMillis ?: ALWAYS_MILLIS
        else -> tableMillis
    }
    return EraStart(era, since)
}

/** The row for other processes, which has to replace [row]; null if [row] holds the start of the era already. */
fun eraRecordToWrite(start: EraStart, row: EraRow): EraRecord? =
    if (row is EraRow.Present && row.record.era >= start.era) {
        null
    } else {
        EraRecord(start.era, start.sinceMillis.takeIf { it != ALWAYS_MILLIS })
    }

/** The row `fleet/era` as it was read. */
sealed interface EraRow {
    data class Present(val record: EraRecord) : EraRow

    data object Unreadable : EraRow

    data object Missing : EraRow
}
