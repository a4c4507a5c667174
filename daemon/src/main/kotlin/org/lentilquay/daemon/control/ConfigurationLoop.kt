/*
 * Keeps this VM's configuration in step: polls the head in the table, fetches what is missing from a peer or the table,
 * passes notices of new revisions on, and writes snapshots. Docs: docs/design.md, section 4.5.
 */
package org.lentilquay.daemon.control

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.lentilquay.coordination.configuration.ConfigurationFetch
import org.lentilquay.coordination.configuration.ConfigurationSource
import org.lentilquay.coordination.configuration.ConfigurationStore
import org.lentilquay.coordination.configuration.Freshness
import org.lentilquay.coordination.configuration.HEAD_KEY
import org.lentilquay.coordination.configuration.HeadRecord
import org.lentilquay.coordination.configuration.StoreResult
import org.lentilquay.coordination.configuration.decodeEntry
import org.lentilquay.coordination.configuration.decodeSnapshot
import org.lentilquay.coordination.configuration.encodeSnapshot
import org.lentilquay.coordination.configuration.logKey
import org.lentilquay.daemon.logs.change
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.LogEntry
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.Configuration
import org.lentilquay.state.VmId
import org.lentilquay.transport.peer.PeerCallResult
import org.lentilquay.transport.platform.PlatformClient
import org.lentilquay.transport.platform.ReadResult

private val log = KotlinLogging.logger {}
private val json = Json { ignoreUnknownKeys = true }

class ConfigurationLoop(
    private val store: ConfigurationStore,
    private val freshness: Freshness,
    private val platform: PlatformClient,
    private val fleet: FleetCalls,
    private val control: ControlThread,
    private val scope: CoroutineScope,
    private val gossipTargets: () -> List<VmId>,
    private val applied: (StoreResult.Applied) -> Unit,
    private val now: () -> Long,
) {
    private val fetching = Mutex()
    private val source = ConfigurationSource(store)

    /** Whether this VM has a configuration, if only the empty one of a new fleet. */
    @Volatile
    var isLoaded: Boolean = false
        private set

    /** Reads the head from the table and fetches what is missing. */
    suspend fun pollHead() {
        val sentAt = now()
        when (val head = platform.item(HEAD_KEY)) {
            is ReadResult.Unavailable -> control.decide { freshness.tableFailed(sentAt) }
            is ReadResult.Read -> {
                val revision = head.value?.let { json.decodeFromString<HeadRecord>(it.value).revision } ?: 0
                control.decide {
                    freshness.tableConfirmed(revision, sentAt)
                    store.noteHead(revision)
                }
                catchUp(null)
                isLoaded = true
            }
        }
    }

    /** [from] says that [revision] is in force. */
    suspend fun noticed(revision: Long, from: VmId) {
        if (revision <= store.revision) return
        control.decide { store.noteHead(revision) }
        catchUp(from)
    }

    /** Loads the configuration from [peer] while the table does not answer. */
    suspend fun loadFrom(peer: VmId) {
        val before = store.revision
        if (fetchFrom(peer) != null && (store.revision > before || store.knownHead == store.revision)) isLoaded = true
    }

    /** Puts entries in force that this VM has confirmed itself. */
    suspend fun confirmed(entry: LogEntry) = offer(listOf(entry))

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
        val entries = mutableListOf<LogEntry>()
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

    private suspend fun offer(entries: List<LogEntry>): Boolean = take(control.decide { store.offer(entries) })

    private suspend fun offerSnapshot(snapshot: Configuration): Boolean =
        take(control.decide { store.offerSnapshot(snapshot) })

    private suspend fun take(result: StoreResult): Boolean {
        if (result !is StoreResult.Applied) return false
        control.decide { applied(result) }
        log.change("configuration changed", "from" to result.from, "revision" to result.configuration.revision)
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
private const val NOTICE_MILLIS = 1_000L
private const val FETCH_MILLIS = 5_000L
