/*
 * Small configurations, servers and records for the tests of the gateway.
 */
package org.lentilquay.coordination.gateway

import org.lentilquay.state.DomainId
import org.lentilquay.state.Incarnation
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.AdapterName
import org.lentilquay.state.gateway.BaseModel
import org.lentilquay.state.gateway.CallerLimits
import org.lentilquay.state.gateway.EngineProfile
import org.lentilquay.state.gateway.EngineRecord
import org.lentilquay.state.gateway.GatewayConfiguration
import org.lentilquay.state.gateway.GatewayRoute
import org.lentilquay.state.gateway.MemberRecord
import org.lentilquay.state.gateway.OperatorState
import org.lentilquay.state.gateway.RegisteredServer
import org.lentilquay.state.gateway.RouteKind
import org.lentilquay.state.gateway.ServiceProfile
import org.lentilquay.state.gateway.WeightedService

internal const val MODELS = "models"
internal const val DESK = "desk"
internal val EAST = DomainId("east")
internal val WEST = DomainId("west")

internal fun adapter(number: Int) = AdapterName("base", "a$number")

internal fun profile(adapterSlots: Int = 2) = EngineProfile(
    models = listOf(BaseModel("base", weightsMebibytes = 1_000.0, adapterMebibytes = 10.0)),
    weightMemoryMebibytes = 2_000.0,
    adapterSlots = adapterSlots,
    batchSize = 8,
)

internal fun operator(
    drained: Set<DomainId> = emptySet(),
    versions: Map<AdapterName, Long> = emptyMap(),
    coldRequestsPerSecond: Double = 20.0,
) = OperatorState(
    GatewayConfiguration(
        version = 1,
        routes = emptyList(),
        services = mapOf(
            MODELS to ServiceProfile(MODELS, 3_000, coldRequestsPerSecond, profile()),
            DESK to ServiceProfile(DESK, 0, 0.0, null),
        ),
        teams = emptyMap(),
        teamByKeyHash = emptyMap(),
        callerLimits = CallerLimits(16_384, 1_024, 3_000, 15_000),
    ),
    drained,
    versions,
)

internal fun server(
    id: String,
    service: String = MODELS,
    domain: DomainId = EAST,
    isDraining: Boolean = false,
    coldMillis: Long = 0,
) = RegisteredServer(
    id = ServerId(id),
    service = service,
    address = "127.0.0.1:1",
    domain = domain,
    batchSlots = 8,
    isDraining = isDraining,
    coldMillis = coldMillis,
    startedAtEpochMillis = 1,
    models = if (service == MODELS) setOf("base") else emptySet(),
)

internal fun member(
    vararg engines: EngineRecord,
    renewal: Long = 1,
    isLeaving: Boolean = false,
    domain: DomainId = EAST,
) = MemberRecord("127.0.0.1:2", domain, Incarnation(1), renewal, isLeaving, engines.toList())

internal fun engine(id: String, vararg adapters: String, running: Int = 0, fence: Long = 1) =
    EngineRecord(ServerId(id), fence, running, 0, mapOf("base" to adapters.toList()))

internal fun route(host: String, prefix: String, name: String = prefix, services: List<WeightedService> = emptyList()) =
    GatewayRoute(
        name = name,
        host = host,
        pathPrefix = prefix,
        kind = RouteKind.IDEMPOTENT,
        services = services.ifEmpty { listOf(WeightedService(DESK, 1)) },
        timeoutMillis = 1_000,
        targetLatencyMillis = 100,
        maximumAttempts = 2,
        priority = 0,
        isOpen = false,
        isResumable = false,
    )

internal fun vm(number: Int) = VmId("vm$number")
