/*
 * A stand-in of a backend server that can be stopped and restarted on the same port, with empty state and a cold start.
 */
package org.lentilquay.bench

/** A stand-in that [open] starts on the given port; port 0 takes a free one. */
class RestartableStandIn internal constructor(val domain: String, private val open: (port: Int) -> Instance) {
    /** One start of the stand-in, which listens on [port] until [server] is closed. */
    internal class Instance(val port: Int, val server: AutoCloseable)

    private var running: Instance? = open(0)

    val port: Int = checkNotNull(running).port

    /** Closes the listener and all connections. */
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
