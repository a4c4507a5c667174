/*
 * Sends a request and waits for the head of its response. Only the time of the write ends by a timer. The wait for the
 * head ends by a limit of the input, because a timer that runs late would drop a response that has arrived.
 */
package org.lentilquay.transport.http

import io.ktor.utils.io.cancel
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.lentilquay.transport.InputTimeoutException
import org.lentilquay.transport.TcpConnection
import org.lentilquay.transport.describe
import org.lentilquay.transport.runSuspendCatching
import org.lentilquay.transport.writeMessage

private const val NANOS_PER_MILLI = 1_000_000L

/**
 * Writes the message of [head] and [body] and runs [receive], within [millis] altogether. A server may reject a long
 * body early, so its response counts even if the message was not written completely.
 */
internal suspend fun <T> TcpConnection.exchange(
    head: ByteArray,
    body: ByteArray,
    millis: Long,
    receive: suspend () -> T,
): Result<T> {
    val startedAt = System.nanoTime()
    val written = runSuspendCatching { withTimeoutOrNull(millis) { output.writeMessage(head, body) } }
    val remainingMillis = millis - (System.nanoTime() - startedAt) / NANOS_PER_MILLI
    val received = runSuspendCatching { input.within({ remainingMillis }) { receive() } }
    // The rest of a message that was written in part would be taken for the start of the next one.
    if (written.getOrNull() == null) output.cancel(IOException("the request was not written completely"))
    val writeFailure = written.exceptionOrNull()
    return if (received.isFailure && writeFailure != null) Result.failure(writeFailure) else received
}

/** Why there is no response after an exchange within [millis] that ended with [failure]. */
internal fun describeLoss(failure: Throwable, millis: Long): String =
    if (failure is InputTimeoutException) "no response headers within $millis ms" else describe(failure)
