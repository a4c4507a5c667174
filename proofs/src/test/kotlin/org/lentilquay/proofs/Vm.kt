/*
 * One VM of a test fleet: the daemon in a process of its own, with its settings file and log file, a relay in front of
 * its peer listener, and a client of its administration API.
 */
package org.lentilquay.proofs

import kotlinx.serialization.json.Json
import org.lentilquay.daemon.settings.ListenerSettings
import org.lentilquay.daemon.settings.OperatorSettings
import org.lentilquay.daemon.settings.PeerSettings
import org.lentilquay.daemon.settings.PlatformSettings
import org.lentilquay.daemon.settings.SecretReference
import org.lentilquay.daemon.settings.SeedSettings
import org.lentilquay.daemon.settings.Settings
import org.lentilquay.daemon.settings.WeightStoreSettings
import org.lentilquay.protocol.Confirmation
import org.lentilquay.protocol.Plan
import org.lentilquay.protocol.PlanRequest
import org.lentilquay.protocol.StatusReport
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.DomainId
import org.lentilquay.state.VmId
import java.io.File
import java.net.InetAddress
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Path
import java.time.Duration
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.io.path.createDirectories
import kotlin.io.path.writeText

const val OPERATOR_TOKEN = "operator-of-the-proofs"
private const val SECRET_VARIABLE = "LENTILQUAY_FLEET_SECRET"
private const val FLEET_SECRET = "fleet-secret-of-the-proofs"
private val json = Json { ignoreUnknownKeys = true }

/** A response of the administration API: HTTP status, and [value] or the [code] and [message] of the error. */
class AdminResponse<T>(val status: Int, val value: T?, val code: String?, val message: String?) {
    /** The value; fails if the request was refused. */
    fun required(): T = checkNotNull(value) { "refused: $status $code: $message" }
}

/** What a VM may use: the heap of its process, and its open descriptors or null for those of the test's process. */
data class VmResources(val heapMebibytes: Int = 192, val descriptors: Int? = null)

