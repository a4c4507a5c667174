package org.lentilquay.daemon.requests

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondText
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.coroutines.runBlocking
import org.lentilquay.daemon.requests.engine.CallerEngineFactory
import org.lentilquay.state.Outcome
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

private const val WHOLE = "whole"
private const val HEAD = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
private val LENGTH = "${HEAD}Content-Length: ${WHOLE.length}\r\n\r\n"
private const val CHUNKED = "${HEAD}Transfer-Encoding: chunked\r\n\r\n"

/** Guards against requests with a part of their body that are run because the connection ended before the rest. */
class RequestBodiesTest : FunSpec({
    val results = LinkedBlockingQueue<String>()
    val server = embeddedServer(CallerEngineFactory, port = 0, host = "127.0.0.1") {
        routing {
            post("/") {
                val read = call.readBody(maximumBytes = 100)
                results += if (read is Outcome.Success) "run with ${read.value.decodeToString()}" else "rejected"
                call.respondText("done")
            }
        }
    }.start()
    val port = runBlocking { server.engine.resolvedConnectors().first().port }
    afterSpec { server.stop() }

    /** What the server does with a request that ends after [text], or null if it does nothing. */
    fun sent(text: String, isReset: Boolean): String? {
        Socket("127.0.0.1", port).use { socket ->
            socket.getOutputStream().write(text.encodeToByteArray())
            Thread.sleep(100)
            if (isReset) socket.setSoLinger(true, 0) else socket.shutdownOutput()
            if (!isReset) Thread.sleep(100)
        }
        return results.poll(1_000, TimeUnit.MILLISECONDS)
    }

    listOf(
        "in a body with a length" to "${LENGTH}who",
        "before a body with a length" to LENGTH,
        "in a chunk" to "${CHUNKED}5\r\nwho",
        "between chunks" to "${CHUNKED}3\r\nwho\r\n",
        "after its last data" to "${CHUNKED}5\r\nwhole\r\n",
    ).forEach { (name, text) ->
        listOf(true, false).forEach { isReset ->
            test("a request that is ${if (isReset) "reset" else "closed"} $name is not run") {
                (sent(text, isReset)?.startsWith("run") ?: false) shouldBe false
            }
        }
    }

    test("whole requests are run") {
        sent(LENGTH + WHOLE, isReset = false) shouldBe "run with $WHOLE"
        sent("${CHUNKED}5\r\n$WHOLE\r\n0\r\n\r\n", isReset = false) shouldBe "run with $WHOLE"
    }
})
