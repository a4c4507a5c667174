/*
 * Structured log lines: one line per change of state, with the facts as key-value pairs, to standard error. The format
 * is JSON or logfmt, as the settings say; logback.xml defines both.
 */
package org.lentilquay.daemon.logs

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.joran.JoranConfigurator
import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.KLoggingEventBuilder
import org.lentilquay.daemon.settings.LogFormat
import org.slf4j.LoggerFactory

/** The system property that logback.xml reads; a process started by hand may set it as well. */
private const val FORMAT_PROPERTY = "lentilquay.log.format"
private const val CONFIGURATION = "logback.xml"

/** Selects the format of all log lines from now on. */
fun useLogFormat(format: LogFormat) {
    System.setProperty(FORMAT_PROPERTY, format.name)
    val context = LoggerFactory.getILoggerFactory() as? LoggerContext ?: return
    val configuration = Thread.currentThread().contextClassLoader.getResource(CONFIGURATION) ?: return
    context.reset()
    JoranConfigurator().also { it.context = context }.doConfigure(configuration)
}

/** Logs a change of state. [facts] become key-value pairs; facts that are null are left out. */
fun KLogger.event(message: String, vararg facts: Pair<String, Any?>) = atInfo { fill(message, facts) }

/** Logs a change of state that an operator may have to act on. */
fun KLogger.warning(message: String, vararg facts: Pair<String, Any?>, cause: Throwable? = null) = atWarn {
    fill(message, facts)
    this.cause = cause
}

private fun KLoggingEventBuilder.fill(text: String, facts: Array<out Pair<String, Any?>>) {
    message = oneLine(text)
    payload = facts.mapNotNull { (name, value) -> value?.let { name to oneLine(it.toString()) } }.toMap()
}

/** A value from outside must not be able to end its line or its quotes and forge another entry. */
internal fun oneLine(text: String): String =
    text.map { if (it.isISOControl()) ' ' else if (it == '"') '\'' else it }.joinToString("")
