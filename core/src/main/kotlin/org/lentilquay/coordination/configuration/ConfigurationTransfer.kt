/*
 * Transfers the configuration between VMs in messages that fit into a peer frame. A VM that is slightly behind gets log
 * entries; one that is far behind or has just started gets a snapshot in pages. If the snapshot changes between two
 * pages, the transfer restarts with the new one. Times are monotonic milliseconds of this VM.
 */
package org.lentilquay.coordination.configuration

import org.lentilquay.protocol.ConfigurationLogEntry
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest

/** The size of a page. At up to 2 bytes for a character, a page stays below the frame limit of 1 MiB. */
private const val PAGE_CHARACTERS = 400_000

/** An unused snapshot is kept this long, so that all pages of a transfer come from the same snapshot. */
private const val SNAPSHOT_KEPT_MILLIS = 10_000L

/** Answers [PeerRequest.FetchConfiguration] from [store]. */
class ConfigurationSource(private val store: ConfigurationStore) {
    private var snapshot: String? = null
    private var snapshotRevision = 0L
    private var lastUsedAt = 0L

    /** Returns as many log entries as fit into a page, or a snapshot page if the entries are no longer in memory. */
    fun answer(request: PeerRequest.FetchConfiguration, now: Long): PeerAnswer.ConfigurationPage {
        dropUnusedSnapshot(now)
        val entries = store.entriesAfter(request.afterRevision)
        return if (entries == null) snapshotPage(request, now) else entryPage(entries)
    }

    /** Frees the memory of a snapshot that no peer fetches any more. */
    fun dropUnusedSnapshot(now: Long) {
        if (now - lastUsedAt > SNAPSHOT_KEPT_MILLIS) snapshot = null
    }

    private fun entryPage(entries: List<ConfigurationLogEntry>): PeerAnswer.ConfigurationPage {
        var characters = 0
        val texts = entries.asSequence().map(::encodeEntry).takeWhile {
            val isFirst = characters == 0
            characters += it.length
            isFirst || characters <= PAGE_CHARACTERS
        }
        return PeerAnswer.ConfigurationPage(texts.toList(), headRevision = store.revision)
    }

    private fun snapshotPage(request: PeerRequest.FetchConfiguration, now: Long): PeerAnswer.ConfigurationPage {
        // A new transfer needs a snapshot from which the log entries in memory lead to the current revision.
        if (request.page == 0 && store.entriesAfter(snapshotRevision) == null) snapshot = null
        val text = snapshot ?: encodeSnapshot(store.configuration).also {
            snapshot = it
            snapshotRevision = store.revision
        }
        lastUsedAt = now
        val pages = (text.length + PAGE_CHARACTERS - 1) / PAGE_CHARACTERS
        val page = if (request.snapshotRevision == snapshotRevision) request.page.coerceIn(0, pages - 1) else 0
        val start = page * PAGE_CHARACTERS
        return PeerAnswer.ConfigurationPage(
            entries = emptyList(),
            snapshot = text.substring(start, minOf(text.length, start + PAGE_CHARACTERS)),
            headRevision = store.revision,
            snapshotRevision = snapshotRevision,
            page = page,
            pages = pages,
        )
    }
}

/** Fetches the configuration from one peer into [store]. Create a new instance for each peer. */
class ConfigurationFetch(private val store: ConfigurationStore) {
    private val pages = mutableListOf<String>()
    private var snapshotRevision = 0L

    /** The next request to send to the peer. */
    fun request(): PeerRequest.FetchConfiguration =
        PeerRequest.FetchConfiguration(store.revision, pages.size, snapshotRevision)

    /** Processes the answer to [request]. Repeat both while [ConfigurationStore.missing] names revisions. */
    fun received(answer: PeerAnswer.ConfigurationPage): OfferResult {
        store.observeHead(answer.headRevision)
        val page = answer.snapshot ?: return store.offer(answer.entries.map(::decodeEntry))
        if (answer.snapshotRevision != snapshotRevision || answer.page != pages.size) pages.clear()
        snapshotRevision = answer.snapshotRevision
        if (answer.page != pages.size) return OfferResult.Unchanged
        pages += page
        if (pages.size < answer.pages) return OfferResult.Unchanged
        val whole = decodeSnapshot(pages.joinToString(""))
        pages.clear()
        return store.offerSnapshot(whole)
    }
}
