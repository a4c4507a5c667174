/*
 * Sets up logging without a search for configurations: Logback's own search loads services and reads annotations, which
 * takes a tenth of the processor time of a start. Named by the system property `slf4j.provider`.
 */
package org.lentilquay.daemon.logs

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.util.LogbackMDCAdapter
import org.slf4j.ILoggerFactory
import org.slf4j.IMarkerFactory
import org.slf4j.helpers.BasicMarkerFactory
import org.slf4j.spi.MDCAdapter
import org.slf4j.spi.SLF4JServiceProvider

/** The version of the SLF4J interface that this provider was written for. */
private const val REQUESTED_API_VERSION = "2.0.99"

class QueuedLogsProvider : SLF4JServiceProvider {
    private val context = LoggerContext()
    private val markers = BasicMarkerFactory()
    private val diagnosticContext = LogbackMDCAdapter()

    override fun initialize() {
        context.setMDCAdapter(diagnosticContext)
        QueuedJsonLogs().configure(context)
        context.start()
    }

    override fun getLoggerFactory(): ILoggerFactory = context

    override fun getMarkerFactory(): IMarkerFactory = markers

    override fun getMDCAdapter(): MDCAdapter = diagnosticContext

    override fun getRequestedApiVersion(): String = REQUESTED_API_VERSION
}
