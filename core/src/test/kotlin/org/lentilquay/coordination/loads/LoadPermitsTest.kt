package org.lentilquay.coordination.loads

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import org.lentilquay.state.VmId
import kotlin.random.Random

private val vm = VmId("vm-a")

class LoadPermitsTest : FunSpec({
    // Guards against loads for few requests before loads for many, and against starvation.
    test("a free permit goes to the load with most waiting requests, then to the longest wait") {
        val permits = LoadPermits(ratePerSecond = 5, parallel = 1, ownedSince = 0)
        permits.request("early", vm, 3, 999).isGranted shouldBe false
        permits.request("late", vm, 3, 1_000).isGranted shouldBe false
        permits.request("many", vm, 4, 1_000).isGranted shouldBe true
        permits.done("many", 1_300)
        permits.request("late", vm, 3, 1_300).isGranted shouldBe false
        permits.request("early", vm, 3, 1_300).isGranted shouldBe true
    }

    // Guards against a second permit for the same load, and against a permit that is never free again.
    test("a repeated request keeps its permit, and an unused permit expires") {
        val permits = LoadPermits(ratePerSecond = 5, parallel = 1, ownedSince = 0)
        repeat(3) { permits.request("a", vm, 1, 1_000).isGranted shouldBe true }
        permits.activeCount shouldBe 1
        permits.request("b", vm, 1, 11_000).isGranted shouldBe false
        permits.request("b", vm, 1, 11_001).isGranted shouldBe true
        repeat(2) { permits.done("b", 11_100) }
        permits.request("b", vm, 1, 11_200).isGranted shouldBe false
        permits.request("c", vm, 1, 11_200).isGranted shouldBe true
    }

    // Guards against a weight store without loads for 10 s after the crash of a VM that held both permits.
    test("the permits of a crashed VM are free again, and its late request gets none") {
        val permits = LoadPermits(ratePerSecond = 5, parallel = 2, ownedSince = 0)
        listOf("a", "b").forEach { permits.request(it, vm, 1, 1_000).isGranted shouldBe true }
        permits.request("c", VmId("vm-b"), 1, 1_100).isGranted shouldBe false
        permits.memberGone(vm, 3_000)
        permits.request("a", vm, 1, 3_000).isGranted shouldBe false
        permits.request("c", VmId("vm-b"), 1, 3_000).isGranted shouldBe true
    }

    // Guards against a permit for a load whose VM has stopped polling, and against a load that skips the queue.
    test("a free permit goes to the first waiting load, and only while that load is polled") {
        val permits = LoadPermits(ratePerSecond = 5, parallel = 1, ownedSince = 0)
        permits.request("active", vm, 1, 1_000).isGranted shouldBe true
        listOf("first" to 3, "second" to 2).forEach { (id, requests) -> permits.request(id, vm, requests, 1_100) }
        permits.grantFree(1_200) { true } shouldBe emptyList()
        permits.done("active", 1_300)
        permits.grantFree(1_300) { it == "second" } shouldBe emptyList()
        permits.grantFree(1_300) { true } shouldBe listOf("first")
    }

    // Guards against more loads per second or at once than the weight store serves at full speed.
    test("rate and parallel limits hold under random requests, duplicates and returns") {
        for (seed in 1..300) {
            val random = Random(seed)
            val permits = LoadPermits(ratePerSecond = 5, parallel = 2, ownedSince = 0)
            val starts = ArrayList<Long>()
            val active = HashMap<String, Long>()
            var now = 0L
            repeat(3_000) { step ->
                now += random.nextLong(0, 40)
                val id = "load-${(step / 20) + random.nextInt(12)}"
                if (permits.request(id, vm, random.nextInt(5), now).isGranted && id !in active) {
                    starts.add(now)
                    active[id] = now
                }
                active.keys.filter { random.nextInt(12) == 0 }.forEach {
                    active.remove(it)
                    permits.done(it, now)
                }
                withClue("seed $seed at $now") {
                    active.size shouldBeLessThanOrEqualTo 2
                    starts.count { it > now - 1_000 } shouldBeLessThanOrEqualTo 5
                }
            }
            // An owner that grants nothing must fail.
            starts.size shouldBeGreaterThan 100
        }
    }

    // Guards against VMs without contact to the owner that together exceed the rate of the weight store.
    test("members that cannot reach the owner stay within the rate together") {
        val members = List(8) { FallbackLoadPermits(5).apply { ownerLost(0) } }
        val starts = ArrayList<Long>()
        for (now in 0L..20_000L step 10) {
            members.forEachIndexed { index, permits ->
                if (permits.request("load-$index-$now", 8, now).isGranted) {
                    starts.add(now)
                    permits.done("load-$index-$now")
                }
            }
        }
        starts.size shouldBe 12 * 8
        FallbackLoadPermits(0).request("a", 8, 0).isGranted shouldBe false
    }
})
