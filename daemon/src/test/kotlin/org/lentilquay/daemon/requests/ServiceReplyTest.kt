package org.lentilquay.daemon.requests

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import org.lentilquay.coordination.configuration.AccessView
import org.lentilquay.coordination.configuration.FreshnessState
import org.lentilquay.coordination.idempotency.IdempotencyDecider
import org.lentilquay.coordination.quota.Charge
import org.lentilquay.daemon.metrics.Metrics
import org.lentilquay.daemon.requests.engine.CallerEngineFactory
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.state.Configuration
import org.lentilquay.state.Incarnation
import org.lentilquay.state.Outcome
import org.lentilquay.state.Route
import org.lentilquay.state.RouteId
import org.lentilquay.state.RouteTarget
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId
import org.lentilquay.transport.engine.ServiceClient
import org.lentilquay.transport.http.ScriptedServer
import org.lentilquay.transport.http.answering
import org.lentilquay.transport.http.closedAddress
import org.lentilquay.transport.platform.PlatformClient
import java.net.Socket

private val route =
    Route(RouteId("parts"), RouteTarget.ServiceTarget("parts"), open = true, openTeam = TeamId("stoves"))
private val configuration = Configuration(routes = mapOf(route.id to route))

private object NoLimit : Quota {
    override suspend fun admit(team: TeamId, requestId: String, tokens: Long, maximumWaitMillis: Long) =
        Outcome.Success(Charge(team, tokens, 0))

    override fun settle(charge: Charge, actual: Long) = Unit
}

private fun handler(service: ScriptedServer, control: ControlThread): ServiceHandler {
    val now = { 0L }
    val dispatcher = ServiceDispatcher(GrantingReservations(listOf(service.address)), ServiceClient(), now)
    val vm = VmId("vm-1")
    val atMostOnce = AtMostOnceCalls(
        decider = IdempotencyDecider(vm, Incarnation(1), newNonce = { "n" }),
        platform = PlatformClient(closedAddress(), vm),
        dispatcher = dispatcher,
        control = control,
        askVm = { _, _ -> null },
        now = now,
    )
    return ServiceHandler(
        view = { ConfigurationView(configuration, AccessView(configuration), FreshnessState.CURRENT) },
        quota = NoLimit,
        dispatcher = dispatcher,
        atMostOnce = atMostOnce,
        activeCalls = ActiveCalls(),
        metrics = RequestMetricsRecorder(Metrics()),
        now = now,
    )
}

class ServiceReplyTest : FunSpec({
    val control = ControlThread()
    afterSpec { control.close() }

    /** The lines of the head and the body that a caller gets from a service that sends [headers]. */
    suspend fun answerWith(
        headers: String,
        method: String = "GET",
        status: Int = 200,
        path: String = "/services/parts/list",
    ): List<String> = answering(status, "parts", headers).use { service ->
        val services = handler(service, control)
        val limiter = RequestLimiter(ActiveCalls(), 1_000, 1_000, 10)
        val server = embeddedServer(CallerEngineFactory, port = 0, host = "127.0.0.1") {
            routing {
                route("/services/{route}/{path...}") {
                    handle { services.handle((limiter.read(call) as Outcome.Success).value) }
                }
            }
        }.start()
        try {
            Socket("127.0.0.1", server.engine.resolvedConnectors().first().port).use { socket ->
                val request = "$method $path HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                socket.getOutputStream().write(request.encodeToByteArray())
                socket.getInputStream().bufferedReader().readLines()
            }
        } finally {
            server.stop(0, 0)
        }
    }

    // Guards against a 500 in place of the answer of a service whose Content-Type does not follow the grammar.
    listOf("text", "text/plain; charset", "/", "text/html/x", "").forEach { type ->
        test("an answer with the Content-Type \"$type\" reaches the caller") {
            val answer = answerWith("Content-Type: $type\n")
            answer.first() shouldBe "HTTP/1.1 200 OK"
            answer.last() shouldBe "parts"
        }
    }

    // Guards against a Content-Type that is changed, sent twice, or added on the way.
    listOf("application/json", "text/html; charset=\"utf-8\"", "text").forEach { type ->
        test("the caller gets the Content-Type \"$type\" as the service sent it") {
            answerWith("Content-Type: $type\n").filter { it.startsWith("Content-Type:", ignoreCase = true) } shouldBe
                listOf("Content-Type: $type")
        }
    }

    // Guards against a body that the caller reads where its next answer is due.
    listOf("HEAD" to 200, "HEAD" to 404, "GET" to 204, "GET" to 304).forEach { (method, status) ->
        test("the answer $status to $method has no body") {
            answerWith("", method, status).run {
                first() shouldStartWith "HTTP/1.1 $status"
                last() shouldBe ""
            }
        }
    }

    test("the refusal of HEAD has no body") {
        answerWith("", "HEAD", path = "/services/none/list").run {
            first() shouldStartWith "HTTP/1.1 404"
            last() shouldBe ""
        }
        answerWith("", "HEAD", path = "/none").last() shouldBe ""
    }

    test("an answer without a Content-Type gets none") {
        answerWith("").filter { it.startsWith("Content-Type:", ignoreCase = true) } shouldBe emptyList()
    }
})
