package org.lentilquay.state.internal

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random

/** Guards against a change that leaks into an earlier configuration or is missing from a later one. */
class ShardedMapTest : FunSpec({
    test("random changes give the same content as a HashMap and leave earlier maps unchanged") {
        for (seed in 1..20) {
            val random = Random(seed)
            val plain = (1..random.nextInt(600)).associateTo(HashMap()) { "key-$it" to it }
            var map: Map<String, Int> = HashMap(plain)
            repeat(20) {
                val before = HashMap(map)
                val earlier = map
                val changes = ShardedMap.Changes(map)
                repeat(random.nextInt(30)) {
                    val key = "key-${random.nextInt(800)}"
                    if (random.nextBoolean()) {
                        changes.remove(key)
                        plain.remove(key)
                    } else {
                        changes[key] = it
                        plain[key] = it
                    }
                    if (random.nextInt(5) == 0) changes.toMap() shouldBe plain
                }
                map = changes.toMap()
                map shouldBe plain
                map.size shouldBe plain.size
                plain.all { (key, value) -> map[key] == value && key in map } shouldBe true
                earlier shouldBe before
            }
        }
    }
})
