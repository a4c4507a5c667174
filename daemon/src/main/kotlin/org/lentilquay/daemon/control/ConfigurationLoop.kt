/*
 * Keeps this VM's configuration up to date: checks the head in the table, fetches missing revisions from a peer or the
 * table, gossips new revisions, and writes snapshots. Docs: docs/design.md, section 4.5.
 */
package org.lentilquay.daemon.control

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.SerializationException
import org.lentilquay.coordination.configuration.ConfigurationFetch
import org.lentilquay.coordination.configuration.ConfigurationSource
import org.lentilquay.coordination.configuration.ConfigurationStore
import org.lentilquay.coordination.configuration.FreshnessTracker
import org.lentilquay.coordination.configuration.HEAD_KEY
import org.lentilquay.coordination.configuration.HeadRecord
import org.lentilquay.coordination.configuration.OfferResult
import org.lentilquay.coordination.configuration.decodeEntry
import org.lentilquay.coordination.configuration.decodeSnapshot
import org.lentilquay.coordination.configuration.encodeSnapshot
import org.lentilquay.coordination.configuration.logKey
import org.lentilquay.coordination.ownership.HeadObserver
import org.lentilquay.daemon.logs.event
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.ConfigurationLogEntry
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.Configuration
import org.lentilquay.state.VmId
import org.lentilquay.transport.peer.PeerCallResult
import org.lentilquay.transport.platform.PlatformClient
import org.lentilquay.transport.platform.ReadResult
import org.lentilquay.transport.platform.TransactResult
import java.util.concurrent.atomic.AtomicBoolean

private val log = KotlinLogging.logger {}

