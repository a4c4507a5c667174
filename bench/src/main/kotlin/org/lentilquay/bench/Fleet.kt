/*
 * A fleet on the loopback address: each daemon is a process of its own, so that its CPU time can be measured alone; the
 * platform, engines and services are stand-ins inside this process. [Fleet.close] stops all of them; a shutdown hook
 * does the same when this process is interrupted.
 */
package org.lentilquay.bench

import org.lentilquay.coordination.configuration.sha256Of
import org.lentilquay.daemon.settings.PlacementOrder
import org.lentilquay.protocol.ListedVm
import org.lentilquay.protocol.ListedVmKind
import org.lentilquay.protocol.ListedVmState
import org.lentilquay.standins.EngineOptions
import org.lentilquay.standins.Platform
import org.lentilquay.standins.PlatformOptions
import org.lentilquay.standins.ServiceOptions
import org.lentilquay.standins.modelEngine
import org.lentilquay.standins.plainService
import org.lentilquay.standins.platform
import org.lentilquay.state.BackendServer
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.DomainId
import org.lentilquay.state.ServerId
import org.lentilquay.state.ServerKind
import java.io.File
import java.net.InetAddress
import java.net.ServerSocket

internal const val OPERATOR_TOKEN = "bench-operator"
private const val PORTS_PER_VM = 3
private const val COLD_IN_FLIGHT = 4
private const val SERVICE_IN_FLIGHT = 32

/** Sizes of a fleet; the defaults are those of Emberline (docs/design.md, section 1.5). */
data class FleetSize(
    val vms: Int = 8,
    val domains: Int = 4,
    val engines: Int = 8,
    val slots: Int = 16,
    val inFlight: Int = 32,
    val services: Int = 4,
    /** Capacity of the weight store; at most 2 loads run at once at full speed. */
    val loadsPerSecond: Int = 5,
)

/**
 * A running fleet of [size], whose settings and logs are in [directory]; [engineOptions] set the timing of the engines,
 * [placement] the order in which the daemons try engines for a request.
 */
class Fleet(
    val size: FleetSize,
    private val directory: File,
    private val engineOptions: EngineOptions = EngineOptions(),
    private val placement: PlacementOrder = PlacementOrder.HOME_FIRST,
) : AutoCloseable {
    val platform: Platform = platform(PlatformOptions(weightLoadsPerSecond = size.loadsPerSecond.toDouble()))
    private val runningEngines = ArrayList<RestartableStandIn>()
    private val runningServices = ArrayList<RestartableStandIn>()
    private val runningVms = ArrayList<DaemonProcess>()
    private val shutdownHook = Thread(::stopAll)

    init {
        Runtime.getRuntime().addShutdownHook(shutdownHook)
        directory.mkdirs()
        repeat(size.engines) { index -> runningEngines += RestartableStandIn(domainOf(index), ::openEngine) }
        repeat(size.services) { index ->
            runningServices += RestartableStandIn(domainOf(index)) { port ->
                plainService(ServiceOptions(port)).let { RestartableStandIn.Instance(it.port, it) }
            }
        }
        val ports = freePorts(size.vms * PORTS_PER_VM).chunked(PORTS_PER_VM)
        ports.forEachIndexed { index, vmPorts -> runningVms += startVm(index, vmPorts, ports) }
    }

    val engines: List<RestartableStandIn> get() = runningEngines
    val services: List<RestartableStandIn> get() = runningServices
    val vms: List<DaemonProcess> get() = runningVms

    fun domainOf(index: Int): String = "domain-${index % size.domains + 1}"

    /** The configuration changes that add the stand-ins as backend servers. */
    fun serverChanges(): List<ConfigurationChange> {
        val engineChanges = engines.mapIndexed { index, engine ->
            server(index, "engine-${index + 1}", ServerKind.ENGINE, engine.port, "base")
        }
        val serviceChanges = services.mapIndexed { index, service ->
            server(index, "service-${index + 1}", ServerKind.SERVICE, service.port, "bookings")
        }
        return (engineChanges + serviceChanges).map(ConfigurationChange::PutServer)
    }

    private fun server(index: Int, id: String, kind: ServerKind, port: Int, serves: String) = BackendServer(
        id = ServerId(id),
        kind = kind,
        address = "127.0.0.1:$port",
        domain = DomainId(domainOf(index)),
        serves = serves,
        checksFencing = kind == ServerKind.ENGINE,
        adapterSlots = if (kind == ServerKind.ENGINE) size.slots else 0,
        maximumInFlight = if (kind == ServerKind.ENGINE) size.inFlight else SERVICE_IN_FLIGHT,
        coldInFlight = COLD_IN_FLIGHT,
    )

    private fun openEngine(port: Int): RestartableStandIn.Instance {
        val weightStoreAddress = "http://127.0.0.1:${platform.port}"
        val options = engineOptions
            .copy(port = port, slots = size.slots, maximumInFlight = size.inFlight, weightStore = weightStoreAddress)
        return modelEngine(options).let { RestartableStandIn.Instance(it.port, it) }
    }

    private fun startVm(index: Int, ports: List<Int>, portsOfAll: List<List<Int>>): DaemonProcess {
        val name = "vm-${index + 1}"
        val (callers, administration, peers) = ports
        val seeds = portsOfAll.withIndex().filter { it.index != index }.joinToString { (other, otherPorts) ->
            val address = "127.0.0.1:${otherPorts.last()}"
            """{"vm":"vm-${other + 1}","address":"$address","failureDomain":"${domainOf(other)}"}"""
        }
        val file = File(directory, "$name.json")
        file.writeText(
            """
            {
              "vm": "$name", "failureDomain": "${domainOf(index)}",
              "callers": { "listen": "127.0.0.1:$callers" },
              "administration": { "listen": "127.0.0.1:$administration" },
              "peers": { "listen": "127.0.0.1:$peers" },
              "platform": { "address": "127.0.0.1:${platform.port}" },
              "fleetSecret": { "environment": "$SECRET_VARIABLE" },
              "seeds": [$seeds],
              "operators": [{ "name": "bench", "tokenSha256": "${sha256Of(OPERATOR_TOKEN)}" }],
              "weightStore": { "name": "main", "loadsPerSecond": ${size.loadsPerSecond}, "parallelLoads": 2 },
              "placement": { "order": "${placement.label}" }
            }
            """.trimIndent(),
        )
        val entry = ListedVm(name, "127.0.0.1:$peers", domainOf(index), ListedVmKind.VM, ListedVmState.LIVE)
        platform.register(entry)
        return DaemonProcess(entry, callers, administration, file)
    }

    override fun close() {
        stopAll()
        Runtime.getRuntime().removeShutdownHook(shutdownHook)
    }

    private fun stopAll() {
        vms.forEach { it.stop() }
        vms.forEach { it.awaitEnd() }
        engines.forEach { it.stop() }
        services.forEach { it.stop() }
        platform.close()
    }
}

/** The value of `placement.order` in settings. */
internal val PlacementOrder.label: String get() = PlacementOrder.serializer().descriptor.getElementName(ordinal)

/** Distinct ports that were free just now: all sockets are open at once before they are closed. */
private fun freePorts(count: Int): List<Int> {
    val sockets = List(count) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
    return sockets.map { it.localPort }.also { sockets.forEach(ServerSocket::close) }
}
