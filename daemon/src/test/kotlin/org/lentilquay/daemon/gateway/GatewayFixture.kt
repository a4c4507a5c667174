/*
 * Options and stubs for tests of gateway classes that open no listener.
 */
package org.lentilquay.daemon.gateway

import org.lentilquay.coordination.gateway.RetryBounds
import org.lentilquay.daemon.control.PeerCaller
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.DomainId
import org.lentilquay.state.VmId
import org.lentilquay.transport.peer.PeerCallResult
import org.lentilquay.transport.platform.ReadResult

internal val EAST = DomainId("east")

internal fun gatewayOptions(vm: VmId, controllerChangePauseMillis: Long = 0) = GatewayOptions(
    vm = vm,
    domain = EAST,
    callerAddress = "",
    readinessAddress = "",
    readinessPath = "",
    metricsAddress = "",
    peerAddress = "",
    controllerChangePauseMillis = controllerChangePauseMillis,
    maximumStopMillis = 0,
    retries = RetryBounds(1.0, 100.0, 10_000),
    quotaToleranceTokens = 0,
)

/** A table clock without a first answer of the table service. */
internal object NoClock : TableClock {
    override val latestMillis: Long? = null
}

/** A source whose tables cannot be read. */
internal object NoWatch : WatchSource {
    override suspend fun readAll(table: WatchedTableName): ReadResult<WatchedRows> = ReadResult.Unavailable("no table")

    override suspend fun changes(table: WatchedTableName, after: Long, waitMillis: Long): WatchResult =
        WatchResult.Unavailable("no table")
}

/** A fleet in which no other VM can be reached. */
internal object NoFleet : PeerCaller {
    override val own = VmId("vm-1")

    override suspend fun call(vm: VmId, request: PeerRequest, timeoutMillis: Long): PeerCallResult =
        PeerCallResult.Unreachable("no network", sent = false)
}
