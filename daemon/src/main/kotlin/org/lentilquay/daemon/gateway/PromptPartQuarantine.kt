/*
 * The parts of prompts that crash backend servers, as this VM knows them: reads them from the requests, feeds the
 * tracker with crashes and answered requests, and logs each quarantine with the crashes on which it was decided.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import org.lentilquay.coordination.gateway.TableTime
import org.lentilquay.coordination.suspects.PartQuarantine
import org.lentilquay.coordination.suspects.PromptPartTracker
import org.lentilquay.coordination.suspects.QUARANTINE_MILLIS
import org.lentilquay.daemon.logs.event
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.gateway.PartQuarantineRecord
import org.lentilquay.state.gateway.QuarantineRecord

private val log = KotlinLogging.logger {}

/** Parts of one prompt that are considered, the first ones; bounds memory and the size of notices. */
private const val MAXIMUM_PARTS = 32

/** Requests with different parts in one notice; with [MAXIMUM_PARTS] it bounds a notice to about 70 kB. */
private const val MAXIMUM_NOTICE_REQUESTS = 64

/** Quarantines, and cleared parts, in one member record, which all VMs read every second. */
internal const val MAXIMUM_PUBLISHED: Int = 16

private val PART_ID = Regex("[0-9a-f]{1,32}")

/**
 * A request whose first event is this old did not crash its server: a request that does so crashes it when the server
 * begins to write the answer.
 */
internal const val ANSWER_PROOF_MILLIS: Long = 500

/** The progress of one attempt of a request with [parts], which was sent at [sentAt]. */
class AttemptProgress(val parts: Set<String>, val sentAt: Long) {
    /** Written by the thread that runs the attempt. */
    @Volatile
    var firstEventAt: Long? = null

    /** Whether the attempt ended without a success. */
    var hasFailed: Boolean = false
}

/**
 * The ids of all parts but the last, which belongs to the request itself, in a [header] of the form `id:tokens,...`; a
 * header of another form has none.
 */
internal fun sharedPromptParts(header: String?): Set<String> {
    if (header == null) return emptySet()
    val ids = header.split(',').dropLast(1).take(MAXIMUM_PARTS).map { it.substringBefore(':').trim().lowercase() }
    return if (ids.all(PART_ID::matches)) ids.toSet() else emptySet()
}

/** Call on the control thread. */
internal class PromptPartQuarantine(private val now: () -> Long) {
    private val tracker = PromptPartTracker()
    private var logged: Map<Set<String>, PartQuarantine> = emptyMap()

    /** Whether any crash is kept on which a request with a prompt was lost, or a quarantine of another process. */
    val hasEvidence: Boolean get() = tracker.hasEvidence

    /** The parts of the attempts that were [lost] at [lostAt] and may have crashed the server, bounded for a notice. */
    fun noticeParts(lost: List<AttemptProgress>, lostAt: Long): List<Set<String>> = lost
        .filter { attempt -> attempt.firstEventAt.let { it == null || lostAt - it < ANSWER_PROOF_MILLIS } }
        .map { it.parts }.filter { it.isNotEmpty() }.distinct().take(MAXIMUM_NOTICE_REQUESTS)

    fun record(notice: PeerRequest.SuspectNotice) {
        val at = now()
        val requests = notice.promptParts.take(MAXIMUM_NOTICE_REQUESTS)
            .map { parts -> parts.take(MAXIMUM_PARTS).toSet() }
        tracker.merge(notice.server, notice.serverIncarnation, at - notice.ageMillis, requests)
        tracker.clearedElsewhere(notice.clearedAgeMillis.mapValues { at - it.value })
        logChanges()
    }

    fun answered(progress: AttemptProgress) {
        tracker.answered(progress.parts, progress.sentAt)
        logChanges()
    }

    /** The parts that other VMs must be told are clear, each with the time since the answered request was sent. */
    fun takeUnannounced(): Map<String, Long> {
        if (!tracker.hasEvidence) return emptyMap()
        val at = now()
        return tracker.takeUnannounced(at).mapValues { at - it.value }
    }

    fun quarantine(parts: Set<String>): PartQuarantine? =
        if (parts.isEmpty() || !tracker.hasEvidence) null else tracker.quarantine(parts, now()).also { logChanges() }

    /** The quarantines in force; [at] relates the clock of the table service to that of this VM. */
    fun published(at: TableTime): QuarantineRecord {
        fun tableMillis(millis: Long) = at.millis + millis - at.sentAt
        val latest = tracker.quarantines(now()).sortedByDescending { it.latestCrashAt }.take(MAXIMUM_PUBLISHED)
        val parts = latest.map {
            PartQuarantineRecord(it.parts, it.crashes, tableMillis(it.latestCrashAt), tableMillis(it.decisiveCrashAt))
        }
        val cleared = tracker.cleared.entries.filter { now() - it.value < QUARANTINE_MILLIS }
            .sortedByDescending { it.value }
            .take(MAXIMUM_PUBLISHED)
        return QuarantineRecord(parts, cleared.associate { it.key to tableMillis(it.value) })
    }

    /** Adopts the quarantines in the member record of another process, which was read [at] a time of both clocks. */
    fun adopt(record: QuarantineRecord, at: TableTime) {
        fun localMillis(tableMillis: Long) = at.sentAt + tableMillis - at.millis
        tracker.clearedElsewhere(record.cleared.mapValues { localMillis(it.value) })
        record.parts.take(MAXIMUM_PUBLISHED).forEach {
            val latest = localMillis(it.latestCrashMillis)
            val decisive = localMillis(it.decisiveCrashMillis)
            tracker.adopt(PartQuarantine(it.parts, it.crashes, emptySet(), latest, decisive), now())
        }
        logChanges()
    }

    private fun logChanges() {
        if (!tracker.hasEvidence && logged.isEmpty()) return
        val current = tracker.quarantines(now()).associateBy { it.parts }
        (current - logged.keys).values.forEach { log("prompt parts quarantined", it) }
        (logged - current.keys).values.forEach { log("prompt parts released", it) }
        logged = current
    }

    private fun log(event: String, quarantine: PartQuarantine) = log.event(
        event,
        "parts" to quarantine.parts.sorted(),
        "crashes" to quarantine.crashes,
        "servers" to quarantine.servers.sorted(),
    )
}
