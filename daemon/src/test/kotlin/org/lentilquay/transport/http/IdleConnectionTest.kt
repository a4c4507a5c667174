package org.lentilquay.transport.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.lentilquay.transport.BusySocketThreads
import org.lentilquay.transport.TcpNetwork
import java.net.Socket
import java.util.concurrent.atomic.AtomicReference

private const val SETTLE_MILLIS = 200L
private val options = ExchangeOptions(connectMillis = 2_000, headerMillis = 5_000)

private suspend fun HttpConnectionPool.exchange(address: String): PooledExchange {
    val exchange = send(address, "h", HttpRequest("GET", "/"), options)
    if (exchange is PooledExchange.Answered) {
        exchange.answer.use { answer ->
            if (readFully(answer.body, 1_000, 5_000) is BodyReadResult.Complete) answer.releaseConnection()
        }
    }
    return exchange
}

/** Guards against requests that are lost because their connection was taken for open. */
class IdleConnectionTest : FunSpec({
    test("a connection that its server has closed is not reused, also if its socket was not read since") {
        withContext(Dispatchers.Default) {
            val last = AtomicReference<Socket>()
            KeepAliveServer { _, socket ->
                last.set(socket)
                socket.answer(200, "x")
            }.use { server ->
                val connections = HttpConnectionPool(TcpNetwork())
                connections.exchange(server.address)
                val busy = BusySocketThreads()
                last.get().close()
                delay(SETTLE_MILLIS)
                val second = async { connections.exchange(server.address) }
                delay(SETTLE_MILLIS)
                busy.close()
                second.await().shouldBeInstanceOf<PooledExchange.Answered>()
                server.connections.get() shouldBe 2
            }
        }
    }
})
