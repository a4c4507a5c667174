/*
 * The records of all runs of a model engine stand-in. For a run that is over and has no reader, only the record is
 * kept, without its prompt, so that long experiments fit into memory.
 */
package org.lentilquay.standins.internal

import org.lentilquay.standins.EngineRun

private const val RECORDS_KEPT = 100_000

/** The oldest records are dropped above [RECORDS_KEPT]; [dropped] counts them. */
internal class RunRecords(private val clockOffset: Long, private val withBodies: Boolean) {
    private val records = LinkedHashMap<Long, Entry>()
    private var number = 0L

    var dropped: Int = 0
        private set

    @Synchronized
    fun add(run: Run): Long {
        records[++number] = Entry.Active(run)
        if (records.size > RECORDS_KEPT) {
            records.remove(records.keys.first())
            dropped++
        }
        return number
    }

    /** Replaces the run [number] by its record if it is over. */
    @Synchronized
    fun compact(number: Long) {
        val entry = records[number]
        if (entry is Entry.Active && entry.run.stage.isOver) {
            records[number] = Entry.Finished(entry.run.snapshot(clockOffset, withBodies))
        }
    }

    @Synchronized
    fun all(): List<EngineRun> = records.values.map { entry ->
        when (entry) {
            is Entry.Active -> entry.run.snapshot(clockOffset, withBodies)
            is Entry.Finished -> entry.record
        }
    }

    private sealed interface Entry {
        data class Active(val run: Run) : Entry

        data class Finished(val record: EngineRun) : Entry
    }
}
