package org.lentilquay.standins

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.supervisorScope
import org.lentilquay.protocol.EngineHeaders
import kotlin.time.Duration.Companion.seconds

/** Guards against a service stand-in that miscounts the calls that ran; tests for duplicate bookings depend on it. */
class PlainServiceTest : FunSpec({
    val client = HttpClient(CIO)
    afterSpec { client.close() }

    suspend fun PlainService.book(reference: String): String? = client.post("http://127.0.0.1:$port/bookings") {
        header(EngineHeaders.REQUEST_ID, "r-$reference")
        setBody("""{"reference":"$reference"}""")
    }.headers[EngineHeaders.REQUEST_ID]

    test("a call whose answer is lost has run, and is counted") {
        plainService(ServiceOptions(coldMillis = 0)).use { service ->
            service.control(ServiceControl(loseAnswers = 1))
            runCatching { service.book("b-1") }.isFailure shouldBe true
            service.book("b-1") shouldBe "r-b-1"
            service.book("b-2") shouldBe "r-b-2"
            service.runs().byReference shouldBe mapOf("b-1" to 2, "b-2" to 1)
        }
    }

    test("a call with the crash marker runs and crashes the service into a new incarnation") {
        plainService(ServiceOptions(coldMillis = 0, downMillis = 300)).use { service ->
            val before = service.runs().incarnation
            runCatching { service.book("[crash-service]") }.isFailure shouldBe true
            eventually(2.seconds) { service.book("b-1") shouldBe "r-b-1" }
            service.runs().byReference shouldBe mapOf("[crash-service]" to 1, "b-1" to 1)
            service.runs().incarnation shouldBeGreaterThan before
        }
    }

    test("a cold service crashes above its cold limit") {
        plainService(ServiceOptions(coldMillis = 60_000, coldInFlight = 2, workMillis = 300)).use { service ->
            val answered = supervisorScope {
                (1..3).map { async { runCatching { service.book("b-$it") }.isSuccess } }.awaitAll()
            }
            answered shouldBe listOf(false, false, false)
            service.runs().counters["fallen_over_cold"] shouldBe 1
        }
    }
})
