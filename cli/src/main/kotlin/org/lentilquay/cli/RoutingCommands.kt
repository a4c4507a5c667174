/*
 * Intents about adapters, routes, backend servers and failure domains.
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
    GroupCommand("adapter", "Adapters and their versions").also {
        it.subcommands(PutAdapterCommand(), RemoveAdapterCommand())
    }

fun routeCommand(): GroupCommand =
    GroupCommand("route", "Names that callers use").also { it.subcommands(PutRouteCommand(), RemoveRouteCommand()) }

fun serverCommand(): GroupCommand =
    GroupCommand("server", "Backend servers").also {
        it.subcommands(
            PutServerCommand(),
            ServerStateCommand("stop", "Give a backend server no new work", ServerState.STOPPED),
            ServerStateCommand("start", "Let a backend server take work", ServerState.SERVING),
            RemoveServerCommand(),
        )
    }

fun domainCommand(): GroupCommand =
    GroupCommand("domain", "Failure domains").also {
        it.subcommands(
            DomainStateCommand("drain", "Give a failure domain no new work", DomainState.DRAINED),
            DomainStateCommand("return", "Bring a failure domain back", DomainState.SERVING),
        )
    }

class PutAdapterCommand : IntentCommand("put", "Create an adapter or change its versions") {
    private val adapter by argument()
    private val baseModel by option("--base-model").required()
    private val versions by option("--versions", help = "Versions that may run, such as 1,2")
        .int()
        .split(",")
        .required()
    private val current by option("--current", help = "Version for requests that name none").int()

    override fun change(): ConfigurationChange = ConfigurationChange.PutAdapter(
        Adapter(adapter, baseModel, versions.toSet(), current ?: versions.max()),
    )
}

class RemoveAdapterCommand : IntentCommand("remove", "Remove an adapter that no route names") {
    private val adapter by argument()

    override fun change(): ConfigurationChange = ConfigurationChange.RemoveAdapter(adapter)
}

class PutRouteCommand : IntentCommand("put", "Create a route or change it") {
    private val route by argument()
    private val adapter by option("--adapter", help = "Adapter that answers")
    private val version by option("--version", help = "Fixed version of the adapter").int()
    private val service by option("--service", help = "Plain service that answers")
    private val nonRepeatable by option("--non-repeatable", help = "Methods that run at most once")
        .split(",").default(listOf("POST"))
    private val open by option("--open", help = "Serve without a key").flag()
    private val openTeam by option("--open-team", help = "Team that pays for requests without a key")
    private val teams by option("--teams", help = "Teams that may use it; without it every team").split(",")
    private val patience by option("--patience-ms", help = "Longest wait for a place").long().default(DEFAULT_PATIENCE)
    private val maximumTokens by option("--max-tokens", help = "Output bound where a request names none").int()
        .default(DEFAULT_MAXIMUM_TOKENS)

    override fun change(): ConfigurationChange = ConfigurationChange.PutRoute(
        Route(
            id = RouteId(route),
            target = target(),
            open = open,
            openTeam = openTeam?.let(::TeamId),
            teams = teams?.map(::TeamId)?.toSet(),
            maximumWaitMillis = patience,
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

class RemoveRouteCommand : IntentCommand("remove", "Remove a route") {
    private val route by argument()

    override fun change(): ConfigurationChange = ConfigurationChange.RemoveRoute(RouteId(route))
}

class PutServerCommand : IntentCommand("put", "Add a backend server or change it") {
    private val server by argument()
    private val kind by option("--kind").enum<ServerKind>().required()
    private val at by option("--at", help = "Address of the server as ip:port").required()
    private val domain by option("--domain").required()
    private val serves by option("--serves", help = "Base model or service name").required()
    private val checksFencing by option("--checks-fencing", help = "The server refuses old fencing numbers").flag()
    private val slots by option("--slots", help = "Adapters that it holds at once").int().default(0)
    private val inFlight by option("--in-flight", help = "Requests that it runs at once").int().required()
    private val coldInFlight by option("--cold-in-flight", help = "Requests that it bears in a cold start").int()
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
    IntentCommand(name, description) {
    private val server by argument()

    override fun change(): ConfigurationChange = ConfigurationChange.SetServerState(ServerId(server), state)
}

class RemoveServerCommand : IntentCommand("remove", "Remove a stopped backend server") {
    private val server by argument()

    override fun change(): ConfigurationChange = ConfigurationChange.RemoveServer(ServerId(server))
}

class DomainStateCommand(name: String, description: String, private val state: DomainState) :
    IntentCommand(name, description) {
    private val domain by argument()

    override fun change(): ConfigurationChange = ConfigurationChange.SetDomainState(DomainId(domain), state)
}

private const val DEFAULT_PATIENCE = 3_000L
private const val DEFAULT_MAXIMUM_TOKENS = 256
