package org.lentilquay.standins

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.throwables.shouldThrowAny
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.maps.shouldContainKey
import io.kotest.matchers.ranges.shouldBeIn
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldContain
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpStatusCode
import io.ktor.utils.io.readLine
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.supervisorScope
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.lentilquay.protocol.EngineHeaders
import org.lentilquay.protocol.PlatformControl
import java.net.Socket
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime
import kotlin.time.measureTimedValue

private val warm = EngineOptions(coldMillis = 0, firstTokenMillis = 20, tokenMillis = 2.0)

/** Guards against an engine stand-in that is more forgiving than real engines, or whose records of runs are wrong. */
class ModelEngineTest : FunSpec({
    val client = HttpClient(CIO)
    afterSpec { client.close() }

    suspend fun ModelEngine.post(path: String, body: String, vararg headers: Pair<String, Any>): HttpResponse =
        client.post("http://127.0.0.1:$port$path") {
            headers.forEach { (name, value) -> header(name, value) }
            setBody(body)
        }

    suspend fun ModelEngine.load(name: String, fence: Long = 1) =
        post(
            "/v1/load_lora_adapter",
            """{"lora_name":"$name","lora_path":"weights/${name.replace('@', '/')}"}""",
            EngineHeaders.FENCING_TOKEN to fence,
        ).status.value

    suspend fun ModelEngine.unload(name: String, fence: Long) =
        post("/v1/unload_lora_adapter", """{"lora_name":"$name"}""", EngineHeaders.FENCING_TOKEN to fence).status.value

    suspend fun ModelEngine.complete(model: String, prompt: String, more: String = ""): HttpResponse =
        post("/v1/completions", """{"model":"$model","prompt":"$prompt"$more}""", EngineHeaders.REQUEST_ID to "r-1")

    context("orders are fenced where the engine checks the number") {
        listOf(
            Triple(true, listOf(5L, 5L, 4L), 409),
            Triple(true, listOf(4L, 5L, 6L), 200),
            Triple(false, listOf(5L, 5L, 4L), 200),
        ).forEach { (checks, fences, lastStatus) ->
            test("checks=$checks, numbers $fences end with $lastStatus") {
                modelEngine(warm.copy(checksFencing = checks)).use { engine ->
                    engine.load("a@1", fences[0]) shouldBe 200
                    engine.load("a@2", fences[1]) shouldBe 200
                    engine.unload("a@1", fences[2]) shouldBe lastStatus
                    engine.complete("a@1", "x").status.value shouldBe if (lastStatus == 409) 200 else 404
                }
            }
        }
    }

    test("output is the same on every engine, also when continued, and differs by model and prompt") {
        modelEngine(warm).use { engine ->
            engine.load("a@1") shouldBe 200
            val expected = expectedAnswer("a@1", "hello", 12)
            textOf(engine.complete("a@1", "hello", ""","max_tokens":12""")) shouldBe expected
            val rest = engine.complete("a@1", "hello", ""","max_tokens":12,"continuation":{"from_index":5}""")
            textOf(rest) shouldBe expectedAnswer("a@1", "hello", 12, fromIndex = 5)
            expected shouldBe expectedAnswer("a@1", "hello", 5) + expectedAnswer("a@1", "hello", 12, fromIndex = 5)
            expected shouldNotBe expectedAnswer("a@2", "hello", 12)
            expected shouldNotBe expectedAnswer("a@1", "hallo", 12)
        }
    }

    test("headers are sent before the first token, and a dropped stream resumes without a gap") {
        modelEngine(warm.copy(firstTokenMillis = 600, tokenMillis = 20.0)).use { engine ->
            val body = """{"model":"base","messages":[{"role":"user","content":"hi"}],"max_tokens":30,"stream":true}"""
            val (first, taken) = measureTimedValue {
                client.preparePost("http://127.0.0.1:${engine.port}/v1/chat/completions") {
                    header(EngineHeaders.REQUEST_ID, "r-7")
                    setBody(body)
                }.execute { answer ->
                    answer.headers[EngineHeaders.REQUEST_ID] shouldBe "r-7"
                    engine.runs().runs.single().tokens shouldBe 0
                    val channel = answer.bodyAsChannel()
                    (1..6).map { channel.readLine().orEmpty() }.filter { it.isNotEmpty() }
                }
            }
            taken.inWholeMilliseconds shouldBeLessThan 1_000
            val rest = engine.post("/v1/resume", """{"request_id":"r-7","from_index":${first.size}}""").bodyAsText()
            val chunks = (first + rest.lines().filter { it.isNotEmpty() })
            chunks.last() shouldBe "data: [DONE]"
            val parsed = chunks.dropLast(1).map { Json.parseToJsonElement(it.removePrefix("data: ")).jsonObject }
            parsed.map { it.getValue("index").jsonPrimitive.int } shouldBe (0 until 30).toList()
            parsed.joinToString("") { chunk ->
                val delta = chunk.getValue("choices").jsonArray.single().jsonObject.getValue("delta")
                delta.jsonObject.getValue("content").jsonPrimitive.content
            } shouldBe expectedAnswer("base", chatPrompt("user" to "hi"), 30)
            parsed.last().getValue("usage").jsonObject.getValue("completion_tokens").jsonPrimitive.int shouldBe 30
        }
    }

    test("a run whose caller disconnected is cancelled, even before its first token") {
        modelEngine(warm.copy(firstTokenMillis = 10_000, resumeMillis = 100)).use { engine ->
            // The Ktor client would read the rest of a response before it closes the connection.
            Socket("127.0.0.1", engine.port).use { socket ->
                val body = """{"model":"base","prompt":"x"}"""
                val head = "POST /v1/completions HTTP/1.1\r\nHost: engine\r\nContent-Length: ${body.length}\r\n\r\n"
                socket.getOutputStream().write((head + body).toByteArray())
                eventually(2.seconds) { engine.runs().runs.single().stage shouldBe RunStage.RUNNING }
            }
            eventually(2.seconds) { engine.runs().runs.single().stage shouldBe RunStage.CANCELLED }
        }
    }

    context("a cold engine falls over above its limit only") {
        listOf(2 to 0L, 3 to 1L).forEach { (requests, fallen) ->
            test("$requests requests at a limit of 2") {
                val options = warm.copy(coldMillis = 60_000, coldInFlight = 2, firstTokenMillis = 300, downMillis = 200)
                modelEngine(options).use { engine ->
                    engine.load("a@1") shouldBe 200
                    val before = engine.runs().incarnation
                    val answered = supervisorScope {
                        (1..requests).map { async { runCatching { textOf(engine.complete("a@1", "x")) }.isSuccess } }
                            .awaitAll()
                    }
                    answered shouldBe List(requests) { fallen == 0L }
                    val record = engine.runs()
                    (record.counters["fallen_over_cold"] ?: 0L) shouldBe fallen
                    (record.incarnation > before) shouldBe (fallen == 1L)
                    eventually(2.seconds) {
                        engine.complete("a@1", "x").status.value shouldBe if (fallen == 0L) 200 else 404
                    }
                }
            }
        }
    }

    test("a request with the crash marker crashes the engine after its first token") {
        modelEngine(warm.copy(downMillis = 300)).use { engine ->
            shouldThrowAny { textOf(engine.complete("base", "[crash-engine]")) }
            shouldThrowAny { engine.complete("base", "x") }
            eventually(2.seconds) { engine.complete("base", "x").status.value shouldBe 200 }
            engine.runs().counters["crashes"] shouldBe 1
            engine.runs().runs.map { it.stage to it.tokens } shouldContain (RunStage.CUT to 1)
        }
    }

    test("an unload cuts the runs of the adapter, and the records show it") {
        modelEngine(warm.copy(firstTokenMillis = 5_000)).use { engine ->
            engine.load("a@1") shouldBe 200
            supervisorScope {
                val run = async { runCatching { textOf(engine.complete("a@1", "x")) } }
                eventually(2.seconds) { engine.runs().runs.single().stage shouldBe RunStage.RUNNING }
                engine.unload("a@1", 1) shouldBe 200
                run.await().isFailure shouldBe true
            }
            engine.runs().counters shouldContainKey "evictions_in_use"
        }
    }

    test("a load fetches weights from the weight store, and slows in proportion above 16 requests in flight") {
        platform(PlatformOptions(weightLoadsPerSecond = 0.0)).use { platform ->
            val options = warm.copy(firstTokenMillis = 3_000, weightStore = "http://127.0.0.1:${platform.port}")
            modelEngine(options).use { engine ->
                measureTime { engine.load("a@1") shouldBe 200 }.inWholeMilliseconds shouldBeIn 250L..450L
                supervisorScope {
                    val runs = (1..32).map { async { engine.complete("base", "x") } }
                    eventually(2.seconds) { engine.runs().counters["in_flight"] shouldBe 32 }
                    measureTime { engine.load("a@2") shouldBe 200 }.inWholeMilliseconds shouldBeIn 500L..900L
                    runs.awaitAll()
                }
                platform.control(PlatformControl(outage = true))
                engine.load("a@3") shouldBe 500
            }
            platform.counters()["weight_fetches"] shouldBe 2
        }
    }

    test("a queued request with a lower priority number runs first, and one above the limit is refused") {
        modelEngine(warm.copy(maximumInFlight = 1, queueLimit = 2, firstTokenMillis = 300)).use { engine ->
            supervisorScope {
                val runs = listOf(0, 5, 1).mapIndexed { index, priority ->
                    async { engine.complete("base", "x", ""","priority":$priority""") }
                        .also { eventually(2.seconds) { engine.runs().runs.size shouldBe index + 1 } }
                }
                engine.complete("base", "x").status.value shouldBe 503
                runs.awaitAll().map { it.status.value } shouldBe listOf(200, 200, 200)
            }
            engine.runs().runs.sortedBy { it.startedMillis }.map { it.priority } shouldBe listOf(0, 1, 5)
        }
    }

    test("an unreadable body is refused as malformed") {
        modelEngine(warm).use { engine ->
            listOf("/v1/completions", "/v1/load_lora_adapter", "/v1/cancel", "/control")
                .map { engine.post(it, "{\"model\":").status.value } shouldBe List(4) { 400 }
        }
    }

    test("with fault switches on, loads fail and answers are for another model or request") {
        modelEngine(warm).use { engine ->
            engine.control(EngineControl(failLoads = 1, wrongModel = 1))
            engine.load("a@1") shouldBe 500
            engine.load("a@1") shouldBe 200
            engine.complete("a@1", "x").headers[EngineHeaders.SERVED_MODEL] shouldNotBe "a@1"
            engine.control(EngineControl(wrongRequestId = 1))
            engine.complete("a@1", "x").headers[EngineHeaders.REQUEST_ID] shouldNotBe "r-1"
            engine.complete("a@1", "x").headers[EngineHeaders.REQUEST_ID] shouldBe "r-1"
        }
    }

    // Without these, tests of the daemon could not play servers that leave or refuse for a time.
    test("a leaving engine says so in its answers, and a full one says when to return") {
        modelEngine(warm.copy(maximumInFlight = 0, queueLimit = 0)).use { engine ->
            engine.control(EngineControl(leaving = true, retryAfter = "0.5"))
            val answer = engine.complete("base", "x")
            answer.status shouldBe HttpStatusCode.ServiceUnavailable
            answer.headers["X-Leaving"] shouldBe "1"
            answer.headers["Retry-After"] shouldBe "0.5"
        }
    }

    test("reports show a change only after their lag") {
        modelEngine(warm.copy(reportLagMillis = 400)).use { engine ->
            suspend fun report() = client.get("http://127.0.0.1:${engine.port}/load").bodyAsText()
            engine.control(EngineControl(leaving = true))
            report() shouldContain "\"warm\""
            eventually(2.seconds) { report() shouldContain "\"leaving\"" }
        }
    }
})

/** Fails if the answer is incomplete; the Ktor client takes an aborted chunked body for a complete one. */
private suspend fun textOf(answer: HttpResponse): String {
    val choice = Json.parseToJsonElement(answer.bodyAsText()).jsonObject.getValue("choices").jsonArray.single()
    return choice.jsonObject.getValue("text").jsonPrimitive.content
}
