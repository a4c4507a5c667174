package org.lentilquay.state

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against serving a wrong version because an engine name was read wrongly. */
class AdapterVersionTest : FunSpec({
    mapOf(
        "stove-7@3" to AdapterVersion("stove-7", 3),
        "a@b@12" to AdapterVersion("a@b", 12),
        "base-model" to null,
        "@4" to null,
        "stove@latest" to null,
    ).forEach { (name, expected) ->
        test("engine name $name") { adapterVersionOf(name) shouldBe expected }
    }
})
