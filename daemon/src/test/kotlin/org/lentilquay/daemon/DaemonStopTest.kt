package org.lentilquay.daemon

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.string.shouldStartWith
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.lentilquay.daemon.settings.ListenerSettings
import org.lentilquay.daemon.settings.PeerSettings
import org.lentilquay.daemon.settings.PlatformSettings
import org.lentilquay.daemon.settings.SecretReference
import org.lentilquay.daemon.settings.Settings
import org.lentilquay.daemon.settings.TimingSettings
import org.lentilquay.daemon.settings.WeightStoreSettings
import org.lentilquay.state.DomainId
import org.lentilquay.state.VmId
import org.lentilquay.transport.Secret
import org.lentilquay.transport.http.closedAddress
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

private const val ANSWER_TIMEOUT_MILLIS = 5_000
private const val BODY = """{"model":"stove","prompt":"hello"}"""
private const val HEAD = "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: ${BODY.length}\r\n\r\n"

private fun freeAddress(): String =
    "127.0.0.1:${ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }}"

/** A daemon without a platform or a configuration, which refuses each request that it has read. */
private fun daemonAt(callers: String, drainMillis: Long) = Daemon(
    Settings(
        vm = VmId("vm-1"),
        failureDomain = DomainId("d"),
        callers = ListenerSettings(callers),
        administration = ListenerSettings(freeAddress()),
        peers = PeerSettings(freeAddress()),
        platform = PlatformSettings(closedAddress()),
        fleetSecret = SecretReference(),
        operators = emptyList(),
        timing = TimingSettings(drainMillis = drainMillis),
        weightStore = WeightStoreSettings("weights", 1.0),
    ),
    Secret(ByteArray(32) { it.toByte() }),
)

/**
 * The status line of the answer to a request of which half of the body is sent before the planned stop and the rest
 * [restAfter] its start.
 */
private suspend fun answerDuringStop(restAfter: Duration): String? = coroutineScope {
    val callers = freeAddress()
    val daemon = daemonAt(callers, drainMillis = 20_000)
    daemon.start()
    withContext(Dispatchers.IO) {
        Socket("127.0.0.1", callers.substringAfter(':').toInt()).use { socket ->
            socket.soTimeout = ANSWER_TIMEOUT_MILLIS
            socket.getOutputStream().write((HEAD + BODY.take(BODY.length / 2)).encodeToByteArray())
            delay(1.seconds)
            val stopping = async { daemon.stop() }
            delay(restAfter)
            val answer = runCatching {
                socket.getOutputStream().write(BODY.drop(BODY.length / 2).encodeToByteArray())
                socket.getInputStream().bufferedReader().readLine()
            }
            stopping.await()
            answer.getOrNull()
        }
    }
}

class DaemonStopTest : FunSpec({
    // Guards against a planned stop that closes the connection of a request whose body is still being read.
    test("a request whose body arrives while the VM drains is answered") {
        answerDuringStop(restAfter = 5.seconds) shouldStartWith "HTTP/1.1 404"
    }

    // Guards against a planned stop that waits for its whole drain time because one caller does not send its body.
    test("a request whose body does not arrive holds up the stop for a limited time") {
        val callers = freeAddress()
        val daemon = daemonAt(callers, drainMillis = 60_000)
        daemon.start()
        Socket("127.0.0.1", callers.substringAfter(':').toInt()).use { socket ->
            socket.getOutputStream().write(HEAD.encodeToByteArray())
            delay(1.seconds)
            measureTime { daemon.stop() } shouldBeLessThan 20.seconds
        }
    }
})
