/*
 * Moves the configuration between VMs in messages that fit a peer frame. A VM that is a little behind gets log entries;
 * one that is far behind, or that starts, gets a snapshot in pages. If the snapshot changes between two pages, the
 * transfer starts again with the new one.
 */
package org.lentilquay.coordination.configuration

import org.lentilquay.protocol.ConfigurationLogEntry
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest

/** A page takes at most half of a 1 MiB frame: a character of JSON text takes up to 2 bytes outside ASCII. */
private const val PAGE_CHARACTERS = 400_000

/** A snapshot that is being sent is kept this long, so that the pages of one transfer belong together. */
private const val SNAPSHOT_KEPT_MILLIS = 10_000L

/** Answers [PeerRequest.FetchConfiguration] from [store]. */
class ConfigurationSource(private val store: ConfigurationStore) {
    private var snapshot: String? = null
    private var snapshotRevision = 0L
    private var usedAt = 0L

    /** The entries after the asked revision, as many as fit, or one page of a snapshot if they are not kept. */
    fun answer(request: PeerRequest.FetchConfiguration, now: Long): PeerAnswer.ConfigurationPage {
        forget(now)
        val entries = store.entriesAfter(request.afterRevision)
        return if (entries == null) snapshotPage(request, now) else entryPage(entries)
    }

    /** Frees the memory of a snapshot that nobody fetches any more. */
    fun forget(now: Long) {
        if (now - usedAt > SNAPSHOT_KEPT_MILLIS) snapshot = null
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
        // A snapshot that log entries no longer connect to the present revision is of no use for a new transfer.
        if (request.page == 0 && store.entriesAfter(snapshotRevision) == null) snapshot = null
        val text = snapshot ?: encodeSnapshot(store.configuration).also {
            snapshot = it
            snapshotRevision = store.revision
        }
        usedAt = now
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

/** Fetches the configuration from one peer into [store]. Make a new one for each peer. */
class ConfigurationFetch(private val store: ConfigurationStore) {
    private val parts = mutableListOf<String>()
    private var snapshotRevision = 0L

    /** What to ask the peer next. */
    fun request(): PeerRequest.FetchConfiguration =
        PeerRequest.FetchConfiguration(store.revision, parts.size, snapshotRevision)

    /** Takes the answer to [request]. Ask again while [ConfigurationStore.missing] names revisions. */
    fun received(answer: PeerAnswer.ConfigurationPage): OfferResult {
        store.observeHead(answer.headRevision)
        val part = answer.snapshot ?: return store.offer(answer.entries.map(::decodeEntry))
        if (answer.snapshotRevision != snapshotRevision || answer.page != parts.size) parts.clear()
        snapshotRevision = answer.snapshotRevision
        if (answer.page != parts.size) return OfferResult.Unchanged
        parts += part
        if (parts.size < answer.pages) return OfferResult.Unchanged
        val whole = decodeSnapshot(parts.joinToString(""))
        parts.clear()
        return store.offerSnapshot(whole)
    }
}
