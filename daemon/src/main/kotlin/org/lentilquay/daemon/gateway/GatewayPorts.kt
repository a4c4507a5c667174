/*
 * The interfaces through which the gateway uses its platform, and the settings that the platform gives it. An adapter
 * implements them for one platform; the gateway does not know any of the platform's names.
 */
package org.lentilquay.daemon.gateway

import org.lentilquay.coordination.gateway.EngineOrder
import org.lentilquay.coordination.gateway.EngineReport
import org.lentilquay.coordination.gateway.OperatorRows
import org.lentilquay.coordination.gateway.OrderOutcome
import org.lentilquay.coordination.gateway.RetryBounds
import org.lentilquay.state.DomainId
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.OperatorState
import org.lentilquay.state.gateway.RegisteredServer
import org.lentilquay.transport.Secret
import org.lentilquay.transport.platform.ReadResult
import org.lentilquay.transport.platform.TableService

/** The services and names that the adapter of a platform provides. */
class GatewayPorts(
    val table: TableService,
    val clock: TableClock,
    val watch: WatchSource,
    val decoder: RowDecoder,
    val orders: EngineControlClient,
    val headers: HeaderNames,
    /** The shared secret with which the VMs authenticate each other; suspends until it can be read. */
    val secret: suspend () -> Secret,
    /** Calls for the duties of the fleet; null if there are none. */
    val duties: DutyClient? = null,
    /** Writes the shared secret again if a return of the table service has lost it. */
    val restoreSecret: suspend (Secret) -> Unit = {},
)

/** All rows of a table as of [version] in [era], as texts. */
data class WatchedRows(val version: Long, val rows: Map<String, String>, val era: Long? = null)

/** Compares versions of two eras; a version without an era is older than one with an era. */
internal fun compareVersions(era: Long?, version: Long, otherEra: Long?, otherVersion: Long): Int =
    compareValuesBy(era to version, otherEra to otherVersion, { it.first }, { it.second })

/** The result of a request for the changes of a table. */
sealed interface WatchResult {
    /** The rows that changed up to [version]; null marks a removed row. [isRelayed] if a reader VM answered. */
    data class Changes(
        val version: Long,
        val rows: Map<String, String?>,
        val isRelayed: Boolean = false,
        val era: Long? = null,
    ) : WatchResult

    /** The table service no longer has the changes; the whole table must be read again. */
    data object HistoryLost : WatchResult

    data class Unavailable(val reason: String) : WatchResult
}

/** The tables that the gateway watches: the operator's, that of the registered servers, and its own member records. */
enum class WatchedTableName(val text: String) { OPERATOR("operator"), SERVERS("servers"), MEMBERS("members") }

/** Reads watched tables and their changes. */
interface WatchSource {
    suspend fun readAll(table: WatchedTableName): ReadResult<WatchedRows>

    /** The changes after version [after]; waits up to [waitMillis] for the first one. */
    suspend fun changes(table: WatchedTableName, after: Long, waitMillis: Long): WatchResult

    /** The same for a version [after] that was read in [era], for sources that compare eras. */
    suspend fun changes(table: WatchedTableName, after: Long, waitMillis: Long, era: Long?): WatchResult =
        changes(table, after, waitMillis)
}

/** The clock of the table service, which is the same for all VMs and never stops. */
interface TableClock {
    /** The time in the latest answer of the table service, in milliseconds; null before the first answer. */
    val latestMillis: Long?

    /** The highest era in any answer of the table service; null if it has sent none. */
    val latestEra: Long? get() = null
}

/** Decodes the rows of the watched tables. Rows that cannot be decoded are omitted and logged. */
interface RowDecoder {
    /** The operator's state; parts that cannot be decoded keep their [previous] value. */
    fun operatorState(rows: Map<String, String>, previous: OperatorState): OperatorState

    /** The registered servers. The key of a row is the id of its server. */
    fun servers(rows: Map<String, String>): Map<ServerId, RegisteredServer>

    /** What the operator's rows with [keys] concern, also of rows that have been removed. */
    fun operatorRows(keys: Set<String>): OperatorRows = OperatorRows()
}

/** Calls to engines: load reports, and orders to load and unload models and adapters. */
interface EngineControlClient {
    suspend fun report(server: RegisteredServer): ReadResult<EngineReport>

    /**
     * Sends [order] to [server]. Opening a connection takes time, so [mayWrite] is asked again right before the order
     * is written; if it refuses, the outcome is [OrderOutcome.NOT_SENT].
     */
    suspend fun send(
        server: RegisteredServer,
        order: EngineOrder,
        envelope: OrderEnvelope,
        mayWrite: suspend () -> Boolean,
    ): OrderOutcome
}

/**
 * Sent with each order: the VM that controls the engine, its fencing number [fence], and the number of orders that the
 * engine must have accepted before this one, or null if it is not known.
 */
data class OrderEnvelope(val controller: String, val fence: Long, val expectedOrders: Long?)

/** The names of the HTTP headers between callers, gateway and backend servers. */
data class HeaderNames(
    val requestId: String,
    /** The time for which the sender still waits for the response, in milliseconds. */
    val deadline: String,
    /** `model` or `model/adapter`. */
    val model: String,
    /** The number of prompt tokens and the maximum number of output tokens, separated by a comma. */
    val tokens: String,
    val lastEventId: String,
    val key: String,
    val team: String,
    /** Shows that a response comes from a backend server. */
    val signature: String,
    /** The id of the backend server process that is to run the request. */
    val expectedServer: String,
    /** Set on a response if the backend server did not run the request. */
    val notRun: String,
    val serverId: String,
    /** Set to 1 on all answers of a backend server that is about to stop. */
    val leaving: String,
    val expectedVersion: String,
    /** Priority at an engine; lower numbers are admitted first. */
    val priority: String,
    /** The parts of the prompt in order, as `id:tokens` separated by commas; the last one is the request's own. */
    val promptParts: String,
    /** Request headers, in lower case, that are removed from callers' requests. */
    val reserved: Set<String>,
)

/** Identity and addresses of this VM and the limits of the platform, from the platform's settings. */
data class GatewayOptions(
    val vm: VmId,
    val domain: DomainId,
    val callerAddress: String,
    val readinessAddress: String,
    val readinessPath: String,
    val metricsAddress: String,
    val peerAddress: String,
    /** The time that must pass between the orders of two controllers to the same engine. */
    val controllerChangePauseMillis: Long,

    /** The longest duration of a planned stop. */
    val maximumStopMillis: Long,
    val retries: RetryBounds,
    /** Tokens that a team may use on all VMs together beyond its rate and burst, within the platform's window. */
    val quotaToleranceTokens: Long,
    /** The speed of the link of this VM, in megabits a second; 0 if it is not known. */
    val linkMegabits: Int = 0,
    /** The duties that one VM at a time performs for the fleet; null if there are none. */
    val duties: DutyOptions? = null,
    /** Whether the whole system starts for the first time, so that the table service has lost nothing. */
    val isBootstrap: Boolean = false,
    /** The most connections of callers at once. */
    val maximumConnections: Int = Int.MAX_VALUE,
)