class Vm(
    val name: String,
    val domain: String,
    private val platformPort: Int,
    private val directory: Path,
    private val resources: VmResources = VmResources(),
) {
    private val ports = freePorts(3)
    val callerPort = ports[0]
    private val administration = "127.0.0.1:${ports[1]}"
    private val peers = "127.0.0.1:${ports[2]}"
    val relay = PeerRelay(ports[2])
    val logFile: File = directory.resolve("$name.log").toFile()
    private val http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private lateinit var process: Process

    /** Starts the process with [others] as its membership seeds. */
    fun start(others: List<Vm>) {
        val file = directory.createDirectories().resolve("$name.json")
        file.writeText(Json.encodeToString(settings(others)))
        val command = listOf(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            System.getProperty("java.class.path"),
            "-Xmx${resources.heapMebibytes}m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "org.lentilquay.daemon.MainKt",
            "--settings",
            file.toString(),
        )
        // The limit that the shell sets holds for the process that replaces it.
        val limited = resources.descriptors?.let { listOf("bash", "-c", "ulimit -n $it; exec \"\$@\"", "vm") }.orEmpty()
        process = ProcessBuilder(limited + command).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile))
            .apply { environment()[SECRET_VARIABLE] = FLEET_SECRET }
            .start()
        Runtime.getRuntime().addShutdownHook(Thread(process::destroyForcibly))
    }

    /** Kills the process without a shutdown, as in a crash of the VM. */
    fun kill() {
        process.destroyForcibly().waitFor()
    }

    fun pause() = signal("STOP")

    fun resume() = signal("CONT")

    fun terminate() = signal("TERM")

    val isAlive: Boolean get() = process.isAlive

    val pid: Long get() = process.pid()

    /** Whether the process exits by itself within [timeoutMillis]. */
    fun hasExited(timeoutMillis: Long): Boolean = process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS)

    val isReady: Boolean get() = runCatching { get("/ready").statusCode() == 200 }.getOrDefault(false)

    fun status(): StatusReport = json.decodeFromString(get("/admin/v1/status").body())

    fun metrics(): String = get("/metrics").body()

    /** The configuration revision in force at this VM, or null if it does not respond. */
    fun revision(): Long? = runCatching { status().revision }.getOrNull()

    fun plan(change: ConfigurationChange): AdminResponse<Plan> =
        post("/admin/v1/plans", Json.encodeToString(PlanRequest(change))) { json.decodeFromString(it) }

    fun confirm(plan: Plan): AdminResponse<Confirmation> =
        post("/admin/v1/plans/confirm", Json.encodeToString(plan)) { json.decodeFromString(it) }

    /** Plans and confirms [change]; fails if another change of the configuration is confirmed in between. */
    fun apply(change: ConfigurationChange): Confirmation = confirm(plan(change).required()).required()

    fun close() {
        if (::process.isInitialized) process.destroyForcibly()
        relay.close()
    }

    /** The entry of this VM in the platform's VM list. */
    fun listedVm() = org.lentilquay.protocol.ListedVm(
        name,
        relay.address,
        domain,
        org.lentilquay.protocol.ListedVmKind.VM,
        org.lentilquay.protocol.ListedVmState.LIVE,
    )

    private fun signal(name: String) {
        val kill = ProcessBuilder("kill", "-$name", process.pid().toString()).start()
        check(kill.waitFor() == 0) { "kill -$name failed" }
    }

    private fun settings(others: List<Vm>) = Settings(
        vm = VmId(name),
        failureDomain = DomainId(domain),
        callers = ListenerSettings("127.0.0.1:$callerPort"),
        administration = ListenerSettings(administration),
        peers = PeerSettings(peers, relay.address),
        platform = PlatformSettings("127.0.0.1:$platformPort"),
        fleetSecret = SecretReference(environment = SECRET_VARIABLE),
        seeds = others.map { SeedSettings(VmId(it.name), it.relay.address, DomainId(it.domain)) },
        operators = listOf(OperatorSettings("proofs", sha256(OPERATOR_TOKEN))),
        weightStore = WeightStoreSettings("main", loadsPerSecond = 5.0),
    )

    private fun get(path: String): HttpResponse<String> = send(request(path).GET())

    private fun <T> post(path: String, body: String, read: (String) -> T): AdminResponse<T> {
        val response = send(request(path).POST(HttpRequest.BodyPublishers.ofString(body)))
        val error = errorOf(response.body())
        val value = if (response.statusCode() == 200) read(response.body()) else null
        return AdminResponse(response.statusCode(), value, error?.code, error?.message)
    }

    private fun send(request: HttpRequest.Builder) =
        http.send(request.timeout(Duration.ofSeconds(15)).build(), HttpResponse.BodyHandlers.ofString())

    private fun request(path: String) = HttpRequest.newBuilder(URI("http://$administration$path"))
        .header("Authorization", "Bearer $OPERATOR_TOKEN")
        .header("Content-Type", "application/json")
}

/**
 * Ports that are free at the time of the check. They are below the range of ephemeral ports: an outgoing connection can
 * take a port of that range between the check and the start of the daemon.
 */
private fun freePorts(count: Int): List<Int> =
    generateSequence(nextPort::getAndIncrement).filter(::isFree).take(count).toList()

private fun isFree(port: Int): Boolean =
    runCatching { ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close() }.isSuccess

private const val FIRST_PORT = 12_000
private const val PORT_BLOCKS = 60
private const val PORTS_PER_BLOCK = 300

/** Test runs on one machine start at different ports, so that they do not collide. */
private val portBlock = (ProcessHandle.current().pid() % PORT_BLOCKS).toInt()
private val nextPort = AtomicInteger(FIRST_PORT + portBlock * PORTS_PER_BLOCK)
