/*
 * A stand-in for the platform: table service, object store, VM list and weight store, all in memory, with switches for
 * the faults that the platform is known to have. Interface: docs/design.md, section 5.3. Times are milliseconds.
 */
package org.lentilquay.standins

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receive
import io.ktor.server.response.respondBytes
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import kotlinx.coroutines.delay
import org.lentilquay.protocol.ListedVm
import org.lentilquay.protocol.OutageMode
import org.lentilquay.protocol.PlatformControl
import org.lentilquay.protocol.PlatformPart
import org.lentilquay.protocol.VmList
import org.lentilquay.standins.internal.Counters
import org.lentilquay.standins.internal.LaggingVmList
import org.lentilquay.standins.internal.Listener
import org.lentilquay.standins.internal.RateLimiter
import org.lentilquay.standins.internal.Table
import org.lentilquay.standins.internal.WeightStore
import org.lentilquay.standins.internal.cutConnection
import org.lentilquay.standins.internal.monotonicMillis
import org.lentilquay.standins.internal.receiveJson
import org.lentilquay.standins.internal.refuse
import org.lentilquay.standins.internal.respondJson
import java.util.concurrent.ConcurrentHashMap

private const val DEFAULT_PAGE = 1_000
private const val OUTAGE_POLL_MILLIS = 20L
private const val VM_HEADER = "X-Vm-Id"

/** Sizes and initial switches of a platform; the defaults follow docs/design.md, sections 1.4 and 1.5. */
data class PlatformOptions(
    val port: Int = 0,
    /** Maximum rate of table and object writes; further ones are delayed. 0 for no limit. */
    val writesPerSecond: Double = 500.0,
    /** Maximum rate of table and object reads; further ones are delayed. 0 for no limit. */
    val readsPerSecond: Double = 2_000.0,
    /** Maximum rate of fetches that the weight store starts; further ones are delayed. 0 for no limit. */
    val weightLoadsPerSecond: Double = 5.0,
    /** Concurrent fetches up to which a fetch takes [weightFetchMillis]. */
    val weightLoadsAtFullSpeed: Int = 2,
    /** Duration of a fetch at full speed. */
    val weightFetchMillis: Long = 50,
    val control: PlatformControl = PlatformControl(),
)

/** A running platform stand-in. */
interface Platform : AutoCloseable {
    val port: Int

    /** Sets the switches that are present in [control]. */
    fun control(control: PlatformControl)

    /** Adds [vm] to the VM list, or replaces the entry with its id. Readers see the change after the list lag. */
    fun register(vm: ListedVm)

    /** Removes [id] from the VM list. Readers see the change after the list lag. */
    fun deregister(id: String)

    /** The content of `GET /counters`. */
    fun counters(): Map<String, Long>
    fun stop()
    override fun close() = stop()
}

/** Starts a platform stand-in on the loopback address. */
fun platform(options: PlatformOptions = PlatformOptions()): Platform = RunningPlatform(options)

private class RunningPlatform(options: PlatformOptions) : Platform {
    private val table = Table()
    private val objects = ConcurrentHashMap<String, ByteArray>()
    private val list = LaggingVmList()
    private val weights = with(options) {
        WeightStore(weightLoadsPerSecond, weightLoadsAtFullSpeed, weightFetchMillis)
    }
    private val reads = RateLimiter(options.readsPerSecond, options.readsPerSecond.toInt() / BURST_DIVISOR)
    private val writes = RateLimiter(options.writesPerSecond, options.writesPerSecond.toInt() / BURST_DIVISOR)
    private val counters = Counters()
    private val listener = Listener(options.port) { routes() }

    @Volatile
    private var switches = options.control

    init {
        listener.open()
    }

    override val port: Int get() = listener.port

    @Synchronized
    override fun control(control: PlatformControl) {
        switches = switches.with(control)
    }

    override fun register(vm: ListedVm) = list.put(vm, monotonicMillis())

    override fun deregister(id: String) = list.remove(id, monotonicMillis())

    override fun counters(): Map<String, Long> = counters.snapshot() + mapOf(
        "weight_fetches" to weights.fetches.get(),
        "weight_fetches_delayed" to weights.delayedByRate.get(),
        "weight_fetches_slowed" to weights.slowedByOthers.get(),
        "weight_fetches_at_once" to weights.maximumAtOnce.get().toLong(),
        "weight_fetches_in_5_s" to weights.maximumInWindow.get().toLong(),
    )

    override fun stop() = listener.close()

    private fun Route.routes() {
        tableRoutes()
        objectRoutes()
        get("/vms") {
            withFaults(PlatformPart.LIST) {
                counters.count("list_reads")
                call.respondJson(VmList(list.at(monotonicMillis() - (switches.listLagMillis ?: 0))))
            }
        }
        get("/weights/{adapter}/{version}") {
            withFaults(PlatformPart.WEIGHTS) {
                call.respondBytes(weights.fetch("${call.parameters["adapter"]}@${call.parameters["version"]}"))
            }
        }
        put("/vms") { done(list.replace(call.receiveJson<VmList>().vms, monotonicMillis())) }
        post("/vms/register") { done(register(call.receiveJson())) }
        delete("/vms/{id}") { done(deregister(call.parameters["id"].orEmpty())) }
        post("/control") { done(control(call.receiveJson())) }
        get("/control") { call.respondJson(switches) }
        get("/counters") { call.respondJson(counters()) }
    }

