package org.lentilquay.daemon.logs

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.util.LogbackMDCAdapter
import ch.qos.logback.core.AppenderBase
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

/** An appender that blocks until [open] is counted down. */
private class BlockedOutput(private val open: CountDownLatch) : AppenderBase<ILoggingEvent>() {
    val written = AtomicInteger()

    override fun append(event: ILoggingEvent) {
        open.await()
        written.incrementAndGet()
    }
}

/** Guards against requests that block on a slow log output, and against lines that are dropped but not counted. */
class QueuedJsonLogsTest : FunSpec({
    test("when the output blocks, lines beyond the capacity of the queue are dropped and counted") {
        val context = LoggerContext().apply { mdcAdapter = LogbackMDCAdapter() }
        val open = CountDownLatch(1)
        val output = BlockedOutput(open).apply {
            this.context = context
            start()
        }
        val logger = context.getLogger("test").apply { addAppender(droppingQueue(context, output, lines = 8)) }
        val before = droppedLogLines
        repeat(100) { logger.info("line $it") }
        open.countDown()
        eventually(5.seconds) { output.written.get() + (droppedLogLines - before) shouldBe 100 }
        // The blocked output holds one line; the worker drains up to eight lines at once, and eight more fit the queue.
        output.written.get() shouldBeLessThanOrEqual 1 + 8 + 8
    }

    test("configuring adds one root appender and keeps logback from trying further configurators") {
        val context = LoggerContext()
        QueuedJsonLogs().configure(context).name shouldBe "DO_NOT_INVOKE_NEXT_IF_ANY"
        context.getLogger("ROOT").iteratorForAppenders().asSequence().count() shouldBe 1
    }

    // Guards against a process that logs nothing because no configuration is searched for.
    test("the provider sets up the queue by itself") {
        val provider = QueuedLogsProvider().apply { initialize() }
        val context = provider.loggerFactory as LoggerContext
        val root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME)
        root.level shouldBe Level.INFO
        root.iteratorForAppenders().asSequence().map { it.isStarted }.toList() shouldBe listOf(true)
        context.stop()
    }
})
