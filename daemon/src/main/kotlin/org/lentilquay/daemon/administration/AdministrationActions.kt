/*
 * What the administration API asks of the rest of the daemon.
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

/** The operations behind the administration API. */
interface AdministrationActions {
    suspend fun plan(request: PlanRequest, operator: String): Outcome<Plan>

    suspend fun confirm(plan: Plan, operator: String): Outcome<Confirmation>

    suspend fun audit(afterRevision: Long, limit: Int): Outcome<List<ConfigurationLogEntry>>

    suspend fun status(): StatusReport

    suspend fun explain(route: RouteId): Outcome<Explanation>

    fun configuration(): Configuration

    /** Whether the platform's balancer should send callers here. */
    fun isReady(): Boolean
}
