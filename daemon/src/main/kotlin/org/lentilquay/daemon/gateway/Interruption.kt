/*
 * Why an attempt or the handling of a request was ended from outside, for the log line of the request. Causes that look
 * the same to the caller, whose connection closes, are told apart here.
 */
package org.lentilquay.daemon.gateway

import kotlinx.coroutines.CancellationException
import org.lentilquay.transport.describe

internal sealed interface Interruption {
    val text: String

    /** The caller has ended its output; whether it still reads is not known. */
    data object OutputEnded : Interruption {
        override val text = "the caller ended its output"
    }

    data class ConnectionFailed(val reason: String) : Interruption {
        override val text = "the connection of the caller failed: $reason"
    }

    data object StopEnded : Interruption {
        override val text = "the time of the planned stop has passed"
    }

    /** Another attempt of the request goes on, or the request has ended otherwise. */
    data object Cancelled : Interruption {
        override val text = "cancelled, because another attempt goes on or the request has ended"
    }

    data class Failed(val reason: String) : Interruption {
        override val text = reason
    }
}

/** What [failure], which ended an attempt or a request, or one of its causes tells of the reason. */
internal fun interruptionOf(failure: Throwable): Interruption {
    val causes = generateSequence(failure) { it.cause }
    val disconnected = causes.firstNotNullOfOrNull { it as? CallerDisconnected }
    return when {
        disconnected != null ->
            disconnected.failure?.let { Interruption.ConnectionFailed(describe(it)) } ?: Interruption.OutputEnded
        causes.any { it is StopEndedException } -> Interruption.StopEnded
        failure is CancellationException -> Interruption.Cancelled
        else -> Interruption.Failed(describe(failure))
    }
}

/** Cancels the handling of a request whose caller has ended its output, or whose connection has failed. */
internal class CallerDisconnected(val failure: Throwable?) : CancellationException("the caller closed the connection")

/** Cancels the handling of a request that is not answered when the time of a planned stop has passed. */
internal class StopEndedException : CancellationException("the time of the planned stop has passed")