    private fun Route.tableRoutes() {
        post("/table/transact") {
            withFaults(PlatformPart.TABLE) {
                writes.await()
                val answer = table.transact(call.receiveJson(), monotonicMillis())
                counters.count(if (answer.committed) "table_writes" else "table_conflicts")
                if (answer.committed) loseAnswerIfRequested()
                call.respondJson(answer, if (answer.committed) HttpStatusCode.OK else HttpStatusCode.Conflict)
            }
        }
        get("/table/item") {
            withFaults(PlatformPart.TABLE) {
                reads.await()
                counters.count("table_reads")
                val item = table.read(call.request.queryParameters["key"].orEmpty(), readTime())
                if (item == null) call.refuse(HttpStatusCode.NotFound, "item_absent") else call.respondJson(item)
            }
        }
        get("/table/scan") {
            withFaults(PlatformPart.TABLE) {
                reads.await()
                counters.count("table_scans")
                val parameters = call.request.queryParameters
                val limit = parameters["limit"]?.toInt() ?: DEFAULT_PAGE
                call.respondJson(table.scan(parameters["prefix"].orEmpty(), parameters["after"], limit, readTime()))
            }
        }
    }

    private fun Route.objectRoutes() {
        put("/objects/{name...}") {
            withFaults(PlatformPart.OBJECTS) {
                writes.await()
                objects[call.objectName()] = call.receive<ByteArray>()
                counters.count("object_writes")
                loseAnswerIfRequested()
                call.respondJson(emptyMap<String, String>())
            }
        }
        get("/objects/{name...}") {
            withFaults(PlatformPart.OBJECTS) {
                reads.await()
                counters.count("object_reads")
                val content = objects[call.objectName()]
                if (content == null) {
                    call.refuse(HttpStatusCode.NotFound, "object_absent")
                } else {
                    call.respondBytes(content)
                }
            }
        }
        delete("/objects/{name...}") {
            withFaults(PlatformPart.OBJECTS) {
                writes.await()
                objects.remove(call.objectName())
                counters.count("object_writes")
                loseAnswerIfRequested()
                call.respondJson(emptyMap<String, String>())
            }
        }
    }

    /** Applies the delay and outages, of the platform or of one VM, to a request for [part] before [answer] runs. */
    private suspend fun RoutingContext.withFaults(part: PlatformPart, answer: suspend RoutingContext.() -> Unit) {
        switches.delayMillis?.takeIf { it > 0 }?.let { delay(it) }
        val caller = call.request.header(VM_HEADER)
        if (caller != null) counters.count("requests_of_$caller")
        when {
            !switches.isUnavailable(part, caller) -> answer()
            switches.outageMode == OutageMode.HANG -> {
                counters.count("requests_hanging")
                // The connection is closed at the end of the outage, so that hanging requests do not accumulate.
                while (switches.isUnavailable(part, caller)) delay(OUTAGE_POLL_MILLIS)
                cutConnection()
            }
            else -> {
                counters.count("requests_refused")
                call.refuse(HttpStatusCode.ServiceUnavailable, "platform_outage")
            }
        }
    }

    private suspend fun loseAnswerIfRequested() {
        if (consumeAnswerLoss()) {
            counters.count("answers_lost")
            cutConnection()
        }
    }

    @Synchronized
    private fun consumeAnswerLoss(): Boolean {
        val left = switches.loseAnswers ?: 0
        if (left > 0) switches = switches.copy(loseAnswers = left - 1)
        return left > 0
    }

    private fun readTime(): Long = monotonicMillis() - (switches.staleReadsMillis ?: 0)

    private companion object {
        /** The burst is a tenth of the rate per second. */
        const val BURST_DIVISOR = 10
    }
}

private fun PlatformControl.isUnavailable(part: PlatformPart, caller: String?): Boolean =
    (outage == true || caller != null && caller in cutOff.orEmpty()) && (outageOf == null || part in outageOf.orEmpty())

private fun PlatformControl.with(newer: PlatformControl): PlatformControl = PlatformControl(
    outage = newer.outage ?: outage,
    outageMode = newer.outageMode ?: outageMode,
    outageOf = newer.outageOf ?: outageOf,
    delayMillis = newer.delayMillis ?: delayMillis,
    loseAnswers = newer.loseAnswers ?: loseAnswers,
    listLagMillis = newer.listLagMillis ?: listLagMillis,
    cutOff = newer.cutOff ?: cutOff,
    staleReadsMillis = newer.staleReadsMillis ?: staleReadsMillis,
)

private fun ApplicationCall.objectName(): String = parameters.getAll("name").orEmpty().joinToString("/")

private suspend fun RoutingContext.done(@Suppress("UNUSED_PARAMETER") effect: Unit) =
    call.respondJson(emptyMap<String, String>())
