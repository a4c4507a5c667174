package org.lentilquay.transport.peer

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.serialization.encodeToByteArray
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerFrame
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.Incarnation
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId
import org.lentilquay.transport.BusySocketThreads
import org.lentilquay.transport.connected
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.Socket
import kotlin.concurrent.thread

private const val TIMEOUT_MILLIS = 300L
private const val CALLS = 3L
private val request = PeerRequest.TakeTokens(TeamId("stoves"), 1)

/** Reads [CALLS] requests, and answers all of them once this process no longer looks at its sockets. */
private fun answerLate(socket: Socket, onBusy: (BusySocketThreads) -> Unit) {
    val input = DataInputStream(socket.getInputStream())
    repeat(CALLS.toInt()) { input.readNBytes(input.readInt()) }
    onBusy(BusySocketThreads())
    val output = DataOutputStream(socket.getOutputStream())
    for (correlation in 1L..CALLS) {
        val frame = peerCbor.encodeToByteArray(PeerFrame(correlation, answer = PeerAnswer.Tokens(correlation)))
        output.writeInt(frame.size)
        output.write(frame)
    }
    output.flush()
}

/** Guards against calls between VMs that time out although their answers have arrived. */
class ArrivedAnswerTest : FunSpec({
    test("the answers of another VM that have arrived are received when the timers are due") {
        withContext(Dispatchers.Default) {
            connected { opened, other ->
                var busy: BusySocketThreads? = null
                val server = thread { answerLate(other) { busy = it } }
                val traffic = PeerTrafficCounters()
                val peer = PeerIdentity(VmId("vm-2"), Incarnation(7))
                val client = PeerClientConnection(PeerConnection(opened, peer, traffic), traffic)
                val reading = launch { client.run() }
                // Undispatched, so that the numbers of the calls are known.
                val calls = List(CALLS.toInt()) {
                    async(start = CoroutineStart.UNDISPATCHED) { client.call(request) { TIMEOUT_MILLIS } }
                }
                calls.awaitAll() shouldContainExactly
                    (1L..CALLS).map { PeerCallResult.Answered(PeerAnswer.Tokens(it)) }
                busy?.close()
                reading.cancel()
                server.join()
            }
        }
    }
})
