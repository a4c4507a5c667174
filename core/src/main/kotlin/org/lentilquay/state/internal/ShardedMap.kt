/*
 * An immutable hash map in shards. A modified copy shares all unmodified shards, so that one change among 56,000
 * adapters copies a few hundred entries instead of all of them.
 */
package org.lentilquay.state.internal

/** The number of shards, a power of two; 56,000 entries give about 220 per shard. */
private const val SHARD_COUNT = 256
private const val HIGH_BITS_SHIFT = 16

internal class ShardedMap<K, V> private constructor(private val shards: Array<HashMap<K, V>>) : AbstractMap<K, V>() {
    override val size: Int = shards.sumOf { it.size }

    override val entries: Set<Map.Entry<K, V>> = object : AbstractSet<Map.Entry<K, V>>() {
        override val size: Int get() = this@ShardedMap.size

        override fun iterator(): Iterator<Map.Entry<K, V>> = shards.asSequence().flatMap { it.entries }.iterator()
    }

    override fun get(key: K): V? = shards[shardOf(key)][key]

    override fun containsKey(key: K): Boolean = shards[shardOf(key)].containsKey(key)

    /** A builder of a modified copy; each shard is copied at its first change. */
    class Changes<K, V>(base: Map<K, V>) {
        private val shards: Array<HashMap<K, V>>
        private val isCopied = BooleanArray(SHARD_COUNT)

        init {
            if (base is ShardedMap<K, V>) {
                shards = base.shards.copyOf()
            } else {
                shards = Array(SHARD_COUNT) { HashMap<K, V>() }
                isCopied.fill(true)
                base.forEach { (key, value) -> shards[shardOf(key)][key] = value }
            }
        }

        operator fun get(key: K): V? = shards[shardOf(key)][key]

        operator fun set(key: K, value: V) {
            writable(key)[key] = value
        }

        fun remove(key: K) {
            writable(key).remove(key)
        }

        /** Returns the map with the changes made so far; later changes do not affect it. */
        fun toMap(): ShardedMap<K, V> {
            isCopied.fill(false)
            return ShardedMap(shards.copyOf())
        }

        private fun writable(key: K): HashMap<K, V> {
            val shard = shardOf(key)
            if (!isCopied[shard]) {
                shards[shard] = HashMap(shards[shard])
                isCopied[shard] = true
            }
            return shards[shard]
        }
    }

    private companion object {
        // java.util.HashMap uses the low bits of the hash within a shard, so the shard is chosen by the high bits.
        fun shardOf(key: Any?): Int = (key.hashCode() * GOLDEN_RATIO ushr HIGH_BITS_SHIFT) and (SHARD_COUNT - 1)

        /** The multiplier of Knuth's multiplicative hashing: 2^32 divided by the golden ratio, as a signed integer. */
        const val GOLDEN_RATIO = -0x61c88647
    }
}
