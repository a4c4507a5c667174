/*
 * The duties that this VM holds for the fleet: takes those that have no holder, and gives them up first in a planned
 * stop. The calls of a duty are made by other code, which asks [DutyControl.mayCall] right before it writes.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import org.lentilquay.coordination.gateway.ControlLease
import org.lentilquay.coordination.gateway.ControlSubject
import org.lentilquay.coordination.gateway.DutyControl
import org.lentilquay.daemon.control.tolerantJson
import org.lentilquay.daemon.logs.event
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.DutyRecord
import org.lentilquay.state.gateway.DutySubject
import org.lentilquay.state.gateway.memberKey
import org.lentilquay.transport.platform.ReadResult
import org.lentilquay.transport.platform.TableService
import org.lentilquay.transport.platform.TransactResult

private val log = KotlinLogging.logger {}

class DutyLoop(
    private val own: VmId,
    private val table: TableService,
    private val clock: TableClock,
    private val lease: ControlLease,
    private val control: ControlThread,
    private val now: () -> Long,
    private val clockDifference: () -> Long,
) : DutyControl {
    private val holdings = LinkedHashMap<DutySubject, TakenSubject>()
    private var required: Set<DutySubject> = emptySet()

    /** The number of duties that this VM holds. Readable from any thread. */
    @Volatile
    var heldCount = 0
        private set

    /** Set in a planned stop; no duty is taken afterwards. */
    private var isReleased = false

    /** The duties of this VM for its member record. Call on the control thread. */
    val records: List<DutyRecord> get() = holdings.map { (subject, taken) -> DutyRecord(subject, taken.record.fence) }

    /** The subjects that this VM holds. Call on the control thread. */
    val held: List<ControlSubject.Duty> get() = holdings.keys.map { ControlSubject.Duty(it) }

    /** The required subjects. Call on the control thread. */
    val subjects: Set<ControlSubject.Duty> get() = required.mapTo(LinkedHashSet()) { ControlSubject.Duty(it) }

    override fun require(subjects: Set<DutySubject>) {
        required = subjects
        holdings.keys.filter { it !in subjects }.forEach { ended(it, "not required") }
    }

    override fun fenceOf(subject: DutySubject): Long? = holdings[subject]?.record?.fence

    override fun mayCall(subject: DutySubject, fence: Long): Boolean =
        fenceOf(subject) == fence && !isReleased && lease.mayCall(now(), clockDifference())

    /** The duties that this VM should try to take. Call on the control thread. */
    fun vacant(): List<ControlSubject.Duty> =
        if (isReleased) emptyList() else subjects.filter { it.subject !in holdings && lease.isCandidate(it, now()) }

    /** Records that this VM has taken [duty]. Call on the control thread. */
    fun taken(duty: ControlSubject.Duty, taken: TakenSubject) {
        if (isReleased || duty.subject !in required) return
        val (formerRecord, formerAgeMillis) = taken.former?.let { lease.recordWithAge(it) } ?: (null to null)
        log.event(
            "duty taken",
            "duty" to duty.subject,
            "fence" to taken.record.fence,
            "former" to taken.former,
            "formerRenewal" to formerRecord?.renewal,
            "formerAgeMillis" to formerAgeMillis,
        )
        holdings[duty.subject] = taken
        heldCount = holdings.size
    }

    /** The record of [duty] was written again, with a new number. Call on the control thread. */
    fun renumbered(duty: ControlSubject.Duty, taken: TakenSubject) {
        if (duty.subject in holdings) holdings[duty.subject] = taken
    }

    /** Ends [duty], which another VM took over with the number [successor]. Call on the control thread. */
    fun lost(duty: ControlSubject.Duty, successor: Long) = ended(duty.subject, "superseded by $successor")

    /** Ends the duties that another VM has taken over. Call on the control thread. */
    fun releaseSuperseded() = holdings.entries.toList().forEach { (subject, taken) ->
        val duty = ControlSubject.Duty(subject)
        lease.supersedingFence(duty, taken.record.fence)?.let { lost(duty, it) }
    }

    /** Ends all duties because the lease has expired. Call on the control thread. */
    fun lapsed() = holdings.keys.toList().forEach { ended(it, "lease lapsed") }

    /**
     * Ends all duties in a planned stop, and tells the other VMs in the records, so that they need not wait for the end
     * of this process. If the write fails, they wait for the member record that says that this VM leaves.
     */
    suspend fun release() {
        val released = control.decide {
            isReleased = true
            val released = holdings.toMap()
            released.keys.forEach { ended(it, "planned stop") }
            // The versions of records that were written in a former era say nothing in this one.
            released.filterValues { it.record.era == lease.era?.era }
        }
        if (released.isEmpty()) return
        // The time of an answer to a call that was sent after the end of the duties is not before that end.
        table.item(memberKey(own)) as? ReadResult.Read ?: return
        val releasedMillis = clock.latestMillis ?: return
        val era = released.values.first().record.era
        val puts = released.map { (subject, taken) ->
            val record = taken.record.copy(releasedMillis = releasedMillis)
            TableOperation.Put(
                ControlSubject.Duty(subject).recordKey,
                tolerantJson.encodeToString(record),
                taken.version,
            )
        }
        val isWritten = table.transact(puts, era) is TransactResult.Committed
        log.event("duties released", "duties" to released.keys, "isWritten" to isWritten)
    }

    private fun ended(subject: DutySubject, reason: String) {
        val taken = holdings.remove(subject) ?: return
        heldCount = holdings.size
        log.event("duty ended", "duty" to subject, "fence" to taken.record.fence, "reason" to reason)
    }
}
