package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CancellationException
import kotlinx.io.IOException

private val INTERRUPTIONS = mapOf(
    "the caller ended its output" to CallerDisconnected(null),
    "the connection of the caller failed: IOException: reset" to CallerDisconnected(IOException("reset")),
    "the time of the planned stop has passed" to CancellationException("cancelled", StopEndedException()),
    "cancelled, because another attempt goes on or the request has ended" to CancellationException("cancelled"),
    "IOException: the stream broke off" to IOException("the stream broke off"),
)

/** Guards against log lines of cut requests that do not tell who ended them. */
class InterruptionTest : FunSpec({
    INTERRUPTIONS.forEach { (text, failure) ->
        test("a request that ended by ${failure::class.simpleName} is logged as: $text") {
            interruptionOf(failure).text shouldBe text
        }
    }
})
