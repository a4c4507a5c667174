/*
 * A test fleet. The stand-ins for the platform, the engines and the plain service run in the test process, so that
 * their records can be read directly; each VM runs the daemon in a process of its own. [Fleet.close] ends all of them.
 * The initial configuration has the teams `vans` and `parts` with one key each, one adapter and one route for each name
 * in [FleetOptions.adapters], and the plain service `bookings`. Engines and VMs are spread over three failure domains.
 */
package org.lentilquay.proofs

import org.lentilquay.protocol.PlatformControl
import org.lentilquay.standins.EngineOptions
import org.lentilquay.standins.EngineRun
import org.lentilquay.standins.ModelEngine
import org.lentilquay.standins.PlainService
import org.lentilquay.standins.Platform
import org.lentilquay.standins.PlatformOptions
import org.lentilquay.standins.ServiceOptions
import org.lentilquay.standins.modelEngine
import org.lentilquay.standins.plainService
import org.lentilquay.standins.platform
import org.lentilquay.standins.promptHash
import org.lentilquay.state.Adapter
import org.lentilquay.state.BackendServer
import org.lentilquay.state.CallerKey
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.DomainId
import org.lentilquay.state.KeyId
import org.lentilquay.state.Route
import org.lentilquay.state.RouteId
import org.lentilquay.state.RouteTarget
import org.lentilquay.state.ServerId
import org.lentilquay.state.ServerKind
import org.lentilquay.state.Team
import org.lentilquay.state.TeamId
import java.nio.file.Path

/** API keys of the teams `vans` and `parts`. */
const val KEY = "key-text-of-the-vans-7d1f"
const val PARTS_KEY = "key-text-of-the-parts-93ab"

/** Time within which a new revision is in force at every VM, and a leaving server stops getting new requests. */
const val IN_FORCE_MILLIS = 4_000L

/**
 * A new owner waits until the lease of the former one has expired (3 s and 1 s of margin), and then 4.5 s. The rest of
 * the time is for its polling intervals and for loads.
 */
const val TAKEOVER_TIMEOUT_MILLIS = 15_000L

private const val QUOTA_SEATS = 16
private const val START_TIMEOUT_MILLIS = 30_000L
private val domains = listOf("east", "west", "north")

data class FleetOptions(
    val vms: Int = 2,
    val engines: List<EngineOptions> = listOf(fastEngine, fastEngine),
    /** Base model by route name; each route leads to an adapter `<name>-adapter` of that model. */
    val adapters: Map<String, String> = mapOf("stove" to "base", "lamp" to "base"),
    val service: ServiceOptions = ServiceOptions(coldMillis = 0),
    val vans: Team = Team(TeamId("vans"), tokensPerSecond = 20_000, burstTokens = 200_000),
    val parts: Team = Team(TeamId("parts"), tokensPerSecond = 20_000, burstTokens = 200_000),
    val maximumWaitMillis: Long = 3_000,
    val platform: PlatformOptions = PlatformOptions(weightLoadsPerSecond = 20.0),
    val resources: VmResources = VmResources(),
)

/** An engine without a cold start that generates and loads fast. */
val fastEngine =
    EngineOptions(coldMillis = 0, firstTokenMillis = 20, tokenMillis = 5.0, loadMillis = 100, logBodies = true)

class Fleet(name: String, private val options: FleetOptions = FleetOptions()) : AutoCloseable {
    private val directory = Path.of("target", "proofs", name)
    val platform: Platform = platform(options.platform)
    val engines: List<ModelEngine> =
        options.engines.map { modelEngine(it.copy(weightStore = "http://127.0.0.1:${platform.port}")) }
    val service: PlainService = plainService(options.service)
    val vms: List<Vm> = List(options.vms) { index ->
        Vm("vm-${index + 1}", domains[index % domains.size], platform.port, directory, options.resources)
    }
    val caller = Caller()

    init {
        directory.toFile().deleteRecursively()
        try {
            vms.forEach { platform.register(it.listedVm()) }
            vms.forEach { vm -> vm.start(vms - vm) }
            vms.forEach { vm -> await("${vm.name} is ready", START_TIMEOUT_MILLIS) { vm.isReady } }
            await("the initial configuration is confirmed", START_TIMEOUT_MILLIS) {
                runCatching { vms[0].apply(initialConfiguration()) }.onFailure { lastFailure = it }.isSuccess
            }
            await("the initial configuration is in force", IN_FORCE_MILLIS) { vms.all { it.revision() == 1L } }
            // Before that, a VM may have no tokens of its own, and the loss of one VM may take all seats with it.
            await("the quota seats are spread", START_TIMEOUT_MILLIS) {
                vms.all { it.status().seats.size >= QUOTA_SEATS / vms.size }
            }
        } catch (failure: IllegalStateException) {
            close()
            throw failure
        }
    }

    /** Waits until every VM returns the expected answer on each of [routes]. */
    fun awaitServing(vararg routes: String, key: String = KEY) = vms.forEach { vm ->
        routes.forEach { route ->
            await("${vm.name} serves $route", START_TIMEOUT_MILLIS) {
                val request = CallerRequest(route, "warm-up", tokens = 1, key = key)
                caller.send(vm, request)
                    .also { lastFailure = IllegalStateException(it.toString()) }
                    .isCorrectFor(request)
            }
        }
    }

