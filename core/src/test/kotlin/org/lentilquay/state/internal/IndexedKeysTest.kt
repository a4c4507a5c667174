package org.lentilquay.state.internal

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeSameInstanceAs
import org.lentilquay.state.CallerKey
import org.lentilquay.state.KeyId
import org.lentilquay.state.TeamId
import kotlin.random.Random

/** Guards against an index that finds a revoked key or misses a valid one, and against changes to earlier revisions. */
class IndexedKeysTest : FunSpec({
    test("after random changes, the index has exactly the hashes of the keys, even if keys share a hash") {
        repeat(200) { seed ->
            val random = Random(seed)
            val hashes = if (random.nextBoolean()) 10 else 1_000
            val plain = HashMap<KeyId, CallerKey>()
            var keys: Map<KeyId, CallerKey> = emptyMap()
            repeat(30) {
                val earlier = keys
                val before = HashMap(plain)
                val draft = DraftKeys(keys)
                repeat(random.nextInt(4)) {
                    val id = KeyId("k${random.nextInt(20)}")
                    val key = CallerKey(id, TeamId("t"), "hash-${random.nextInt(hashes)}")
                    if (random.nextInt(3) == 0) {
                        draft.remove(id)
                        plain.remove(id)
                    } else {
                        draft.put(key)
                        plain[id] = key
                    }
                    (id in draft) shouldBe (id in plain)
                }
                keys = draft.content
                keys shouldBe plain
                earlier shouldBe before
                val byHash = keys.indexed().byHash
                byHash.keys shouldBe plain.values.map { it.sha256 }.toSet()
                byHash.all { (hash, key) -> plain[key.id] == key && key.sha256 == hash } shouldBe true
            }
        }
    }

    test("an unchanged draft returns the same map, and the index is built only once") {
        val plain = mapOf(KeyId("a") to CallerKey(KeyId("a"), TeamId("t"), "x"))
        DraftKeys(plain).apply { withHash("x") }.content shouldBeSameInstanceAs plain
        val indexed = plain.indexed()
        indexed.indexed() shouldBeSameInstanceAs indexed
        DraftKeys(indexed).apply { remove(KeyId("a")) }.content.shouldBeEmpty()
    }
})
