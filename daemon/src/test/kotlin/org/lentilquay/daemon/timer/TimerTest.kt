package org.lentilquay.daemon.timer

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.take
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicLong

/** Guards against process pauses that go undetected, and against decisions that run concurrently. */
class TimerTest : FunSpec({
    test("ticks keep a fixed rate and report no pause while the collector is fast") {
        val events = SystemTimer().ticks(20).take(10).toList()
        events.forEach { it.shouldBeInstanceOf<TimerEvent.Tick>() }
        events.last().now shouldBeInRange 195L..900L
    }

    listOf("monotonic" to true, "wall" to false).forEach { (name, isMonotonic) ->
        test("a jump of the $name clock alone is reported as a pause before the next tick") {
            val offset = AtomicLong()
            val clock = { System.nanoTime() / 1_000_000 }
            val jumping = { clock() + offset.get() }
            val timer = if (isMonotonic) SystemTimer(jumping, clock) else SystemTimer(clock, jumping)
            var isFirst = true
            val events = mutableListOf<TimerEvent>()
            timer.ticks(20).take(4).collect {
                events += it
                if (isFirst) offset.set(5_000)
                isFirst = false
            }
            events[0].shouldBeInstanceOf<TimerEvent.Tick>()
            events[1].shouldBeInstanceOf<TimerEvent.Paused>().gapMillis shouldBeInRange 4_900L..5_500L
            events.drop(2).forEach { it.shouldBeInstanceOf<TimerEvent.Tick>() }
        }
    }

    test("a manual timer delivers the ticks of all collectors in order of time, and a pause with one tick each") {
        val timer = ManualTimer()
        val seen = mutableListOf<String>()
        val jobs = listOf("a" to 20L, "b" to 30L).map { (name, every) ->
            launch { timer.ticks(every).collect { seen += "$name ${it::class.simpleName} ${it.now}" } }
        }
        while (timer.collectorCount < 2) delay(1)
        timer.advance(50)
        timer.pause(2_000)
        jobs.forEach { it.cancel() }
        jobs.joinAll()
        timer.advance(100)
        seen shouldContainExactly listOf(
            "a Tick 20",
            "b Tick 30",
            "a Tick 40",
            "a Paused 2050",
            "a Tick 2050",
            "b Paused 2050",
            "b Tick 2050",
        )
        timer.now() shouldBe 2_150
    }

    test("decisions run sequentially on the control thread, and requireCurrent throws on other threads") {
        ControlThread().use { control ->
            var count = 0
            List(50) { launch { repeat(200) { control.decide { count++ } } } }.joinAll()
            control.decide {
                control.requireCurrent()
                count
            } shouldBe 10_000
            shouldThrow<IllegalStateException> { control.requireCurrent() }
        }
    }
})