    /** Waits until every VM forwards calls to the plain service. */
    fun awaitBookings() = vms.forEach { vm ->
        await("${vm.name} serves bookings", START_TIMEOUT_MILLIS) {
            caller.callService(vm, "bookings/devices/7", null, null)
                .also { lastFailure = IllegalStateException(it.toString()) }.status == 200
        }
    }

    /** The first VM whose status reports that it owns [server], or null. */
    fun ownerOf(server: String): Vm? = vms.filter { it.isAlive }.firstOrNull { vm ->
        runCatching { vm.status().ownedServers.any { it.server == server } }.getOrDefault(false)
    }

    fun awaitOwner(server: String): Vm {
        await("$server has an owner", TAKEOVER_TIMEOUT_MILLIS) { ownerOf(server) != null }
        return checkNotNull(ownerOf(server))
    }

    /** Blocks all connections between [vm] and the other VMs, in both directions. */
    fun partitionPeers(vm: Vm) {
        val others = vms - vm
        vm.relay.blockConnections(others.map { it.name }.toSet())
        others.forEach { it.relay.blockConnections(setOf(vm.name)) }
    }

    /** Drops every byte that [from] sends to the VMs [to]; the opposite direction is forwarded. */
    fun dropPeerMessages(from: Vm, to: List<Vm>) {
        from.relay.dropTo(to.map { it.name }.toSet())
        to.forEach { it.relay.dropFrom(setOf(from.name)) }
    }

    /** Ends all blocked connections and dropped messages between VMs. */
    fun healPeerPartitions() = vms.forEach { it.relay.restore() }

    /** Makes the platform unreachable for exactly the VMs [blocked]; without arguments, all VMs reach it again. */
    fun blockPlatformAccess(vararg blocked: Vm) =
        platform.control(PlatformControl(cutOff = blocked.map { it.name }.toSet()))

    fun runs(): List<EngineRun> = engines.flatMap { it.runs().runs }

    /** The engine runs that have the prompt of [request]. */
    fun runsFor(request: CallerRequest): List<EngineRun> {
        val hash = promptHash(request.enginePrompt)
        return runs().filter { it.promptHash == hash }
    }

    /** How often the plain service ran a call with [reference]. */
    fun runCount(reference: String): Int = service.runs().byReference[reference] ?: 0

    /** Sum of [counter] over all engines. */
    fun counterTotal(counter: String): Long = engines.sumOf { it.runs().counters[counter] ?: 0 }

    override fun close() {
        vms.forEach(Vm::close)
        engines.forEach(ModelEngine::close)
        service.close()
        platform.close()
    }

    private fun initialConfiguration() = ConfigurationChange.Batch(
        listOf(options.vans, options.parts).map { ConfigurationChange.PutTeam(it) } +
            listOf(grant("van-1", "vans", KEY), grant("parts-1", "parts", PARTS_KEY)) +
            options.engines.mapIndexed { index, engine -> putEngine(index, engine) } +
            putService() +
            options.adapters.flatMap { (route, base) -> putAdapter(route, base) } +
            ConfigurationChange.PutRoute(
                Route(
                    RouteId("bookings"),
                    RouteTarget.ServiceTarget("bookings"),
                    maximumWaitMillis = options.maximumWaitMillis,
                ),
            ),
    )

    private fun putAdapter(route: String, base: String) = listOf(
        ConfigurationChange.PutAdapter(Adapter("$route-adapter", base, versions = setOf(1, 2), current = 1)),
        ConfigurationChange.PutRoute(
            Route(
                RouteId(route),
                RouteTarget.AdapterTarget("$route-adapter"),
                maximumWaitMillis = options.maximumWaitMillis,
            ),
        ),
    )

    private fun putEngine(index: Int, engine: EngineOptions) = ConfigurationChange.PutServer(
        BackendServer(
            id = ServerId("engine-${index + 1}"),
            kind = ServerKind.ENGINE,
            address = "127.0.0.1:${engines[index].port}",
            domain = DomainId(domains[index % domains.size]),
            serves = engine.baseModel,
            checksFencing = engine.checksFencing,
            adapterSlots = engine.slots,
            maximumInFlight = engine.maximumInFlight,
            coldInFlight = engine.coldInFlight,
        ),
    )

    private fun putService() = ConfigurationChange.PutServer(
        BackendServer(
            id = ServerId("bookings-1"),
            kind = ServerKind.SERVICE,
            address = "127.0.0.1:${service.port}",
            domain = DomainId(domains[0]),
            serves = "bookings",
            checksFencing = false,
            maximumInFlight = options.service.maximumInFlight,
            coldInFlight = options.service.coldInFlight,
        ),
    )
}

fun grant(id: String, team: String, text: String) =
    ConfigurationChange.GrantKey(CallerKey(KeyId(id), TeamId(team), sha256(text)))

/** Last failure of a polled action, for the message of an [await] that times out. */
@Volatile
internal var lastFailure: Throwable? = null

private const val POLL_INTERVAL_MILLIS = 25L

/** Polls until [condition] holds; fails after [timeoutMillis] with a message that contains [description]. */
fun await(description: String, timeoutMillis: Long, condition: () -> Boolean) {
    val deadline = System.nanoTime() + timeoutMillis * 1_000_000
    while (!condition()) {
        check(System.nanoTime() < deadline) {
            "not within $timeoutMillis ms: $description (last failure: ${lastFailure?.message})"
        }
        Thread.sleep(POLL_INTERVAL_MILLIS)
    }
}