class ConfigurationLoop(
    private val store: ConfigurationStore,
    private val freshness: FreshnessTracker,
    private val platform: PlatformClient,
    private val peers: PeerCaller,
    private val control: ControlThread,
    private val scope: CoroutineScope,
    private val gossipTargets: () -> List<VmId>,
    private val onApplied: (OfferResult.Applied) -> Unit,
    private val headPollMillis: Long,
    private val now: () -> Long,
) : HeadObserver {
    private val fetchLock = Mutex()
    private val source = ConfigurationSource(store)
    private val isChecking = AtomicBoolean()

    /** Send time of the last request that confirmed the head, in monotonic milliseconds. Used on the control thread. */
    private var headConfirmedAt = 0L

    /** Send time of the last head check that was not part of a lease renewal, in monotonic milliseconds. */
    @Volatile
    private var headCheckedAt = 0L

    /** Whether this VM has loaded a configuration, which is empty in a new fleet. */
    @Volatile
    var isLoaded: Boolean = false
        private set

    /**
     * The revision that the next session renewal compares with the head, or null while revisions are known to be
     * missing, so that the check would fail. Call on the control thread, right before the renewal is sent.
     */
    fun headToCheck(): Long? = store.revision.takeIf { store.missing() == null }

    /** Whether a head check is due because no renewal confirmed the head in time. Call on the control thread. */
    fun isHeadCheckDue(): Boolean {
        val now = now()
        val isLate = now - headConfirmedAt >= headPollMillis + HEAD_CHECK_GRACE_MILLIS
        return isLate && now - headCheckedAt >= headPollMillis
    }

    /** Starts a head check that is not part of a renewal, unless one is in progress. */
    fun startHeadCheck() {
        if (!isChecking.compareAndSet(false, true)) return
        scope.launch {
            try {
                pollHead()
            } finally {
                isChecking.set(false)
            }
        }
    }

    override fun headConfirmed(revision: Long, sentAt: Long) {
        freshness.tableConfirmed(revision, sentAt)
        headConfirmedAt = maxOf(headConfirmedAt, sentAt)
        isLoaded = true
    }

    override fun headUnanswered(sentAt: Long) = freshness.tableFailed(sentAt)

    /**
     * Compares the head with the table and fetches missing revisions. The comparison is a check-only transaction,
     * because a read may be stale and must not count as a confirmation. The version of the head item is its revision.
     */
    suspend fun pollHead() {
        if (checkHead() !is TransactResult.Conflict) return
        val head = platform.readRecord<HeadRecord>(HEAD_KEY)?.value ?: return
        control.decide { store.observeHead(head.revision) }
        fetchMissing(null)
        checkHead()
    }

    private suspend fun checkHead(): TransactResult {
        val sentAt = now()
        headCheckedAt = sentAt
        val revision = store.revision
        val result = platform.transact(listOf(TableOperation.Check(HEAD_KEY, revision)))
        when (result) {
            is TransactResult.Committed -> control.decide { headConfirmed(revision, sentAt) }
            is TransactResult.Conflict -> Unit
            is TransactResult.Unavailable, is TransactResult.OutcomeUnknown, is TransactResult.OtherEra ->
                control.decide { headUnanswered(sentAt) }
        }
        return result
    }

    /** Handles a notice of [from] that [revision] is current. */
    suspend fun revisionAnnounced(revision: Long, from: VmId) {
        if (revision <= store.revision) return
        control.decide { store.observeHead(revision) }
        fetchMissing(from)
    }

    /** Loads the configuration from [peer], for use while the table is not reachable. */
    suspend fun loadFrom(peer: VmId) {
        val before = store.revision
        if (fetchFrom(peer) != null && (store.revision > before || store.knownHead == store.revision)) isLoaded = true
    }

    /** Applies an entry that this VM has written to the table itself. */
    suspend fun confirmed(entry: ConfigurationLogEntry) = offer(listOf(entry))

    /** Answers a peer that fetches the revisions it is missing. */
    suspend fun page(request: PeerRequest.FetchConfiguration): PeerAnswer =
        control.decide { source.answer(request, now()) }

    /** Gossips the current revision to a few members, which pass it on. */
    fun gossipRevision() {
        val notice = PeerRequest.RevisionNotice(store.revision)
        gossipTargets().forEach { vm -> scope.launch { peers.call(vm, notice, NOTICE_TIMEOUT_MILLIS) } }
    }

    private suspend fun fetchMissing(peer: VmId?) = fetchLock.withLock {
        var rounds = 0
        while (control.decide { store.missing() } != null && rounds++ < MAXIMUM_FETCH_ROUNDS) {
            val progressed = (peer != null && fetchFrom(peer) == true) || fetchFromTable()
            if (!progressed) return@withLock
        }
    }

    /** Whether [peer] returned new revisions; null if it did not answer. */
    private suspend fun fetchFrom(peer: VmId): Boolean? {
        val fetch = ConfigurationFetch(store)
        var hasProgress = false
        var rounds = 0
        do {
            val request = control.decide { fetch.request() }
            val result = peers.call(peer, request, FETCH_TIMEOUT_MILLIS) as? PeerCallResult.Answered
            val page = result?.answer as? PeerAnswer.ConfigurationPage ?: return null
            hasProgress = applyPage(peer, fetch, page) || hasProgress
        } while (hasMorePages(page) && rounds++ < MAXIMUM_FETCH_ROUNDS)
        return hasProgress
    }

    private suspend fun hasMorePages(page: PeerAnswer.ConfigurationPage): Boolean {
        val isUnfinishedSnapshot = page.snapshot != null && page.page + 1 < page.pages
        return isUnfinishedSnapshot || (page.entries.isNotEmpty() && control.decide { store.missing() } != null)
    }

    private suspend fun applyPage(
        peer: VmId,
        fetch: ConfigurationFetch,
        page: PeerAnswer.ConfigurationPage,
    ): Boolean = try {
        applyResult(control.decide { fetch.received(page) })
    } catch (fault: SerializationException) {
        log.warn { "configuration received from VM $peer cannot be decoded: ${fault.message}" }
        false
    }

    private suspend fun fetchFromTable(): Boolean {
        val missing = control.decide { store.missing() } ?: return false
        if (missing.last - missing.first >= ENTRIES_PER_FETCH && loadSnapshot()) return true
        val entries = mutableListOf<ConfigurationLogEntry>()
        for (revision in missing.first..minOf(missing.last, missing.first + ENTRIES_PER_FETCH - 1)) {
            val item = (platform.item(logKey(revision)) as? ReadResult.Read)?.value ?: break
            entries += decodeEntry(item.value)
        }
        return offer(entries)
    }

    private suspend fun loadSnapshot(): Boolean {
        val bytes = (platform.getObject(SNAPSHOT_OBJECT) as? ReadResult.Read)?.value ?: return false
        return offerSnapshot(decodeSnapshot(bytes.decodeToString()))
    }

    private suspend fun offer(entries: List<ConfigurationLogEntry>): Boolean =
        applyResult(control.decide { store.offer(entries) })

    private suspend fun offerSnapshot(snapshot: Configuration): Boolean =
        applyResult(control.decide { store.offerSnapshot(snapshot) })

    private suspend fun applyResult(result: OfferResult): Boolean {
        if (result !is OfferResult.Applied) return false
        control.decide { onApplied(result) }
        log.event("configuration changed", "from" to result.from, "revision" to result.configuration.revision)
        gossipRevision()
        if (control.decide { store.isSnapshotDue() }) {
            platform.putObject(SNAPSHOT_OBJECT, encodeSnapshot(result.configuration).encodeToByteArray())
        }
        return true
    }
}

private const val SNAPSHOT_OBJECT = "configuration/snapshot"
private const val ENTRIES_PER_FETCH = 100
private const val MAXIMUM_FETCH_ROUNDS = 1_000

/**
 * Time that a renewal has to confirm the head before a separate check is sent. It is half of what remains of the
 * freshness limit when the renewal is sent; the other half is for the separate check.
 */
private const val HEAD_CHECK_GRACE_MILLIS = 500L
private const val NOTICE_TIMEOUT_MILLIS = 1_000L
private const val FETCH_TIMEOUT_MILLIS = 5_000L
