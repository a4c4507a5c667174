package org.lentilquay.state

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against serving the wrong adapter version because an engine name is parsed incorrectly. */
class AdapterVersionTest : FunSpec({
    mapOf(
        "stove-7@3" to AdapterVersion("stove-7", 3),
        "a@b@12" to AdapterVersion("a@b", 12),
        "base-model" to null,
        "@4" to null,
        "stove@latest" to null,
    ).forEach { (name, expected) ->
        test("engine name $name is parsed as $expected") { adapterVersionOf(name) shouldBe expected }
    }
})
