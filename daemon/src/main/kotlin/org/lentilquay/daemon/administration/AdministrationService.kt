/*
 * Implements the operations of the administration API: plans, confirmations, the audit trail, status and explanations.
 */
package org.lentilquay.daemon.administration

import io.github.oshai.kotlinlogging.KotlinLogging
import org.lentilquay.coordination.configuration.ConfigurationStore
import org.lentilquay.coordination.configuration.ConfirmationContext
import org.lentilquay.coordination.configuration.ConfirmationDecision
import org.lentilquay.coordination.configuration.LOG_PREFIX
import org.lentilquay.coordination.configuration.PlanSigningKey
import org.lentilquay.coordination.configuration.Reachability
import org.lentilquay.coordination.configuration.checkConfirmation
import org.lentilquay.coordination.configuration.createPlan
import org.lentilquay.coordination.configuration.decodeEntry
import org.lentilquay.coordination.configuration.logKey
import org.lentilquay.coordination.membership.Membership
import org.lentilquay.daemon.control.ConfigurationLoop
import org.lentilquay.daemon.logs.event
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.ConfigurationLogEntry
import org.lentilquay.protocol.Confirmation
import org.lentilquay.protocol.Explanation
import org.lentilquay.protocol.Plan
import org.lentilquay.protocol.PlanRequest
import org.lentilquay.protocol.StatusReport
import org.lentilquay.state.Configuration
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Outcome
import org.lentilquay.state.RouteId
import org.lentilquay.state.VmId
import org.lentilquay.state.failed
import org.lentilquay.transport.platform.PlatformClient
import org.lentilquay.transport.platform.ReadResult
import org.lentilquay.transport.platform.TransactResult
import kotlin.random.Random

private val log = KotlinLogging.logger {}

/**
 * The administration operations of this VM. Decisions are made on the control thread; calls to the table service are
 * made outside it.
 */
class AdministrationService(
    private val own: VmId,
    private val secret: PlanSigningKey,
    private val store: ConfigurationStore,
    private val membership: Membership,
    private val platform: PlatformClient,
    private val configurationLoop: ConfigurationLoop,
    private val control: ControlThread,
    private val status: StatusView,
    private val reachabilityNow: suspend () -> Reachability,
) : AdministrationActions {
    override suspend fun plan(request: PlanRequest, operator: String): Outcome<Plan> {
        configurationLoop.pollHead()
        return control.decide {
            val vms = membership.members().mapNotNull { vm -> membership.domainOf(vm)?.let { vm to it } }.toMap()
            val epochMillis = System.currentTimeMillis()
            createPlan(request.change, store.configuration, operator, epochMillis, secret, Random.Default, vms)
        }
    }

    override suspend fun confirm(plan: Plan, operator: String): Outcome<Confirmation> {
        configurationLoop.pollHead()
        val outcome = confirm(plan, operator, attempt = 0)
        val result = (outcome as? Outcome.Failed)?.failure?.kind?.code ?: "confirmed"
        log.event("confirmation", "operator" to operator, "plan" to plan.id, "result" to result)
        return outcome
    }

    override suspend fun audit(afterRevision: Long, limit: Int): Outcome<List<ConfigurationLogEntry>> =
        when (val page = platform.scanPage(LOG_PREFIX, logKey(afterRevision), limit)) {
            is ReadResult.Read -> Outcome.Success(page.value.items.map { decodeEntry(it.value) })
            is ReadResult.Unavailable -> control.decide { store.entriesAfter(afterRevision) }
                ?.let { Outcome.Success(it.take(limit)) }
                ?: failed(ErrorKind.PLATFORM_UNAVAILABLE, "the table service does not answer: ${page.reason}")
        }

    override suspend fun status(): StatusReport = status.status()

    override suspend fun explain(route: RouteId): Outcome<Explanation> = status.explain(route)

    override fun configuration(): Configuration = store.configuration

    override fun isReady(): Boolean = status.isReady()

    private suspend fun confirm(plan: Plan, operator: String, attempt: Int): Outcome<Confirmation> {
        val context = ConfirmationContext(operator, own, secret)
        val earlier = earlierEntry(plan)
        // Members that answered earlier may be partitioned by now and keep serving without this change, so probe again.
        val reachability = reachabilityNow()
        val decision = control.decide {
            val epochMillis = System.currentTimeMillis()
            checkConfirmation(plan, store.configuration, context, epochMillis, reachability) {
                store.entry(it) ?: earlier
            }
        }
        return when (decision) {
            is ConfirmationDecision.Accepted -> write(plan, decision, operator, attempt)
            is ConfirmationDecision.AlreadyConfirmed ->
                Outcome.Success(Confirmation(plan.id, decision.entry.revision, alreadyConfirmed = true))
            is ConfirmationDecision.EntryNeeded ->
                failed(ErrorKind.PLATFORM_UNAVAILABLE, "the log entry of revision ${decision.revision} cannot be read")
            is ConfirmationDecision.Refused -> Outcome.Failed(decision.failure)
        }
    }

    /** Reads the log entry that shows whether [plan] was confirmed before, unless it is in memory. */
    private suspend fun earlierEntry(plan: Plan): ConfigurationLogEntry? {
        val revision = plan.baseRevision + 1
        if (revision > store.revision || control.decide { store.entry(revision) } != null) return null
        return (platform.item(logKey(revision)) as? ReadResult.Read)?.value?.let { decodeEntry(it.value) }
    }

    private suspend fun write(
        plan: Plan,
        accepted: ConfirmationDecision.Accepted,
        operator: String,
        attempt: Int,
    ): Outcome<Confirmation> = when (val result = platform.transact(accepted.operations)) {
        is TransactResult.Committed -> {
            configurationLoop.confirmed(accepted.entry)
            Outcome.Success(Confirmation(plan.id, accepted.entry.revision, alreadyConfirmed = false))
        }
        is TransactResult.Conflict -> {
            configurationLoop.pollHead()
            if (attempt < MAXIMUM_RETRIES) confirm(plan, operator, attempt + 1) else outcomeUnknown(plan)
        }
        is TransactResult.Unavailable ->
            failed(ErrorKind.PLATFORM_UNAVAILABLE, "the table service does not answer: ${result.reason}")
        is TransactResult.OutcomeUnknown, is TransactResult.OtherEra -> {
            configurationLoop.pollHead()
            if (store.revision > plan.baseRevision) confirm(plan, operator, attempt + 1) else outcomeUnknown(plan)
        }
    }

    private fun outcomeUnknown(plan: Plan) = failed(
        ErrorKind.OUTCOME_UNKNOWN,
        "it is unknown whether plan ${plan.id} took effect; confirm the same plan again",
    )
}

/** Repeated confirmations after a conflict in the table service. */
private const val MAXIMUM_RETRIES = 2
