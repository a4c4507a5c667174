/*
 * The interface between the administration API and the rest of the daemon.
 */
package org.lentilquay.daemon.administration

import org.lentilquay.protocol.ConfigurationLogEntry
import org.lentilquay.protocol.Confirmation
import org.lentilquay.protocol.Explanation
import org.lentilquay.protocol.Plan
import org.lentilquay.protocol.PlanRequest
import org.lentilquay.protocol.StatusReport
import org.lentilquay.state.Configuration
import org.lentilquay.state.Outcome
import org.lentilquay.state.RouteId

/** The operations of the administration API. */
interface AdministrationActions {
    /** Creates a plan for the requested change. */
    suspend fun plan(request: PlanRequest, operator: String): Outcome<Plan>

    /** Confirms [plan], which puts its change in force. Confirming it again returns the first result. */
    suspend fun confirm(plan: Plan, operator: String): Outcome<Confirmation>

    /** Returns up to [limit] entries of the configuration log after [afterRevision]. */
    suspend fun audit(afterRevision: Long, limit: Int): Outcome<List<ConfigurationLogEntry>>

    /** Returns the local view of this VM. */
    suspend fun status(): StatusReport

    /** Returns the server selection that a request for [route] would get now. */
    suspend fun explain(route: RouteId): Outcome<Explanation>

    /** Returns the configuration in force on this VM. */
    fun configuration(): Configuration

    /** Whether the platform's load balancer should send callers to this VM. */
    fun isReady(): Boolean
}
