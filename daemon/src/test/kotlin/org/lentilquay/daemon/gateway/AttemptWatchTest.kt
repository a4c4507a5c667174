package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.CopyOnWriteArrayList
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

    test("an attempt whose server leaves waits while another one is made, and goes on if that one ends") {
        val decided = CompletableDeferred<Boolean>()
        val passed = CopyOnWriteArrayList<String>()
        val watch = watch(beside = null) {
            it.hold()
            decided.await()
            it.resume()
            false
        }
        watch.watchFor(WATCHED_MILLIS)
        watch.leaveAt(0)
        coroutineScope {
            val replacement = launch { watch.awaitReplacement() }
            val event = launch {
                delay(WATCHED_MILLIS / 2)
                watch.passOn("2") { passed += "2" }
            }
            delay(WATCHED_MILLIS)
            passed.shouldBeEmpty()
            decided.complete(true)
            event.join()
            passed shouldBe listOf("2")
            replacement.cancel()
        }
    }

    // The caller takes its time for an event; the next one of the other server must not overtake it.
    test("the other attempt writes nothing while the one that is left still writes an event") {
        val passed = CopyOnWriteArrayList<String>()
        val written = CompletableDeferred<Unit>()
        val spans = CompletableDeferred<SlowAttempt>()
        val watch = watch(beside = null) {
            it.hold()
            spans.complete(it)
            it.decision.await() == SlowOutcome.REPLACED
        }
        coroutineScope {
            val former = async {
                watch.passOn("2") {
                    written.await()
                    passed += "2"
                }
                watch.passOn("3") { passed += "3 of the former server" }
            }
            delay(WATCHED_MILLIS / 2)
            watch.watchFor(WATCHED_MILLIS)
            watch.leaveAt(0)
            val replacement = launch { watch.awaitReplacement() }
            val slow = spans.await()
            slow.lastEventId shouldBe "2"
            val other = async { watch(slow).passOn("3") { passed += "3" } }
            delay(WATCHED_MILLIS / 2)
            passed.shouldBeEmpty()
            written.complete(Unit)
            other.await() shouldBe true
            former.await() shouldBe false
            replacement.join()
        }
        passed shouldBe listOf("2", "3")
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
