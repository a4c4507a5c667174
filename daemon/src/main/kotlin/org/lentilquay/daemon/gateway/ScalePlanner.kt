/*
 * The decision how many backend servers each service needs in each failure domain, as the loop that orders them sees
 * it. The inputs carry their ages, because a decision on old ones changes nothing.
 */
package org.lentilquay.daemon.gateway

import org.lentilquay.state.DomainId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.GatewayProcess
import org.lentilquay.state.gateway.MemberRecord
import org.lentilquay.state.gateway.RegisteredServer
import org.lentilquay.state.gateway.ScaleOrderRecord
import org.lentilquay.state.gateway.ScaleTarget
import org.lentilquay.state.gateway.ServiceProfile
import org.lentilquay.state.gateway.UsageRecord

/** What is known at [now]; ages are in milliseconds. */
class ScaleInputs(
    /** The table service's clock. */
    val now: Long,
    /** The services whose number of servers is ordered; all have limits. */
    val services: Map<String, ServiceProfile>,
    /** The failure domains of each service, for which this VM holds the duty. */
    val targets: Set<ScaleTarget>,
    val servers: Collection<RegisteredServer>,
    val serversAgeMillis: Long,
    /** The live VMs, with the load of the engines that they control. */
    val members: Map<VmId, MemberRecord>,
    val membersAgeMillis: Long,
    /** The rows of all processes with their demand; those of former processes are among them. */
    val usage: Map<GatewayProcess, UsageRecord>,
    val usageAgeMillis: Long,
    val drainedDomains: Set<DomainId>,
    /** What was ordered last, as recorded. */
    val orders: Map<ScaleTarget, ScaleOrderRecord>,
)

interface ScalePlanner {
    /** The number of servers that each target is to have; a target that is absent keeps its number. */
    fun wanted(inputs: ScaleInputs): Map<ScaleTarget, Int>

    /** This VM has begun to hold the duty: the [orders] are those of the former holder. */
    fun taken(orders: Map<ScaleTarget, ScaleOrderRecord>, now: Long)
}
