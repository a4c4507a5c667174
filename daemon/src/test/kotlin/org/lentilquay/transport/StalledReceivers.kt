package org.lentilquay.transport

/**
 * Keeps the coroutines that use the sockets from running while [act] runs, as a process without processor time does:
 * bytes stay in the socket while timers run.
 */
internal suspend fun <T> withStalledReceivers(act: suspend () -> T): T = BusySocketThreads().use { act() }
