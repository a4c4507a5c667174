/*
 * Structured log lines: one line per event, with its details as key-value pairs, on standard error. The settings choose
 * between JSON and logfmt; logback.xml defines both formats.
 */
package org.lentilquay.daemon.logs

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.joran.JoranConfigurator
import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.KLoggingEventBuilder
import org.lentilquay.daemon.settings.LogFormat
import org.slf4j.LoggerFactory

/** The system property from which logback.xml takes the format; it can also be set on the command line. */
private const val FORMAT_PROPERTY = "lentilquay.log.format"
private const val CONFIGURATION_RESOURCE = "logback.xml"

/** Configures logging anew, so that all further lines are written in [format]. */
fun useLogFormat(format: LogFormat) {
    System.setProperty(FORMAT_PROPERTY, format.name)
    val context = LoggerFactory.getILoggerFactory() as? LoggerContext ?: return
    val configuration = Thread.currentThread().contextClassLoader.getResource(CONFIGURATION_RESOURCE) ?: return
    context.reset()
    JoranConfigurator().also { it.context = context }.doConfigure(configuration)
}

/** Logs an event at level INFO with [fields] as key-value pairs; fields whose value is null are omitted. */
fun KLogger.event(message: String, vararg fields: Pair<String, Any?>) = event(message, fields.asList())

/** As the other [event], for fields that differ from line to line. */
fun KLogger.event(message: String, fields: List<Pair<String, Any?>>) = atInfo { setContent(message, fields) }

/** Logs an event at level WARN, for conditions that may need an operator's action. */
fun KLogger.warning(message: String, vararg fields: Pair<String, Any?>, cause: Throwable? = null) = atWarn {
    setContent(message, fields.asList())
    this.cause = cause
}

private fun KLoggingEventBuilder.setContent(text: String, fields: List<Pair<String, Any?>>) {
    message = oneLine(text)
    payload = fields.mapNotNull { (name, value) -> value?.let { name to oneLine(it.toString()) } }.toMap()
}

/**
 * Replaces control characters by spaces and double quotes by single ones, so that a value from outside cannot end its
 * line or its quotes and forge a log entry.
 */
internal fun oneLine(text: String): String =
    text.map { if (it.isISOControl()) ' ' else if (it == '"') '\'' else it }.joinToString("")
