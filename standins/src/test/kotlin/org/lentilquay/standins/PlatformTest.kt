package org.lentilquay.standins

import io.kotest.assertions.throwables.shouldThrowAny
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.supervisorScope
import kotlinx.serialization.json.Json
import org.lentilquay.protocol.ListedVm
import org.lentilquay.protocol.ListedVmKind
import org.lentilquay.protocol.ListedVmState
import org.lentilquay.protocol.OutageMode
import org.lentilquay.protocol.PlatformControl
import org.lentilquay.protocol.PlatformPart
import org.lentilquay.protocol.TableItem
import org.lentilquay.protocol.TableOperation
import org.lentilquay.protocol.TableOperation.Check
import org.lentilquay.protocol.TableOperation.Delete
import org.lentilquay.protocol.TableOperation.Put
import org.lentilquay.protocol.TableTransaction
import org.lentilquay.protocol.VmList
import kotlin.time.measureTime

/** Guards against a platform stand-in that hides a conflict, a lost answer, a lag or a limit. */
class PlatformTest : FunSpec({
    val client = HttpClient(CIO)
    afterSpec { client.close() }

    suspend fun Platform.transact(vararg operations: TableOperation): Int =
        client.post("http://127.0.0.1:$port/table/transact") {
            setBody(Json.encodeToString(TableTransaction(operations.toList())))
        }.status.value

    suspend fun Platform.read(path: String, vm: String? = null) =
        client.get("http://127.0.0.1:$port$path") { vm?.let { header("X-Vm-Id", it) } }

    context("a transaction takes effect as a whole or not at all") {
        listOf(
            listOf(Put("a", "2", 1), Put("b", "1", 0)) to 200,
            listOf(Put("b", "1", 0), Put("a", "2", 0)) to 409,
            listOf(Put("b", "1"), Check("a", 2)) to 409,
            listOf(Put("b", "1"), Delete("a", 2)) to 409,
            listOf(Put("b", "1"), Check("a", 1), Check("absent", 0)) to 200,
        ).forEach { (operations, status) ->
            test("$operations gives $status") {
                platform().use { platform ->
                    platform.transact(Put("a", "1"))
                    platform.transact(*operations.toTypedArray()) shouldBe status
                    platform.read("/table/item?key=b").status.value shouldBe if (status == 200) 200 else 404
                }
            }
        }
    }

    test("with a lost answer, the connection is closed after the write took effect") {
        platform(PlatformOptions(control = PlatformControl(loseAnswers = 1))).use { platform ->
            shouldThrowAny { platform.transact(Put("a", "1", 0)) }
            val item = Json.decodeFromString<TableItem>(platform.read("/table/item?key=a").bodyAsText())
            item shouldBe TableItem("a", "1", 1)
            platform.transact(Put("a", "2", 1)) shouldBe 200
        }
    }

    test("the VM list shows a change only after its lag") {
        platform(PlatformOptions(control = PlatformControl(listLagMillis = 300))).use { platform ->
            val vm = ListedVm("vm-1", "127.0.0.1:1", "d1", ListedVmKind.VM, ListedVmState.LIVE)
            suspend fun listed() = Json.decodeFromString<VmList>(platform.read("/vms").bodyAsText()).vms
            platform.register(vm)
            listed().shouldBeEmpty()
            delay(400)
            listed() shouldContainExactly listOf(vm)
            platform.deregister(vm.id)
            listed() shouldContainExactly listOf(vm)
        }
    }

    test("an outage affects only the selected parts and callers") {
        platform().use { platform ->
            platform.control(PlatformControl(cutOff = setOf("vm-1")))
            platform.read("/vms", "vm-1").status.value shouldBe 503
            platform.read("/vms", "vm-2").status.value shouldBe 200
            platform.control(PlatformControl(outage = true, outageOf = setOf(PlatformPart.TABLE)))
            platform.read("/table/scan", "vm-2").status.value shouldBe 503
            platform.read("/vms", "vm-1").status.value shouldBe 200
            platform.read("/counters").status.value shouldBe 200
        }
    }

    test("a hanging outage sends no response and closes the connection when it ends") {
        val control = PlatformControl(outage = true, outageMode = OutageMode.HANG)
        platform(PlatformOptions(control = control)).use { platform ->
            supervisorScope {
                val read = async { runCatching { platform.read("/vms") } }
                delay(300)
                read.isActive shouldBe true
                platform.control(PlatformControl(outage = false))
                read.await().isFailure shouldBe true
            }
            platform.read("/vms").status.value shouldBe 200
        }
    }

    test("stale reads return an earlier version, and transactions still compare with the current one") {
        platform(PlatformOptions(control = PlatformControl(staleReadsMillis = 10_000))).use { platform ->
            platform.transact(Put("a", "1", 0)) shouldBe 200
            platform.read("/table/item?key=a").status.value shouldBe 404
            platform.transact(Put("a", "1", 0)) shouldBe 409
        }
    }

    test("the weight store keeps its rate of fetches and slows those above its parallel limit") {
        val options = PlatformOptions(weightLoadsPerSecond = 10.0, weightLoadsAtFullSpeed = 2, weightFetchMillis = 50)
        platform(options).use { platform ->
            val taken = measureTime {
                coroutineScope { (1..6).map { async { platform.read("/weights/a/$it") } }.awaitAll() }
            }
            // Two fetches start immediately, and the sixth 400 ms later.
            taken.inWholeMilliseconds shouldBeGreaterThanOrEqual 400
            platform.counters()["weight_fetches_delayed"] shouldBe 4
        }
        platform(options.copy(weightLoadsPerSecond = 0.0)).use { platform ->
            coroutineScope { (1..6).map { async { platform.read("/weights/a/$it") } }.awaitAll() }
            platform.counters().getValue("weight_fetches_slowed") shouldBeGreaterThanOrEqual 1
        }
    }
})
