/*
 * A whole session: platform, engines and plain service in this process, so that their records can be read directly, and
 * VMs as processes of their own. Everything ends with [Fleet.close]. The first configuration has the teams `vans` and
 * `parts` with a key each, one adapter and route for each name in [FleetOptions.adapters], and the service `bookings`.
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

/** Key texts of the teams `vans` and `parts`. */
const val KEY = "key-text-of-the-vans-7d1f"
const val PARTS_KEY = "key-text-of-the-parts-93ab"

/** The bound within which a configuration is in force everywhere, and a leaving server gets no new work. */
const val IN_FORCE_MILLIS = 4_000L

/** A new owner waits for a lost session (3 s and 1 s margin), then 4.5 s; the rest is for its turns and loads. */
const val TAKEOVER_MILLIS = 15_000L

private const val SEATS = 16
private const val START_MILLIS = 30_000L
private val domains = listOf("east", "west", "north")

data class FleetOptions(
    val vms: Int = 2,
    val engines: List<EngineOptions> = listOf(quickEngine, quickEngine),
    /** Routes, each to an adapter `<name>-adapter` of the base model given. */
    val adapters: Map<String, String> = mapOf("stove" to "base", "lamp" to "base"),
    val service: ServiceOptions = ServiceOptions(coldMillis = 0),
    val vans: Team = Team(TeamId("vans"), tokensPerSecond = 20_000, burstTokens = 200_000),
    val parts: Team = Team(TeamId("parts"), tokensPerSecond = 20_000, burstTokens = 200_000),
    val patienceMillis: Long = 3_000,
    val platform: PlatformOptions = PlatformOptions(weightLoadsPerSecond = 20.0),
)

/** An engine that is warm from the start and answers in short time. */
val quickEngine =
    EngineOptions(coldMillis = 0, firstTokenMillis = 20, tokenMillis = 5.0, loadMillis = 100, logBodies = true)

class Fleet(name: String, private val options: FleetOptions = FleetOptions()) : AutoCloseable {
    private val directory = Path.of("target", "proofs", name)
    val platform: Platform = platform(options.platform)
    val engines: List<ModelEngine> =
        options.engines.map { modelEngine(it.copy(weightStore = "http://127.0.0.1:${platform.port}")) }
    val service: PlainService = plainService(options.service)
    val vms: List<Vm> = List(options.vms) { index ->
        Vm("vm-${index + 1}", domains[index % domains.size], platform.port, directory)
    }
    val caller = Caller()

    init {
        directory.toFile().deleteRecursively()
        try {
            vms.forEach { platform.register(it.listed()) }
            vms.forEach { vm -> vm.start(vms - vm) }
            vms.forEach { vm -> await("${vm.name} is ready", START_MILLIS) { vm.isReady } }
            await("the first configuration is confirmed", START_MILLIS) {
                runCatching { vms[0].apply(firstConfiguration()) }.onFailure { lastFault = it }.isSuccess
            }
            await("the first configuration is everywhere", IN_FORCE_MILLIS) { vms.all { it.revision() == 1L } }
            // Until then a VM has no tokens of its own, and a lost VM may take all of them with it.
            await("the quota seats are spread", START_MILLIS) { vms.all { it.status().seats.size >= SEATS / vms.size } }
        } catch (failure: IllegalStateException) {
            close()
            throw failure
        }
    }

    /** Waits until [route] answers at every VM. */
    fun awaitServing(vararg routes: String, key: String = KEY) = vms.forEach { vm ->
        routes.forEach { route ->
            await("${vm.name} serves $route", START_MILLIS) {
                val ask = Ask(route, "warm-up", tokens = 1, key = key)
                caller.ask(vm, ask).also { lastFault = IllegalStateException(it.toString()) }.isRightFor(ask)
            }
        }
    }

    fun awaitBookings() = vms.forEach { vm ->
        await("${vm.name} serves bookings", START_MILLIS) {
            caller.call(vm, "bookings/devices/7", null, null)
                .also { lastFault = IllegalStateException(it.toString()) }.status == 200
        }
    }

    /** The VMs that own an engine or service by their own word, by server. */
    fun ownerOf(server: String): Vm? = vms.filter { it.isAlive }.firstOrNull { vm ->
        runCatching { vm.status().ownedServers.any { it.server == server } }.getOrDefault(false)
    }

    fun awaitOwner(server: String): Vm {
        await("$server has an owner", TAKEOVER_MILLIS) { ownerOf(server) != null }
        return checkNotNull(ownerOf(server))
    }

    /** Cuts [vm] off from the other VMs, in both directions. */
    fun cutPeers(vm: Vm) {
        val others = vms - vm
        vm.relay.cut(others.map { it.name }.toSet())
        others.forEach { it.relay.cut(setOf(vm.name)) }
    }

    /** Loses every byte that [from] sends to the VMs [to], and lets pass what they send to it. */
    fun losePeers(from: Vm, to: List<Vm>) {
        from.relay.loseTo(to.map { it.name }.toSet())
        to.forEach { it.relay.loseFrom(setOf(from.name)) }
    }

    fun restorePeers() = vms.forEach { it.relay.restore() }

    fun cutTable(vararg cut: Vm) = platform.control(PlatformControl(cutOff = cut.map { it.name }.toSet()))

    fun runs(): List<EngineRun> = engines.flatMap { it.runs().runs }

    fun runsOf(ask: Ask): List<EngineRun> {
        val hash = promptHash(ask.enginePrompt)
        return runs().filter { it.promptHash == hash }
    }

    fun timesRun(reference: String): Int = service.runs().byReference[reference] ?: 0

    /** The sum of [counter] over all engines. */
    fun counted(counter: String): Long = engines.sumOf { it.runs().counters[counter] ?: 0 }

    override fun close() {
        vms.forEach(Vm::close)
        engines.forEach(ModelEngine::close)
        service.close()
        platform.close()
    }

    private fun firstConfiguration() = ConfigurationChange.Batch(
        listOf(options.vans, options.parts).map { ConfigurationChange.PutTeam(it) } +
            listOf(grant("van-1", "vans", KEY), grant("parts-1", "parts", PARTS_KEY)) +
            options.engines.mapIndexed { index, engine -> putEngine(index, engine) } +
            putService() +
            options.adapters.flatMap { (route, base) -> putAdapter(route, base) } +
            ConfigurationChange.PutRoute(
                Route(
                    RouteId("bookings"),
                    RouteTarget.ServiceTarget("bookings"),
                    maximumWaitMillis = options.patienceMillis,
                ),
            ),
    )

    private fun putAdapter(route: String, base: String) = listOf(
        ConfigurationChange.PutAdapter(Adapter("$route-adapter", base, versions = setOf(1, 2), current = 1)),
        ConfigurationChange.PutRoute(
            Route(
                RouteId(route),
                RouteTarget.AdapterTarget("$route-adapter"),
                maximumWaitMillis = options.patienceMillis,
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

/** The last fault that a polled action met; it explains a failed [await]. */
@Volatile
internal var lastFault: Throwable? = null

private const val POLL_MILLIS = 25L

/** Polls until [condition] holds; fails after [millis]. */
fun await(what: String, millis: Long, condition: () -> Boolean) {
    val deadline = System.nanoTime() + millis * 1_000_000
    while (!condition()) {
        check(System.nanoTime() < deadline) { "not within $millis ms: $what (last fault: ${lastFault?.message})" }
        Thread.sleep(POLL_MILLIS)
    }
}
