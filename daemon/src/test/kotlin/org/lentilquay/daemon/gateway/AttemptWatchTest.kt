package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.CyclicBarrier
import java.util.concurrent.atomic.AtomicInteger

private const val ROUNDS = 2_000
private const val WATCHED_MILLIS = 350L

private fun watch(beside: SlowAttempt?, tryOther: suspend (SlowAttempt) -> Boolean = { false }) =
    AttemptWatch(beside, resumeAfter = "1", isCallerBusy = { false }, { System.nanoTime() / 1_000_000 }, tryOther)

/** Guards against two attempts that both pass an event on, and against a watch that keeps its thread busy. */
class AttemptWatchTest : FunSpec({
    test("of a slow attempt and the one beside it, exactly one may pass on what both have at the same moment") {
        withContext(Dispatchers.IO) {
            repeat(ROUNDS) {
                val slow = SlowAttempt(lastEventId = "1")
                val beside = watch(slow)
                val barrier = CyclicBarrier(2)
                val claims = listOf({ slow.resume() }, { beside.claim("2") }).map { claim ->
                    async {
                        barrier.await()
                        claim()
                    }
                }
                claims.awaitAll().count { it } shouldBe 1
            }
        }
    }

    test("an attempt that was replaced may pass on nothing, and one that has claimed may go on") {
        val slow = SlowAttempt(lastEventId = "1")
        val beside = watch(slow)
        beside.claim("2") shouldBe true
        beside.claim("3") shouldBe true
        slow.resume() shouldBe false
    }

    // The loop of a route without a target latency never suspended, and held the only thread of its VM.
    test("a watch without a time limit asks for other attempts only now and then") {
        val asked = AtomicInteger()
        val watch = watch(beside = null) {
            asked.incrementAndGet()
            false
        }
        watch.watchFor(0)
        withTimeoutOrNull(WATCHED_MILLIS) { watch.awaitReplacement() }
        asked.get() shouldBeLessThan 5
    }
})
