package org.lentilquay.daemon.control

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import org.lentilquay.coordination.configuration.ConfigurationStore
import org.lentilquay.coordination.configuration.FreshnessTracker
import org.lentilquay.coordination.configuration.HEAD_KEY
import org.lentilquay.coordination.ownership.SessionLease
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.daemon.timer.SystemTimer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.protocol.TableTransaction
import org.lentilquay.state.DomainId
import org.lentilquay.state.Incarnation
import org.lentilquay.state.VmId
import org.lentilquay.state.sessionKey
import org.lentilquay.transport.http.ScriptedServer
import org.lentilquay.transport.http.answer
import org.lentilquay.transport.peer.PeerCallResult
import org.lentilquay.transport.platform.PlatformClient
import java.util.concurrent.CopyOnWriteArrayList

private val own = NoPeers.own
private const val COMMITTED = """{"committed":true}"""

private object NoPeers : PeerCaller {
    override val own = VmId("vm-a")

    override suspend fun call(vm: VmId, request: PeerRequest, timeoutMillis: Long) =
        PeerCallResult.Unreachable("this VM is alone", sent = false)
}

/**
 * Runs the loop for [millis] with a table service that responds to transactions with [answerTo]; null is no response.
 * Returns the keys of each transaction and how often ownership became unconfirmed.
 */
private suspend fun run(millis: Long, answerTo: (keys: List<String>) -> String?): Pair<List<List<String>>, Int> {
    val sent = CopyOnWriteArrayList<List<String>>()
    val server = ScriptedServer { request, socket ->
        if (request.head.startsWith("GET")) return@ScriptedServer socket.answer(404, "")
        val keys = Json.decodeFromString<TableTransaction>(request.body).operations.map { it.key }
        sent += keys
        val answer = answerTo(keys)
        if (answer == null) Thread.sleep(3_000) else socket.answer(if (answer == COMMITTED) 200 else 409, answer)
    }
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    var unconfirmedCount = 0
    server.use {
        val platform = PlatformClient(server.address, own)
        val control = ControlThread()
        val now = SystemTimer()::now
        val configuration = ConfigurationLoop(
            store = ConfigurationStore(),
            freshness = FreshnessTracker(),
            platform = platform,
            peers = NoPeers,
            control = control,
            scope = scope,
            gossipTargets = { emptyList() },
            onApplied = {},
            headPollMillis = 2_000,
            now = now,
        )
        val lease = SessionLease(own, Incarnation(1), "10.0.0.1:1", DomainId("d")) { "nonce" }
        val loop = SessionLoop(
            own = own,
            lease = lease,
            platform = platform,
            control = control,
            scope = scope,
            configuration = configuration,
            isLeaseInUse = { false },
            onUnconfirmed = { unconfirmedCount++ },
            onSuperseded = {},
            now = now,
        )
        repeat((millis / 100).toInt()) {
            control.decide { loop.tick() }
            delay(100)
        }
        scope.cancel()
        platform.close()
    }
    return sent to unconfirmedCount
}

class SessionLoopTest : FunSpec({
    val together = listOf(sessionKey(own), HEAD_KEY)

    // Guards against separate transactions for the lease renewal and the head check, which double the table's load.
    test("an idle VM sends the renewal and the head check in one transaction every 2 s") {
        run(3_500) { COMMITTED }.first shouldContainExactly listOf(together, together)
    }

    // Guards against a changed head that fails the lease renewal, and a session conflict that hides a changed head.
    test("after a conflict, the renewal and the head check are sent separately") {
        val (sent, _) = run(600) { if (it.size > 1) """{"committed":false}""" else COMMITTED }
        sent.first() shouldBe together
        sent.drop(1).toSet() shouldBe setOf(listOf(sessionKey(own)), listOf(HEAD_KEY))
    }

    // Guards against a slow table service that is taken for a pause of the process, or that stops the head checks.
    test("while renewals hang, no pause is detected and the head is checked separately") {
        val (sent, unconfirmedCount) = run(4_500) { if (sessionKey(own) in it) null else COMMITTED }
        unconfirmedCount shouldBe 0
        sent shouldContain listOf(HEAD_KEY)
    }
})
