package org.lentilquay.coordination.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.lentilquay.state.ServerId

private val SERVER = ServerId("e1")

/** Guards against a cold server that fails under the load of all VMs together. */
class ColdStartLimitTest : FunSpec({
    listOf(1, 8, 79).forEach { count ->
        test("$count VMs under full load stay within the rate of a cold server in every second") {
            val members = List(count) { vm(it) }
            val limits = members.map { ColdStartLimit(it).apply { becameCold(SERVER, 3_000) } }
            val sent = mutableListOf<Long>()
            for (now in 0L until 3_000L step 10) {
                limits.forEach { if (it.tryAcquire(SERVER, 21.0, members, now)) sent += now }
            }
            sent.size shouldBeGreaterThan 10
            val busiest = sent.maxOf { start -> sent.count { it in start until start + 1_000 } }
            busiest.toDouble() shouldBeLessThanOrEqualTo 21.0 * 1.5 + 5
        }
    }

    test("servers that are not cold, or no longer cold, are not limited") {
        val limit = ColdStartLimit(vm(1)).apply { becameCold(SERVER, 1_000) }
        limit.tryAcquire(ServerId("other"), 1.0, listOf(vm(1)), 0) shouldBe true
        repeat(100) { limit.tryAcquire(SERVER, 1.0, listOf(vm(1)), 1_000) shouldBe true }
    }
})
