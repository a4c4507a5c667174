/*
 * A stand-in of a fleet that can vanish and come back, empty and in a cold start, on the port that it had.
 */
package org.lentilquay.bench

/** A stand-in that [open] starts on a port, 0 for a free one. */
class RunningStandIn internal constructor(val domain: String, private val open: (port: Int) -> OpenStandIn) {
    /** A stand-in that listens on [port] until [server] is closed. */
    internal class OpenStandIn(val port: Int, val server: AutoCloseable)

    private var running: OpenStandIn? = open(0)

    val port: Int = checkNotNull(running).port

    /** Closes the listener and cuts all connections. */
    @Synchronized
    internal fun stop() {
        running?.server?.close()
        running = null
    }

    @Synchronized
    internal fun restart() {
        if (running == null) running = open(port)
    }
}
