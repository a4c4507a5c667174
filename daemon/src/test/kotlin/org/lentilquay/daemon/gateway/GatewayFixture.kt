/*
 * The settings of a gateway for tests that open no listener.
 */
package org.lentilquay.daemon.gateway

import org.lentilquay.coordination.gateway.RetryBounds
import org.lentilquay.state.DomainId
import org.lentilquay.state.VmId

internal val EAST = DomainId("east")

internal fun gatewayOptions(vm: VmId, orderPauseMillis: Long = 0) = GatewayOptions(
    vm = vm,
    domain = EAST,
    callers = "",
    readiness = "",
    readinessPath = "",
    metrics = "",
    peers = "",
    orderPauseMillis = orderPauseMillis,
    stopMillis = 0,
    retries = RetryBounds(1.0, 100.0),
    quotaTolerance = 0,
)
