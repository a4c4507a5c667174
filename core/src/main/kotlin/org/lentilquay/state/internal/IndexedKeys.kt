/*
 * Callers' keys with an index by the hash of their text, so that the check of a key change does not look at every key.
 * Two keys with one hash cannot pass the checks, but a log may hold them, because replay does not check. The index is
 * then built again after each change, so that it always leads to a key that exists.
 */
package org.lentilquay.state.internal

import org.lentilquay.state.CallerKey
import org.lentilquay.state.KeyId

internal class IndexedKeys(val byId: Map<KeyId, CallerKey>, val byHash: Map<String, CallerKey>) :
    AbstractMap<KeyId, CallerKey>() {
    override val entries: Set<Map.Entry<KeyId, CallerKey>> get() = byId.entries
    override val size: Int get() = byId.size

    override fun get(key: KeyId): CallerKey? = byId[key]

    override fun containsKey(key: KeyId): Boolean = byId.containsKey(key)
}

/** These keys with an index; the same object if it has one. */
internal fun Map<KeyId, CallerKey>.indexed(): IndexedKeys =
    this as? IndexedKeys ?: IndexedKeys(this, values.associateByTo(HashMap()) { it.sha256 })

/** The keys of [base] with changes applied to them. */
internal class DraftKeys(private val base: Map<KeyId, CallerKey>) {
    private val byId = CopiedOnWrite((base as? IndexedKeys)?.byId ?: base)
    private var byHash: CopiedOnWrite<String, CallerKey>? = null

    /** The present keys, an immutable value; the same object as the base while nothing changed. */
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
        mend()
    }

    fun remove(id: KeyId) {
        val former = byId.content[id] ?: return
        val index = index()
        byId.remove(id)
        if (index.content[former.sha256]?.id == id) index.remove(former.sha256)
        mend()
    }

    private fun index(): CopiedOnWrite<String, CallerKey> =
        byHash ?: CopiedOnWrite(base.indexed().byHash).also { byHash = it }

    /** The index is complete exactly if it has as many entries as there are keys. */
    private fun mend() {
        if (index().content.size == byId.content.size) return
        byHash = CopiedOnWrite(byId.content.indexed().byHash)
    }
}
