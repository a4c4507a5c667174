/*
 * The control state of the gateway on one VM. It is accessed on the control thread only, except for properties that are
 * marked as readable from any thread.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import org.lentilquay.coordination.gateway.ColdStartLimit
import org.lentilquay.coordination.gateway.ControlLease
import org.lentilquay.coordination.gateway.Departure
import org.lentilquay.coordination.gateway.OperatorMerge
import org.lentilquay.coordination.gateway.OperatorRows
import org.lentilquay.coordination.gateway.RetryBudget
import org.lentilquay.coordination.gateway.RouteTable
import org.lentilquay.coordination.gateway.ServerHealth
import org.lentilquay.coordination.gateway.ServerMerge
import org.lentilquay.coordination.gateway.ServerNotices
import org.lentilquay.coordination.gateway.ServerSelection
import org.lentilquay.coordination.gateway.ShortNotices
import org.lentilquay.coordination.gateway.TableReaders
import org.lentilquay.coordination.quota.TeamBuckets
import org.lentilquay.coordination.quota.TransferPlanner
import org.lentilquay.coordination.quota.seatsOf
import org.lentilquay.daemon.logs.event
import org.lentilquay.state.Incarnation
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.GatewayConfiguration
import org.lentilquay.state.gateway.MemberRecord
import org.lentilquay.state.gateway.OperatorState
import org.lentilquay.state.gateway.RegisteredServer
import org.lentilquay.transport.http.AnswerNotice

private val log = KotlinLogging.logger {}

/** The configuration by which requests are admitted, with its route table. */
class RequestRules(val configuration: GatewayConfiguration) {
    val routes: RouteTable = RouteTable(configuration.routes)
}

class GatewayState(options: GatewayOptions, incarnation: Incarnation, private val now: () -> Long) {
    private val coldStarts = ColdStartLimit(options.vm)
    val health = ServerHealth()
    val notices = ServerNotices()
    val selection = ServerSelection(options.vm, options.domain, health, coldStarts, notices)
    val retries = RetryBudget(options.retries)
    val lease = ControlLease(options.vm, incarnation, options.controllerChangePauseMillis)
    val transfers = TransferPlanner(options.vm)
    val buckets = TeamBuckets(options.vm, transfers = transfers, startedAt = now())
    val readers = TableReaders(options.vm, options.domain, options.linkMegabits)

    private val shortNotices = ShortNotices()
    private val departing = MutableStateFlow(emptyMap<ServerId, Departure>())

    /** The servers that leave at short notice. Readable from any thread. */
    val departures: StateFlow<Map<ServerId, Departure>> get() = departing

    private val operatorMerge = OperatorMerge()
    private val serverMerge = ServerMerge()
    private var operatorVersion = 0L
    private var serversVersion = 0L

    var operator = OperatorState()
        private set
    var members: Map<VmId, MemberRecord> = emptyMap()
        private set

    /** The rules of the current configuration, or null before the first one. Readable from any thread. */
    @Volatile
    var rules: RequestRules? = null
        private set

    /**
     * What a row of the operator's table that has been read in [era] and cannot be decoded leaves as it is. While the
     * state of a former era is merged, that is nothing, because the merge compares what the rows say.
     */
    fun previousOperator(era: Long?): OperatorState =
        if (operatorMerge.isMerging || operatorMerge.isReturn(era)) OperatorState() else operator

    /** Applies the operator's state as [read]; [written] was written since the table service returned. */
    fun operatorRead(read: OperatorState, rows: WatchedRows, written: OperatorRows) {
        operatorVersion = rows.version
        operatorMerge.observed(read, rows.era, written, now())
        operatorChanged(operatorMerge.merged, rows.version)
    }

    /** Applies the registered servers as [read]; [written] was written since the table service returned. */
    fun serversRead(read: Map<ServerId, RegisteredServer>, rows: WatchedRows, written: Set<ServerId>) {
        serversVersion = rows.version
        serverMerge.observed(read, rows.era, written, now())
        serversChanged(serverMerge.merged, rows.version)
    }

