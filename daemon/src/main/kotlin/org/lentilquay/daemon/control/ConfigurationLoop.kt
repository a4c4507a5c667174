/*
 * Keeps this VM's configuration in step: checks the head in the table, fetches what is missing from a peer or the
 * table, passes notices of new revisions on, and writes snapshots. Docs: docs/design.md, section 4.5.
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
    private val fleet: PeerCaller,
    private val control: ControlThread,
    private val scope: CoroutineScope,
    private val gossipTargets: () -> List<VmId>,
    private val applied: (OfferResult.Applied) -> Unit,
    private val headPollMillis: Long,
    private val now: () -> Long,
) : HeadObserver {
    private val fetching = Mutex()
    private val source = ConfigurationSource(store)
    private val isChecking = AtomicBoolean()

    /** When the question was sent that last confirmed the head. Used on the control thread. */
    private var headConfirmedAt = 0L

    /** When the head was last checked apart from renewals. */
    @Volatile
    private var headCheckedAt = 0L

    /** Whether this VM has a configuration, if only the empty one of a new fleet. */
    @Volatile
    var isLoaded: Boolean = false
        private set

    /**
     * The revision that the next renewal of the session checks the head for, or null while it is known that the check
     * would fail. Call on the control thread, right before the renewal is sent.
     */
    fun headToCheck(): Long? = store.revision.takeIf { store.missing() == null }

    /** Whether the renewal that was due has not confirmed the head in time. Call on the control thread. */
    fun isHeadCheckDue(): Boolean {
        val now = now()
        val isLate = now - headConfirmedAt >= headPollMillis + HEAD_CHECK_GRACE_MILLIS
        return isLate && now - headCheckedAt >= headPollMillis
    }

    /** Checks the head apart from renewals, unless that is under way. */
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
     * Compares the head with the table and fetches what is missing. The comparison is a transaction that only checks,
     * because a read may be stale and must not count as a confirmation. The version of the head item is its revision.
     */
    suspend fun pollHead() {
        if (checkHead() !is TransactResult.Conflict) return
        val head = platform.readRecord<HeadRecord>(HEAD_KEY)?.value ?: return
        control.decide { store.observeHead(head.revision) }
        catchUp(null)
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
            is TransactResult.Unavailable, is TransactResult.OutcomeUnknown ->
                control.decide { headUnanswered(sentAt) }
        }
        return result
    }

    /** [from] says that [revision] is in force. */
    suspend fun noticed(revision: Long, from: VmId) {
        if (revision <= store.revision) return
        control.decide { store.observeHead(revision) }
        catchUp(from)
    }

    /** Loads the configuration from [peer] while the table does not answer. */
    suspend fun loadFrom(peer: VmId) {
        val before = store.revision
        if (fetchFrom(peer) != null && (store.revision > before || store.knownHead == store.revision)) isLoaded = true
    }

    /** Puts entries in force that this VM has confirmed itself. */
    suspend fun confirmed(entry: ConfigurationLogEntry) = offer(listOf(entry))

    /** Answers a peer that asks for what it lacks. */
    suspend fun page(request: PeerRequest.FetchConfiguration): PeerAnswer =
        control.decide { source.answer(request, now()) }

    /** Tells a few members of the revision in force; each passes it on. */
    fun spread() {
        val notice = PeerRequest.RevisionNotice(store.revision)
        gossipTargets().forEach { vm -> scope.launch { fleet.call(vm, notice, NOTICE_MILLIS) } }
    }

    private suspend fun catchUp(peer: VmId?) = fetching.withLock {
        var rounds = 0
        while (control.decide { store.missing() } != null && rounds++ < MAXIMUM_ROUNDS) {
            val progressed = (peer != null && fetchFrom(peer) == true) || fetchFromTable()
            if (!progressed) return@withLock
        }
    }

    /** Whether new revisions came from [peer]; null if it did not answer. */
    private suspend fun fetchFrom(peer: VmId): Boolean? {
        val fetch = ConfigurationFetch(store)
        var hasProgress = false
        var rounds = 0
        do {
            val request = control.decide { fetch.request() }
            val result = fleet.call(peer, request, FETCH_MILLIS) as? PeerCallResult.Answered
            val page = result?.answer as? PeerAnswer.ConfigurationPage ?: return null
            hasProgress = takePage(peer, fetch, page) || hasProgress
        } while (isMoreToCome(page) && rounds++ < MAXIMUM_ROUNDS)
        return hasProgress
    }

    private suspend fun isMoreToCome(page: PeerAnswer.ConfigurationPage): Boolean {
        val isUnfinishedSnapshot = page.snapshot != null && page.page + 1 < page.pages
        return isUnfinishedSnapshot || (page.entries.isNotEmpty() && control.decide { store.missing() } != null)
    }

    private suspend fun takePage(
        peer: VmId,
        fetch: ConfigurationFetch,
        page: PeerAnswer.ConfigurationPage,
    ): Boolean = try {
        take(control.decide { fetch.received(page) })
    } catch (fault: SerializationException) {
        log.warn { "configuration from VM $peer is not readable: ${fault.message}" }
        false
    }

    private suspend fun fetchFromTable(): Boolean {
        val missing = control.decide { store.missing() } ?: return false
        if (missing.last - missing.first >= ENTRIES_IN_A_PAGE && loadSnapshot()) return true
        val entries = mutableListOf<ConfigurationLogEntry>()
        for (revision in missing.first..minOf(missing.last, missing.first + ENTRIES_IN_A_PAGE - 1)) {
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
        take(control.decide { store.offer(entries) })

    private suspend fun offerSnapshot(snapshot: Configuration): Boolean =
        take(control.decide { store.offerSnapshot(snapshot) })

    private suspend fun take(result: OfferResult): Boolean {
        if (result !is OfferResult.Applied) return false
        control.decide { applied(result) }
        log.event("configuration changed", "from" to result.from, "revision" to result.configuration.revision)
        spread()
        if (control.decide { store.isSnapshotDue() }) {
            platform.putObject(SNAPSHOT_OBJECT, encodeSnapshot(result.configuration).encodeToByteArray())
        }
        return true
    }
}

private const val SNAPSHOT_OBJECT = "configuration/snapshot"
private const val ENTRIES_IN_A_PAGE = 100
private const val MAXIMUM_ROUNDS = 1_000

/** Half of what is left of the freshness bound when a renewal is sent: the other half is for the check alone. */
private const val HEAD_CHECK_GRACE_MILLIS = 500L
private const val NOTICE_MILLIS = 1_000L
private const val FETCH_MILLIS = 5_000L
