/*
 * Takes control of engines and duties by conditional writes of their controller records.
 */
package org.lentilquay.daemon.gateway

import org.lentilquay.coordination.gateway.ControlLease
import org.lentilquay.coordination.gateway.ControlSubject
import org.lentilquay.coordination.gateway.TakeoverDecision
import org.lentilquay.coordination.gateway.VersionedControllerRecord
import org.lentilquay.daemon.control.readRecord
import org.lentilquay.daemon.control.tolerantJson
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.ControllerRecord
import org.lentilquay.state.gateway.memberKey
import org.lentilquay.transport.platform.TableService
import org.lentilquay.transport.platform.TransactResult

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
    private val lease: ControlLease,
    private val watch: LeaseWatch,
    private val control: ControlThread,
    private val now: () -> Long,
) {
    /**
     * Takes control of [subject] if the lease of its former controller has expired, and calls [taken] on the control
     * thread if this VM controls it now.
     */
    suspend fun take(subject: ControlSubject, taken: (TakenSubject) -> Unit) {
        val read = table.readRecord<ControllerRecord>(subject.recordKey) ?: return
        val reading = read.value?.let { VersionedControllerRecord(it, read.version) }
        val (decision, lapses) =
            control.decide { lease.decideTakeover(subject, reading, now()) to watch.lapses }
        val due = decision as? TakeoverDecision.Due ?: return
        val operations = buildList {
            val record = tolerantJson.encodeToString(due.record)
            add(TableOperation.Put(subject.recordKey, record, due.expectedVersion))
            // Fails the write if the former controller has renewed its record, and so its lease, in the meantime.
            due.former?.let { (vm, version) -> add(TableOperation.Check(memberKey(vm), version)) }
        }
        val result = table.transact(operations) as? TransactResult.Committed ?: return
        val version = result.versions[subject.recordKey] ?: return
        control.decide {
            // If the lease expired before the answer came, another VM may have taken the subject over.
            if (!watch.releaseIfExpired() && watch.lapses == lapses) {
                taken(TakenSubject(due.record, version, reading?.record?.vm))
            }
        }
    }
}
