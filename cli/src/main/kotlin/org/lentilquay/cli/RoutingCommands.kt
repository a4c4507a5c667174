/*
 * Commands that change adapters, routes, backend servers and failure domains.
 */
package org.lentilquay.cli

import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import org.lentilquay.state.Adapter
import org.lentilquay.state.BackendServer
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.DomainId
import org.lentilquay.state.DomainState
import org.lentilquay.state.Route
import org.lentilquay.state.RouteId
import org.lentilquay.state.RouteTarget
import org.lentilquay.state.ServerId
import org.lentilquay.state.ServerKind
import org.lentilquay.state.ServerState
import org.lentilquay.state.TeamId

fun adapterCommand(): GroupCommand =
    GroupCommand("adapter", "Manage adapters and their versions").also {
        it.subcommands(PutAdapterCommand(), RemoveAdapterCommand())
    }

fun routeCommand(): GroupCommand =
    GroupCommand("route", "Manage routes").also { it.subcommands(PutRouteCommand(), RemoveRouteCommand()) }

fun serverCommand(): GroupCommand =
    GroupCommand("server", "Manage backend servers").also {
        it.subcommands(
            PutServerCommand(),
            ServerStateCommand("stop", "Stop new requests to a backend server", ServerState.STOPPED),
            ServerStateCommand("start", "Allow new requests to a backend server", ServerState.SERVING),
            RemoveServerCommand(),
        )
    }

fun domainCommand(): GroupCommand =
    GroupCommand("domain", "Manage failure domains").also {
        it.subcommands(
            DomainStateCommand("drain", "Stop new requests in a failure domain", DomainState.DRAINED),
            DomainStateCommand("return", "Allow new requests in a failure domain", DomainState.SERVING),
        )
    }

class PutAdapterCommand : ChangeCommand("put", "Create an adapter or change its versions") {
    private val adapter by argument()
    private val baseModel by option("--base-model").required()
    private val versions by option("--versions", help = "Available versions, such as 1,2")
        .int()
        .split(",")
        .required()
    private val current by option("--current", help = "Version for requests that name none").int()

    override fun change(): ConfigurationChange = ConfigurationChange.PutAdapter(
        Adapter(adapter, baseModel, versions.toSet(), current ?: versions.max()),
    )
}

class RemoveAdapterCommand : ChangeCommand("remove", "Remove an adapter that no route names") {
    private val adapter by argument()

    override fun change(): ConfigurationChange = ConfigurationChange.RemoveAdapter(adapter)
}

class PutRouteCommand : ChangeCommand("put", "Create a route or change it") {
    private val route by argument()
    private val adapter by option("--adapter", help = "Target adapter")
    private val version by option("--version", help = "Fixed version of the adapter").int()
    private val service by option("--service", help = "Target plain service")
    private val nonRepeatable by option("--non-repeatable", help = "HTTP methods that run at most once")
        .split(",").default(listOf("POST"))
    private val open by option("--open", help = "Serve without a key").flag()
    private val openTeam by option("--open-team", help = "Team that is charged for requests without a key")
    private val teams by option("--teams", help = "Teams that may use the route; default all teams").split(",")
    private val maximumWaitMillis by option("--patience-ms", help = "Maximum wait of a request for a batch slot")
        .long()
        .default(DEFAULT_MAXIMUM_WAIT_MILLIS)
    private val maximumTokens by option("--max-tokens", help = "Output limit of a request that names none").int()
        .default(DEFAULT_MAXIMUM_TOKENS)

    override fun change(): ConfigurationChange = ConfigurationChange.PutRoute(
        Route(
            id = RouteId(route),
            target = target(),
            open = open,
            openTeam = openTeam?.let(::TeamId),
            teams = teams?.map(::TeamId)?.toSet(),
            maximumWaitMillis = maximumWaitMillis,
            defaultMaximumTokens = maximumTokens,
        ),
    )

    private fun target(): RouteTarget {
        val adapterName = adapter
        val serviceName = service
        return when {
            adapterName != null && serviceName == null -> RouteTarget.AdapterTarget(adapterName, version)
            serviceName != null && adapterName == null ->
                RouteTarget.ServiceTarget(serviceName, nonRepeatable.filter(String::isNotEmpty).toSet())
            else -> throw UsageError("name either --adapter or --service")
        }
    }
}

class RemoveRouteCommand : ChangeCommand("remove", "Remove a route") {
    private val route by argument()

    override fun change(): ConfigurationChange = ConfigurationChange.RemoveRoute(RouteId(route))
}

class PutServerCommand : ChangeCommand("put", "Add a backend server or change it") {
    private val server by argument()
    private val kind by option("--kind").enum<ServerKind>().required()
    private val at by option("--at", help = "Address of the server as ip:port").required()
    private val domain by option("--domain").required()
    private val serves by option("--serves", help = "Base model or service name").required()
    private val checksFencing by option("--checks-fencing", help = "The server rejects old fencing numbers").flag()
    private val slots by option("--slots", help = "Number of adapter slots").int().default(0)
    private val inFlight by option("--in-flight", help = "Limit of concurrent requests").int().required()
    private val coldInFlight by option("--cold-in-flight", help = "Limit of concurrent requests in a cold start").int()
        .default(1)

    override fun change(): ConfigurationChange = ConfigurationChange.PutServer(
        BackendServer(
            id = ServerId(server),
            kind = kind,
            address = at,
            domain = DomainId(domain),
            serves = serves,
            checksFencing = checksFencing,
            adapterSlots = slots,
            maximumInFlight = inFlight,
            coldInFlight = coldInFlight,
        ),
    )
}

class ServerStateCommand(name: String, description: String, private val state: ServerState) :
    ChangeCommand(name, description) {
    private val server by argument()

    override fun change(): ConfigurationChange = ConfigurationChange.SetServerState(ServerId(server), state)
}

class RemoveServerCommand : ChangeCommand("remove", "Remove a stopped backend server") {
    private val server by argument()

    override fun change(): ConfigurationChange = ConfigurationChange.RemoveServer(ServerId(server))
}

class DomainStateCommand(name: String, description: String, private val state: DomainState) :
    ChangeCommand(name, description) {
    private val domain by argument()

    override fun change(): ConfigurationChange = ConfigurationChange.SetDomainState(DomainId(domain), state)
}

private const val DEFAULT_MAXIMUM_WAIT_MILLIS = 3_000L
private const val DEFAULT_MAXIMUM_TOKENS = 256
