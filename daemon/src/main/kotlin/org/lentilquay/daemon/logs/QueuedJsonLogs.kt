/*
 * Writes log lines as JSON to standard output through a bounded queue: a full queue drops lines and never blocks the
 * logging thread. Logback is configured in code, because parsing an XML configuration takes a third of the time that a
 * process needs to start.
 */
package org.lentilquay.daemon.logs

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus
import ch.qos.logback.classic.spi.ConfiguratorRank
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.Appender
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase
import java.util.concurrent.atomic.AtomicLong

/** Capacity of the queue, in lines; full, it takes about 2 MiB. */
private const val QUEUE_CAPACITY_LINES = 4_096

/** Number of log lines of this process that were dropped because the queue was full. */
val droppedLogLines: Long get() = dropped.get()

private val dropped = AtomicLong()

/** Logback loads this configurator in programs that register it under `META-INF/services`. */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
class QueuedJsonLogs : ContextAwareBase(), Configurator {
    override fun configure(context: LoggerContext): ExecutionStatus {
        val output = ConsoleAppender<ILoggingEvent>()
        output.context = context
        output.encoder = jsonEncoder(context)
        output.start()
        context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).apply {
            level = Level.INFO
            addAppender(droppingQueue(context, output, QUEUE_CAPACITY_LINES))
        }
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }
}

private fun jsonEncoder(context: LoggerContext) = JsonEncoder().apply {
    this.context = context
    setWithSequenceNumber(false)
    setWithNanoseconds(false)
    setWithContext(false)
    setWithMarkers(false)
    setWithMDC(false)
    setWithArguments(false)
    setWithThreadName(false)
    start()
}

/** An appender that queues up to [lines] lines for [output], and drops and counts lines that do not fit. */
internal fun droppingQueue(
    context: LoggerContext,
    output: Appender<ILoggingEvent>,
    lines: Int,
): Appender<ILoggingEvent> = DroppingQueue().apply {
    this.context = context
    queueSize = lines
    discardingThreshold = 0
    isNeverBlock = true
    addAppender(output)
    start()
}

private class DroppingQueue : AsyncAppender() {
    override fun append(event: ILoggingEvent) {
        if (remainingCapacity > 0) super.append(event) else dropped.incrementAndGet()
    }
}
