/*
 * What the gateway needs from the platform it runs on. An adapter implements these for one platform; the gateway knows
 * none of the platform's names.
 */
package org.lentilquay.daemon.gateway

import org.lentilquay.coordination.gateway.EngineOrder
import org.lentilquay.coordination.gateway.EngineReport
import org.lentilquay.coordination.gateway.OrderOutcome
import org.lentilquay.coordination.gateway.RetryBounds
import org.lentilquay.state.DomainId
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.OperatorState
import org.lentilquay.state.gateway.RegisteredServer
import org.lentilquay.transport.platform.ReadResult

/** All rows of a table as of one [version]; values are texts. */
data class WatchedRows(val version: Long, val rows: Map<String, String>)

/** The answer to a question for changes. */
sealed interface WatchResult {
    /** The rows that changed up to [version]; null stands for a removed row. [isRelayed] by another VM. */
    data class Changes(val version: Long, val rows: Map<String, String?>, val isRelayed: Boolean = false) : WatchResult

    /** The changes are no longer kept; the table must be read again. */
    data object HistoryLost : WatchResult

    data class Unavailable(val reason: String) : WatchResult
}

/** The tables that the gateway follows: those of the operator and of the servers, and its own member records. */
enum class WatchedTableName(val text: String) { OPERATOR("operator"), SERVERS("servers"), MEMBERS("members") }

/** Reads watched tables. */
interface WatchSource {
    suspend fun readAll(table: WatchedTableName): ReadResult<WatchedRows>

    /** Waits up to [waitMillis] for changes after version [after]. */
    suspend fun changes(table: WatchedTableName, after: Long, waitMillis: Long): WatchResult
}

/** The clock of the table service, which all VMs see alike and which never stops. */
interface TableClock {
    /** The latest time in an answer of the table service, in milliseconds; null before the first one. */
    val latestMillis: Long?
}

/** Reads rows of the watched tables as what they mean. Unreadable rows are left out and logged. */
interface RowDecoder {
    /** The operator's state; [previous] is kept for parts that cannot be read. */
    fun operatorState(rows: Map<String, String>, previous: OperatorState): OperatorState

    fun servers(rows: Map<String, String>): Map<ServerId, RegisteredServer>
}

/** Calls to engines about what they hold. */
interface EngineControlClient {
    suspend fun report(server: RegisteredServer): ReadResult<EngineReport>

    suspend fun send(server: RegisteredServer, order: EngineOrder, envelope: OrderEnvelope): OrderOutcome
}

/** What accompanies an order: who gives it under which fence, and how many orders the engine has accepted before. */
data class OrderEnvelope(val controller: String, val fence: Long, val expectedOrders: Long?)

/** The names of the headers between callers, gateway and backend servers. */
data class HeaderNames(
    val requestId: String,
    /** Time that the caller still waits, in milliseconds. */
    val deadline: String,
    /** The base model, or the base model and an adapter of it separated by a slash. */
    val model: String,
    /** Prompt tokens and the bound on output tokens, separated by a comma. */
    val tokens: String,
    val lastEventId: String,
    val key: String,
    val team: String,
    /** Proves that an answer comes from a backend server. */
    val signature: String,
    /** The backend server process that is to run the request. */
    val expectedServer: String,
    /** Marks an answer by which the backend server says that it did not run the request. */
    val notRun: String,
    val serverId: String,
    val expectedVersion: String,
    /** Order of admission at an engine; lower numbers go first. */
    val priority: String,
    /** Request headers, in lower case, that only the gateway may set. */
    val reserved: Set<String>,
)

/** Addresses and identity of this VM, and the bounds of the platform, as its settings state them. */
data class GatewayOptions(
    val vm: VmId,
    val domain: DomainId,
    val callerAddress: String,
    val readinessAddress: String,
    val readinessPath: String,
    val metricsAddress: String,
    val peerAddress: String,
    val controllerChangePauseMillis: Long,
    val maximumStopMillis: Long,
    val retries: RetryBounds,
    /** Tokens that a team may use over all VMs beyond its rate and burst in the platform's window. */
    val quotaToleranceTokens: Long,
)
