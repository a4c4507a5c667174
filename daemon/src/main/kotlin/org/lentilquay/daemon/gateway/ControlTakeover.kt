/*
 * Takes control of engines and duties by conditional writes of their controller records, and writes the records again
 * after a return of the table service.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import org.lentilquay.coordination.gateway.ControlLease
import org.lentilquay.coordination.gateway.ControlSubject
import org.lentilquay.coordination.gateway.ControllerReading
import org.lentilquay.coordination.gateway.RewriteDecision
import org.lentilquay.coordination.gateway.TakeoverDecision
import org.lentilquay.coordination.gateway.VersionedControllerRecord
import org.lentilquay.daemon.control.readRecord
import org.lentilquay.daemon.control.tolerantJson
import org.lentilquay.daemon.logs.event
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.ControllerRecord
import org.lentilquay.state.gateway.memberKey
import org.lentilquay.transport.platform.TableService
import org.lentilquay.transport.platform.TransactResult

private val log = KotlinLogging.logger {}

/** A controller record that this VM wrote, with its row version, and the controller of the record before. */
class TakenSubject(val record: ControllerRecord, val version: Long, val former: VmId?)

/** Whether the lease of this VM ended, as the loop that renews it sees it. Call on the control thread. */
interface LeaseWatch {
    /** Incremented whenever the lease is found expired. */
    val lapses: Long

    /** Ends all control if the lease has expired, and returns whether it has. */
    fun releaseIfExpired(): Boolean
}

class ControlTakeover(
    private val table: TableService,
    private val clock: TableClock,
    private val lease: ControlLease,
    private val watch: LeaseWatch,
    private val control: ControlThread,
    private val now: () -> Long,
) {
    /** The eras in which the controller records of this VM were written. */
    private val writtenIn = HashMap<ControlSubject, Long?>()

    /** Those of [held] whose records were written in a former era. Call on the control thread. */
    fun outdated(held: Collection<ControlSubject>): List<ControlSubject> {
        writtenIn.keys.retainAll(held.toSet())
        val present = lease.era ?: return emptyList()
        return held.filter { present.isFormer(writtenIn[it]) }
    }

    /**
     * Takes control of [subject] if the lease of its former controller has expired, and calls [taken] on the control
     * thread if this VM controls it now.
     */
    suspend fun take(subject: ControlSubject, taken: (TakenSubject) -> Unit) {
        val reading = read(subject) ?: return
        val (decision, lapses) =
            control.decide { lease.decideTakeover(subject, reading, now()) to watch.lapses }
        val due = decision as? TakeoverDecision.Due ?: return
        // Fails the write if the former controller has renewed its record, and so its lease, in the meantime.
        val check = due.former?.let { (vm, version) -> TableOperation.Check(memberKey(vm), version) }
        val version = write(subject, due.record, due.expectedVersion, check, reading.era) ?: return
        began(subject, lapses) { taken(TakenSubject(due.record, version, reading.row?.record?.vm)) }
    }

    /**
     * Writes the record of [subject], which this VM controls with the number [fence], again if a return of the table
     * service may have lost it. On the control thread, calls [renumbered] if it has a new number, or [lost] if another
     * VM took the subject over.
     */
    suspend fun rewrite(
        subject: ControlSubject,
        fence: Long,
        renumbered: (TakenSubject) -> Unit,
        lost: (ControllerRecord) -> Unit,
    ) {
        val reading = read(subject) ?: return
        val (decision, lapses) = control.decide {
            val decision = if (watch.releaseIfExpired()) null else lease.decideRewrite(subject, fence, reading)
            decision to watch.lapses
        }
        when (decision) {
            null, is RewriteDecision.Unknown -> Unit
            is RewriteDecision.InPlace -> control.decide { writtenIn[subject] = reading.era }
            is RewriteDecision.Lost -> control.decide { lost(decision.successor) }
            is RewriteDecision.Due -> {
                val version = write(subject, decision.record, decision.expectedVersion, null, reading.era) ?: return
                log.event(
                    "controller record written again",
                    "subject" to subject.recordKey,
                    "era" to reading.era,
                    "fence" to decision.record.fence,
                    "formerFence" to fence,
                    "found" to reading.row?.record,
                )
                began(subject, lapses) { renumbered(TakenSubject(decision.record, version, null)) }
            }
        }
    }

    private suspend fun read(subject: ControlSubject): ControllerReading? {
        val read = table.readRecord<ControllerRecord>(subject.recordKey) ?: return null
        val tableMillis = clock.latestMillis ?: return null
        return ControllerReading(read.value?.let { VersionedControllerRecord(it, read.version) }, read.era, tableMillis)
    }

    /** Writes [record], and returns its version if the write took effect in [readEra]. */
    private suspend fun write(
        subject: ControlSubject,
        record: ControllerRecord,
        expectedVersion: Long,
        check: TableOperation.Check?,
        readEra: Long?,
    ): Long? {
        val put = TableOperation.Put(subject.recordKey, tolerantJson.encodeToString(record), expectedVersion)
        val result = table.transact(listOfNotNull(put, check), readEra) as? TransactResult.Committed
        return result?.takeIf { it.era == readEra }?.versions?.get(subject.recordKey)
    }

    /** Runs [begin] unless the lease expired before the answer came, because another VM may then have the subject. */
    private suspend fun began(subject: ControlSubject, lapses: Long, begin: () -> Unit) = control.decide {
        if (!watch.releaseIfExpired() && watch.lapses == lapses) {
            writtenIn[subject] = lease.era?.era
            begin()
        }
    }
}
