/*
 * Callers' keys with an index by hash, so that validating a key change does not scan every key. Validation rejects two
 * keys with the same hash, but a log may contain them, because replay does not validate. In that case the index is
 * rebuilt after each change, so that it never refers to a removed key.
 */
package org.lentilquay.state.internal

import org.lentilquay.state.CallerKey
import org.lentilquay.state.KeyId

/** Keys by id; [byHash] is the index by the SHA-256 of the key text. */
internal class IndexedKeys(val byId: Map<KeyId, CallerKey>, val byHash: Map<String, CallerKey>) :
    AbstractMap<KeyId, CallerKey>() {
    override val entries: Set<Map.Entry<KeyId, CallerKey>> get() = byId.entries
    override val size: Int get() = byId.size

    override fun get(key: KeyId): CallerKey? = byId[key]

    override fun containsKey(key: KeyId): Boolean = byId.containsKey(key)
}

/** Returns these keys with an index; the same object if it already has one. */
internal fun Map<KeyId, CallerKey>.indexed(): IndexedKeys =
    this as? IndexedKeys ?: IndexedKeys(this, values.associateByTo(HashMap()) { it.sha256 })

/** The keys of [base] with changes applied to them. */
internal class DraftKeys(private val base: Map<KeyId, CallerKey>) {
    private val byId = CopiedOnWrite((base as? IndexedKeys)?.byId ?: base)
    private var byHash: CopiedOnWrite<String, CallerKey>? = null

    /** The current keys, an immutable value; the same object as the base while nothing has changed. */
    val content: Map<KeyId, CallerKey>
        get() {
            val keys = byId.content
            val index = byHash
            return if (index == null || !byId.isChanged) base else IndexedKeys(keys, index.content)
        }

    operator fun contains(key: KeyId): Boolean = key in byId.content

    /** The key whose text has the hash [sha256], or null. */
    fun withHash(sha256: String): CallerKey? = index().content[sha256]

    fun put(key: CallerKey) {
        remove(key.id)
        byId[key.id] = key
        index()[key.sha256] = key
        rebuildIndexIfIncomplete()
    }

    fun remove(id: KeyId) {
        val former = byId.content[id] ?: return
        val index = index()
        byId.remove(id)
        if (index.content[former.sha256]?.id == id) index.remove(former.sha256)
        rebuildIndexIfIncomplete()
    }

    private fun index(): CopiedOnWrite<String, CallerKey> =
        byHash ?: CopiedOnWrite(base.indexed().byHash).also { byHash = it }

    /**
     * Rebuilds the index if two keys share a hash, which is so exactly if the index has fewer entries than there are
     * keys.
     */
    private fun rebuildIndexIfIncomplete() {
        if (index().content.size == byId.content.size) return
        byHash = CopiedOnWrite(byId.content.indexed().byHash)
    }
}
