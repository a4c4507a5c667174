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

private val own = Alone.own
private const val COMMITTED = """{"committed":true}"""

private object Alone : PeerCaller {
    override val own = VmId("vm-a")

    override suspend fun call(vm: VmId, request: PeerRequest, timeoutMillis: Long) =
        PeerCallResult.Unreachable("this VM is alone", sent = false)
}

/** Runs the loop for [millis] against a table whose transactions are answered by [answerTo]; null is no answer. */
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
    var doubts = 0
    server.use {
        val platform = PlatformClient(server.address, own)
        val control = ControlThread()
        val now = SystemTimer()::now
        val configuration = ConfigurationLoop(
            store = ConfigurationStore(),
            freshness = FreshnessTracker(),
            platform = platform,
            peers = Alone,
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
            onUnconfirmed = { doubts++ },
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
    return sent to doubts
}

class SessionLoopTest : FunSpec({
    val together = listOf(sessionKey(own), HEAD_KEY)

    // Guards against a renewal and a head check that cost two transactions.
    test("an idle VM sends one transaction every 2 s") {
        run(3_500) { COMMITTED }.first shouldContainExactly listOf(together, together)
    }

    // Guards against a moved head that costs the lease, and against a session conflict that hides the head.
    test("after a conflict the renewal and the check are sent apart") {
        val (sent, _) = run(600) { if (it.size > 1) """{"committed":false}""" else COMMITTED }
        sent.first() shouldBe together
        sent.drop(1).toSet() shouldBe setOf(listOf(sessionKey(own)), listOf(HEAD_KEY))
    }

    // Guards against a slow table that looks like a pause of the process, and that stops the checks of the head.
    test("while renewals hang, no pause is seen and the head is checked alone") {
        val (sent, doubts) = run(4_500) { if (sessionKey(own) in it) null else COMMITTED }
        doubts shouldBe 0
        sent shouldContain listOf(HEAD_KEY)
    }
})
