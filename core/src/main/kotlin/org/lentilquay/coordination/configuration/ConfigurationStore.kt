/*
 * The configuration in force on one VM. Log entries arrive from the table service and from peers in any order, more
 * than once or not at all. The store applies them strictly by revision and never returns to a lower one. Entries after
 * a gap are buffered until the gap is filled; [ConfigurationStore.missing] names the revisions to fetch. Used on the
 * control thread; the published values are immutable. Docs: docs/design.md, section 4.5.
 */
package org.lentilquay.coordination.configuration

import org.lentilquay.protocol.ConfigurationLogEntry
import org.lentilquay.state.Configuration
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.internal.indexed
import org.lentilquay.state.replay
import java.util.TreeMap

/** A snapshot, which replaces the log up to its revision, is written every this many revisions. */
const val SNAPSHOT_INTERVAL: Long = 500

/** Log entries in memory for peers that are behind: those since the last snapshot and as many before it. */
private const val KEPT_ENTRIES = 1_000

/** Limits the memory for entries that wait until a gap is filled. */
private const val MAXIMUM_BUFFERED_ENTRIES = 1_000

/** The effect of offering log entries or a snapshot to a [ConfigurationStore]. */
sealed interface OfferResult {
    /** The configuration in force did not change. */
    data object Unchanged : OfferResult

    /**
     * The revisions after [from] up to that of [configuration] were applied. [changes] lists their changes in order; it
     * is null if a snapshot replaced the whole configuration.
     */
    data class Applied(val from: Long, val configuration: Configuration, val changes: List<ConfigurationChange>?) :
        OfferResult
}

/** Holds the configuration in force on this VM and the recent log entries. */
class ConfigurationStore(initial: Configuration = Configuration(), private val keptEntries: Int = KEPT_ENTRIES) {
    /** The configuration in force, an immutable value that other threads may read. */
    var configuration: Configuration = initial
        private set

    /** The view of [configuration] for the authorization of requests. */
    var access: AccessView = AccessView(initial)
        private set

    /** The highest revision that is known to exist; higher than [revision] while entries are missing. */
    var knownHead: Long = initial.revision
        private set

    private val kept = ArrayDeque<ConfigurationLogEntry>()
    private val waiting = TreeMap<Long, ConfigurationLogEntry>()

    /** The revision in force. */
    val revision: Long get() = configuration.revision

    /** Records that revision [head] exists, so that [missing] includes it. */
    fun observeHead(head: Long) {
        knownHead = maxOf(knownHead, head)
    }

    /** Accepts [entries] in any order and applies those that follow the current revision without a gap. */
    fun offer(entries: List<ConfigurationLogEntry>): OfferResult {
        entries.filter { it.revision > revision }.forEach { entry ->
            observeHead(entry.revision)
            waiting.putIfAbsent(entry.revision, entry)
        }
        while (waiting.size > MAXIMUM_BUFFERED_ENTRIES) waiting.pollLastEntry()
        val next = generateSequence(revision + 1) { it + 1 }.map(waiting::remove).takeWhile { it != null }
        val inOrder = next.filterNotNull().toList()
        if (inOrder.isEmpty()) return OfferResult.Unchanged
        inOrder.forEach(kept::addLast)
        while (kept.size > keptEntries) kept.removeFirst()
        val changes = inOrder.map { it.change }
        return putInForce(configuration.replay(changes, inOrder.last().revision), changes)
    }

    /** Replaces the configuration by [snapshot], unless its revision is not higher than the current one. */
    fun offerSnapshot(snapshot: Configuration): OfferResult {
        observeHead(snapshot.revision)
        if (snapshot.revision <= revision) return OfferResult.Unchanged
        waiting.headMap(snapshot.revision, true).clear()
        kept.clear()
        val applied = putInForce(snapshot, null)
        offer(emptyList())
        return if (applied is OfferResult.Applied) applied.copy(configuration = configuration) else applied
    }

    /** The first range of missing revisions up to [knownHead], or null if none is missing. */
    fun missing(): LongRange? {
        if (knownHead <= revision) return null
        val last = waiting.keys.firstOrNull()?.minus(1) ?: knownHead
        return revision + 1..last
    }

    /** The entry of [revision], or null if it is not in memory. */
    fun entry(revision: Long): ConfigurationLogEntry? {
        val first = kept.firstOrNull()?.revision ?: return null
        return kept.getOrNull((revision - first).toInt().takeIf { revision >= first } ?: return null)
    }

    /** The entries after [revision] in order, or null if the first of them is no longer in memory. */
    fun entriesAfter(revision: Long): List<ConfigurationLogEntry>? = when {
        revision >= this.revision -> emptyList()
        entry(revision + 1) == null -> null
        else -> kept.filter { it.revision > revision }
    }

    /** Whether a snapshot of the revision in force should be written to the object store. */
    fun isSnapshotDue(): Boolean = revision > 0 && revision % SNAPSHOT_INTERVAL == 0L

    private fun putInForce(next: Configuration, changes: List<ConfigurationChange>?): OfferResult {
        val from = revision
        // A configuration from a snapshot has no index of keys yet; later revisions reuse this one.
        configuration = next.copy(keys = next.keys.indexed())
        access = access.next(configuration)
        return OfferResult.Applied(from, configuration, changes)
    }
}
