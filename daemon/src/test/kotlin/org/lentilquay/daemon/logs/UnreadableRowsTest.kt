package org.lentilquay.daemon.logs

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import org.slf4j.LoggerFactory

private const val LOGGER = "org.lentilquay.daemon.logs.UnreadableRows"

/** Guards against records that are dropped without a log line, and against one log line for each read of a bad row. */
class UnreadableRowsTest : FunSpec({
    test("a row that cannot be decoded is logged once, and again when its text changes") {
        val logger = LoggerFactory.getLogger(LOGGER) as Logger
        val lines = ListAppender<ILoggingEvent>().apply { start() }
        logger.addAppender(lines)
        try {
            val rows = UnreadableRows()
            repeat(3) { rows.report("members/vm-1", "{", "torn") }
            rows.report("members/vm-2", "{", "torn")
            rows.report("members/vm-1", "[", "no object")
            val fields = lines.list.map { event -> event.keyValuePairs.associate { it.key to it.value } }
            fields.map { it["row"] to it["reason"] } shouldContainExactly
                listOf("members/vm-1" to "torn", "members/vm-2" to "torn", "members/vm-1" to "no object")
        } finally {
            logger.detachAppender(lines)
        }
    }

    // Keys and reasons may come from another writer and be of any length.
    test("long keys and reasons are cut in the log line") {
        val logger = LoggerFactory.getLogger(LOGGER) as Logger
        val lines = ListAppender<ILoggingEvent>().apply { start() }
        logger.addAppender(lines)
        try {
            UnreadableRows().report("servers/" + "x".repeat(100_000), "{", "y".repeat(100_000))
            lines.list.single().keyValuePairs.map { it.value.toString().length } shouldContainExactly listOf(200, 200)
        } finally {
            logger.detachAppender(lines)
        }
    }
})