    /** Drops state of a former era that nobody has written again in time; returns whether the operator's changed. */
    fun dropFormerEra(): Boolean {
        val servers = serverMerge.expire(now())
        if (servers.isNotEmpty()) {
            log.event("state of a former era dropped", "table" to WatchedTableName.SERVERS.text, "servers" to servers)
            serversChanged(serverMerge.merged, serversVersion)
        }
        val before = operatorMerge.expire(now()) ?: return false
        val present = operatorMerge.merged
        log.event(
            "state of a former era dropped",
            "table" to WatchedTableName.OPERATOR.text,
            "configuration" to before.configuration?.version.takeIf { it != present.configuration?.version },
            "drainedDomains" to before.drainedDomains - present.drainedDomains,
            "adapterVersions" to before.adapterVersions.filter { (name, version) ->
                present.adapterVersions[name] != version
            },
        )
        operatorChanged(present, operatorVersion)
        return true
    }

    fun operatorChanged(changed: OperatorState, version: Long) {
        val configuration = changed.configuration
        if (configuration != null && configuration != operator.configuration) {
            rules = RequestRules(configuration)
            buckets.configure(configuration.teams.values.map { it.team }.filter { it.tokensPerSecond > 0 }, now())
            logRates(configuration, operator.configuration)
            log.event("configuration changed", "version" to configuration.version, "tableVersion" to version)
        }
        if (changed.drainedDomains != operator.drainedDomains) {
            val domains = changed.drainedDomains
            log.event("drained failure domains changed", "domains" to domains, "tableVersion" to version)
        }
        operator = changed
        selection.operatorChanged(changed, now())
    }

    fun serversChanged(changed: Map<ServerId, RegisteredServer>, version: Long) {
        val before = selection.registered
        (changed.keys - before.keys).forEach { id ->
            val server = changed.getValue(id)
            log.event(
                "backend server registered",
                "server" to id,
                "service" to server.service,
                "domain" to server.domain,
                "coldMillis" to server.coldMillis,
                "tableVersion" to version,
            )
        }
        (before.keys - changed.keys).forEach { id ->
            log.event("backend server is gone", "server" to id, "tableVersion" to version)
        }
        changed.values.filter { it.isDraining && before[it.id]?.isDraining == false }.forEach {
            val remaining = "remainingMillis" to it.remainingMillis
            log.event("backend server is leaving", "server" to it.id, "tableVersion" to version, remaining)
        }
        selection.serversChanged(changed, now())
        departing.value = shortNotices.serversChanged(changed, now())
    }

    /** Applies what an answer of [server] said of the server itself. */
    fun serverNoticed(server: RegisteredServer, notice: AnswerNotice) {
        if (notice.isLeaving && notices.recordLeaving(server)) {
            log.event("backend server is leaving", "server" to server.id, "by" to "answer")
        }
        val pause = notice.pause ?: return
        if (notices.recordRefusal(server, pause.millis, now())) {
            log.event(
                "backend server asked for a pause",
                "server" to server.id,
                "millis" to pause.millis,
                "value" to pause.value,
                "isReadable" to pause.isReadable,
            )
        }
    }

    private fun logRates(changed: GatewayConfiguration, before: GatewayConfiguration?) {
        val teams = changed.teams.values.map { it.team }.filter { it != before?.teams?.get(it.id)?.team }
        teams.forEach { team ->
            log.event(
                "team rate changed",
                "team" to team.id,
                "rate" to team.tokensPerSecond,
                "burst" to team.burstTokens,
                "seats" to seatsOf(team.id).sorted(),
            )
        }
    }

    /** Replaces the members by [live]; those in [overdue] have missed renewals of their records. */
    fun membersChanged(live: Map<VmId, MemberRecord>, overdue: Set<VmId>) {
        if (live.keys != members.keys) {
            log.event("members changed", "members" to live.keys.sorted(), "joined" to live.keys - members.keys)
            retries.membersChanged(live.size)
        }
        members = live
        val timely = live - overdue
        readers.membersChanged(timely.mapValues { it.value.domain }, timely.mapValues { it.value.linkMegabits })
        selection.membersChanged(live, overdue, now())
    }
}
