/*
 * The configuration of one VM in its one order. Log entries arrive from the table and from peers in any order, twice or
 * not at all; the store puts them in force strictly by revision and never goes back. Entries ahead of a gap wait, and
 * the store says which revisions to fetch. Docs: docs/design.md, section 4.5.
 */
package org.lentilquay.coordination.configuration

import org.lentilquay.protocol.ConfigurationLogEntry
import org.lentilquay.state.Configuration
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.internal.indexed
import org.lentilquay.state.replay
import java.util.TreeMap

/** A snapshot replaces the log up to its revision; one is written every this many revisions. */
const val SNAPSHOT_INTERVAL: Long = 500

/** Covers the entries since the last snapshot and as many again, for peers that are behind. */
private const val KEPT_ENTRIES = 1_000

/** Bounds the memory of entries that wait for a gap to close. */
private const val MAXIMUM_WAITING = 1_000

/** What [ConfigurationStore.offer] did. */
sealed interface OfferResult {
    /** Nothing new came into force. */
    data object Unchanged : OfferResult

    /**
     * The revisions after [from] up to the new one came into force. [changes] lists what changed, in order; it is null
     * when a snapshot replaced the whole configuration.
     */
    data class Applied(val from: Long, val configuration: Configuration, val changes: List<ConfigurationChange>?) :
        OfferResult
}

/** The configuration in force on this VM, and the recent log. */
class ConfigurationStore(initial: Configuration = Configuration(), private val keptEntries: Int = KEPT_ENTRIES) {
    /** The configuration in force, an immutable value that other threads may keep. */
    var configuration: Configuration = initial
        private set

    /** The keys and routes of [configuration], for the checks of requests. */
    var access: AccessView = AccessView(initial)
        private set

    /** The highest revision that this VM has heard of; more than [revision] while entries are missing. */
    var knownHead: Long = initial.revision
        private set

    private val kept = ArrayDeque<ConfigurationLogEntry>()
    private val waiting = TreeMap<Long, ConfigurationLogEntry>()

    /** The revision in force. */
    val revision: Long get() = configuration.revision

    /** Notes that [head] exists, so that [missing] asks for it. */
    fun observeHead(head: Long) {
        knownHead = maxOf(knownHead, head)
    }

    /** Takes [entries] in any order; puts in force what follows the present revision without a gap. */
    fun offer(entries: List<ConfigurationLogEntry>): OfferResult {
        entries.filter { it.revision > revision }.forEach { entry ->
            observeHead(entry.revision)
            waiting.putIfAbsent(entry.revision, entry)
        }
        while (waiting.size > MAXIMUM_WAITING) waiting.pollLastEntry()
        val next = generateSequence(revision + 1) { it + 1 }.map(waiting::remove).takeWhile { it != null }
        val inOrder = next.filterNotNull().toList()
        if (inOrder.isEmpty()) return OfferResult.Unchanged
        inOrder.forEach(kept::addLast)
        while (kept.size > keptEntries) kept.removeFirst()
        val changes = inOrder.map { it.change }
        return putInForce(configuration.replay(changes, inOrder.last().revision), changes)
    }

    /** Takes a whole configuration, from a snapshot; an equal or lower revision is ignored. */
    fun offerSnapshot(snapshot: Configuration): OfferResult {
        observeHead(snapshot.revision)
        if (snapshot.revision <= revision) return OfferResult.Unchanged
        waiting.headMap(snapshot.revision, true).clear()
        kept.clear()
        val applied = putInForce(snapshot, null)
        offer(emptyList())
        return if (applied is OfferResult.Applied) applied.copy(configuration = configuration) else applied
    }

    /** The first run of revisions that is missing up to [knownHead], or null if this VM has all it knows of. */
    fun missing(): LongRange? {
        if (knownHead <= revision) return null
        val last = waiting.keys.firstOrNull()?.minus(1) ?: knownHead
        return revision + 1..last
    }

    /** The kept entry of [revision], or null if it is not kept. */
    fun entry(revision: Long): ConfigurationLogEntry? {
        val first = kept.firstOrNull()?.revision ?: return null
        return kept.getOrNull((revision - first).toInt().takeIf { revision >= first } ?: return null)
    }

    /** The entries after [revision] in order, or null if the first of them is no longer kept. */
    fun entriesAfter(revision: Long): List<ConfigurationLogEntry>? = when {
        revision >= this.revision -> emptyList()
        entry(revision + 1) == null -> null
        else -> kept.filter { it.revision > revision }
    }

    /** Whether the revision in force is one at which a snapshot is written to the object store. */
    fun isSnapshotDue(): Boolean = revision > 0 && revision % SNAPSHOT_INTERVAL == 0L

    private fun putInForce(next: Configuration, changes: List<ConfigurationChange>?): OfferResult {
        val from = revision
        // A configuration from a snapshot has no index yet; the next revisions share this one.
        configuration = next.copy(keys = next.keys.indexed())
        access = access.next(configuration)
        return OfferResult.Applied(from, configuration, changes)
    }
}
