/*
 * The local view of one VM for operators: its status, and the server selection for a route.
 */
package org.lentilquay.daemon.administration

import org.lentilquay.coordination.configuration.ConfigurationStore
import org.lentilquay.coordination.configuration.FreshnessState
import org.lentilquay.coordination.configuration.FreshnessTracker
import org.lentilquay.coordination.membership.Membership
import org.lentilquay.coordination.rendezvousRanking
import org.lentilquay.daemon.control.FreshnessMonitor
import org.lentilquay.daemon.control.OwnedServers
import org.lentilquay.daemon.control.QuotaSeatLoop
import org.lentilquay.daemon.control.ServerAvailability
import org.lentilquay.daemon.requests.ActiveCalls
import org.lentilquay.daemon.settings.Settings
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.ExplainedServer
import org.lentilquay.protocol.Explanation
import org.lentilquay.protocol.MemberStatus
import org.lentilquay.protocol.StatusReport
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.BackendServer
import org.lentilquay.state.DomainState
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Outcome
import org.lentilquay.state.RouteId
import org.lentilquay.state.RouteTarget
import org.lentilquay.state.ServerKind
import org.lentilquay.state.failed

/** Collects the status of this VM on the control thread. */
class StatusView(
    private val settings: Settings,
    private val store: ConfigurationStore,
    private val freshness: FreshnessTracker,
    private val freshnessMonitor: FreshnessMonitor,
    private val membership: Membership,
    private val servers: ServerAvailability,
    private val owned: OwnedServers,
    private val seats: QuotaSeatLoop,
    private val activeCalls: ActiveCalls,
    private val control: ControlThread,
    private val isStopping: () -> Boolean,
    private val now: () -> Long,
) {
    /** Whether the platform's load balancer should send callers to this VM. */
    fun isReady(): Boolean =
        !isStopping() &&
            freshnessMonitor.state != FreshnessState.ISOLATED &&
            store.configuration.domains[settings.failureDomain] != DomainState.DRAINED

    /** The status report of this VM. */
    suspend fun status(): StatusReport = control.decide {
        StatusReport(
            vm = settings.vm.text,
            domain = settings.failureDomain.text,
            revision = store.revision,
            freshness = freshnessMonitor.state.name.lowercase(),
            ready = isReady(),
            tableReachable = freshness.isTableReachable(now()),
            seats = seats.held.sorted(),
            members = membership.members().sorted().map { vm ->
                MemberStatus(
                    vm = vm.text,
                    domain = membership.domainOf(vm)?.text.orEmpty(),
                    address = membership.addressOf(vm).orEmpty(),
                    state = membership.stateOf(vm)?.name?.lowercase().orEmpty(),
                )
            },
            ownedServers = owned.status(),
            activeRequests = activeCalls.count,
        )
    }

    /** The server selection that a request for [route] would get now. */
    suspend fun explain(route: RouteId): Outcome<Explanation> = control.decide {
        val configuration = store.configuration
        when (val target = configuration.routes[route]?.target) {
            null -> failed(ErrorKind.ROUTE_UNKNOWN, "route $route does not exist")
            is RouteTarget.ServiceTarget -> Outcome.Success(
                explanation(route, "service ${target.service}", "any") {
                    it.kind == ServerKind.SERVICE && it.serves == target.service
                },
            )
            is RouteTarget.AdapterTarget -> {
                val adapter = configuration.adapters[target.adapter]
                if (adapter == null) {
                    failed(ErrorKind.MODEL_UNKNOWN, "adapter ${target.adapter} does not exist")
                } else {
                    val version = AdapterVersion(adapter.name, target.version ?: adapter.current)
                    Outcome.Success(
                        explanation(route, version.engineName, version.engineName) {
                            it.kind == ServerKind.ENGINE && it.serves == adapter.baseModel
                        },
                    )
                }
            }
        }
    }

    private fun explanation(
        route: RouteId,
        target: String,
        rankingKey: String,
        servesTarget: (BackendServer) -> Boolean,
    ): Explanation {
        val (open, closed) = servers.all.filter(servesTarget).partition(servers::isAvailable)
        return Explanation(
            route = route.text,
            target = target,
            revision = store.revision,
            candidates = rendezvousRanking(rankingKey, open) { it.id.text }.map { server ->
                val snapshot = owned[server.id]?.snapshot()
                val reason = snapshot?.let {
                    "in flight ${it.inFlight} of ${it.inFlightLimit}, ${it.slots.size} loaded"
                }
                ExplainedServer(
                    server.id.text,
                    server.domain.text,
                    owned.knownOwner(server.id)?.text,
                    reason ?: "load known only to its owner",
                )
            },
            excluded = closed.map { server ->
                val reason = servers.unavailableReason(server).orEmpty()
                ExplainedServer(server.id.text, server.domain.text, owned.knownOwner(server.id)?.text, reason)
            },
        )
    }
}
