/*
 * Creates plans for configuration changes and decides whether a plan may be confirmed. A change takes effect when the
 * table service has committed the operations of an accepted confirmation. Times are wall-clock milliseconds since the
 * epoch, because a plan can be confirmed on any VM. Docs: docs/design.md, section 4.6.
 */
package org.lentilquay.coordination.configuration

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.lentilquay.protocol.ConfigurationLogEntry
import org.lentilquay.protocol.Plan
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.Configuration
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.DomainId
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.Outcome
import org.lentilquay.state.VmId
import org.lentilquay.state.apply
import kotlin.random.Random

/** How long a plan can be confirmed after its creation. */
const val PLAN_VALIDITY_MILLIS: Long = 600_000

/**
 * The table key of the head revision. The version of the item equals the revision, because each revision writes it
 * once.
 */
const val HEAD_KEY: String = "configuration/head"

/** The prefix of the table keys of log entries. */
const val LOG_PREFIX: String = "configuration/log/"

private const val REVISION_DIGITS = 12
private const val PLAN_ID_DIGITS = 16

/** The table key of the log entry of [revision], zero-padded so that a scan returns entries in order. */
fun logKey(revision: Long): String = LOG_PREFIX + revision.toString().padStart(REVISION_DIGITS, '0')

/** The value of [HEAD_KEY]. */
@Serializable
data class HeadRecord(val revision: Long, val planId: String)

/**
 * Creates the signed plan of [operator] for [change], valid for [PLAN_VALIDITY_MILLIS] from [nowEpochMillis], or
 * returns a failure that lists every problem. [vms] are the members with their failure domains, for the effects of
 * draining a domain; [random] generates the plan id.
 */
fun createPlan(
    change: ConfigurationChange,
    configuration: Configuration,
    operator: String,
    nowEpochMillis: Long,
    secret: PlanSigningKey,
    random: Random,
    vms: Map<VmId, DomainId> = emptyMap(),
): Outcome<Plan> = when (val outcome = configuration.apply(change, configuration.revision + 1)) {
    is Outcome.Failed -> outcome
    is Outcome.Success -> {
        val description = describe(change, configuration, outcome.value, vms)
        val plan = Plan(
            id = "plan-" + random.nextLong().toULong().toString(radix = 16).padStart(PLAN_ID_DIGITS, '0'),
            operator = operator,
            change = change,
            baseRevision = configuration.revision,
            effects = description.effects,
            warnings = description.warnings,
            expiresAtEpochMillis = nowEpochMillis + PLAN_VALIDITY_MILLIS,
        )
        Outcome.Success(plan.signed(secret))
    }
}

/** The decision whether a plan may be confirmed. */
sealed interface ConfirmationDecision {
    /** Commit [operations] in one transaction. On a conflict, check the plan again at the new head. */
    data class Accepted(val entry: ConfigurationLogEntry, val operations: List<TableOperation>) : ConfirmationDecision

    /** The plan was confirmed before as [entry]; confirming it again returns the same result. */
    data class AlreadyConfirmed(val entry: ConfigurationLogEntry) : ConfirmationDecision

    /** Fetch the log entry of [revision] and check again; the entry shows whether this plan was confirmed before. */
    data class EntryNeeded(val revision: Long) : ConfirmationDecision

    /** The confirmation is refused, and the configuration does not change. */
    sealed interface Refused : ConfirmationDecision {
        val failure: Failure
    }

    /** Another plan was confirmed after this plan was created. */
    data class Conflict(val baseRevision: Long, val revision: Long) : Refused {
        override val failure: Failure
            get() = Failure(
                ErrorKind.PLAN_CONFLICT,
                "the plan is for revision $baseRevision, but the configuration is at $revision; make a new plan",
            )
    }

    data class Expired(val expiresAtEpochMillis: Long) : Refused {
        override val failure: Failure
            get() = Failure(ErrorKind.PLAN_EXPIRED, "the plan is older than 10 minutes; make a new plan")
    }

    data object BadSignature : Refused {
        override val failure: Failure
            get() = Failure(
                ErrorKind.MALFORMED_REQUEST,
                "the signature does not belong to the plan; send the plan unchanged or make a new one",
            )
    }

    data class OtherOperator(val operator: String) : Refused {
        override val failure: Failure
            get() = Failure(
                ErrorKind.MALFORMED_REQUEST,
                "the plan was made by $operator; only its maker can confirm it, so make a plan of your own",
            )
    }

    /** The change is not valid on this VM, for example because it runs another build than the VM that made the plan. */
    data class Invalid(override val failure: Failure) : Refused

    /** With so few reachable members, an accepted change might not reach every VM that keeps serving. */
    data class FleetPartitioned(val reachable: Int, val members: Int) : Refused {
        override val failure: Failure
            get() = Failure(
                ErrorKind.PLATFORM_UNAVAILABLE,
                "this VM reaches $reachable of $members members but needs half; confirm on another VM or later",
            )
    }
}

/** The operator who confirms a plan, the VM on which it is confirmed, and the key of plan signatures. */
data class ConfirmationContext(val operator: String, val vm: VmId, val signingKey: PlanSigningKey)

/**
 * Decides whether [plan] may be confirmed on [configuration], which must be at the head revision of the table service.
 * [entryAt] returns log entries by revision. Confirming a plan again returns the first result, even if the plan has
 * expired since.
 */
fun checkConfirmation(
    plan: Plan,
    configuration: Configuration,
    context: ConfirmationContext,
    nowEpochMillis: Long,
    reachability: Reachability,
    entryAt: (Long) -> ConfigurationLogEntry?,
): ConfirmationDecision = when {
    !plan.isSignedWith(context.signingKey) -> ConfirmationDecision.BadSignature
    plan.operator != context.operator -> ConfirmationDecision.OtherOperator(plan.operator)
    plan.baseRevision != configuration.revision -> checkEarlierRevision(plan, configuration, entryAt)
    nowEpochMillis > plan.expiresAtEpochMillis -> ConfirmationDecision.Expired(plan.expiresAtEpochMillis)
    !reachability.isAtLeastHalf ->
        ConfirmationDecision.FleetPartitioned(reachability.reachable, reachability.members)
    else -> when (val outcome = configuration.apply(plan.change, plan.baseRevision + 1)) {
        is Outcome.Failed -> ConfirmationDecision.Invalid(outcome.failure)
        is Outcome.Success -> accept(plan, context, nowEpochMillis)
    }
}

/**
 * Decides about a plan for an earlier revision. If the plan was confirmed, it is the entry that follows its base
 * revision, so this one entry decides.
 */
private fun checkEarlierRevision(
    plan: Plan,
    configuration: Configuration,
    entryAt: (Long) -> ConfigurationLogEntry?,
): ConfirmationDecision {
    val conflict = ConfirmationDecision.Conflict(plan.baseRevision, configuration.revision)
    if (plan.baseRevision > configuration.revision) return conflict
    val entry = entryAt(plan.baseRevision + 1)
    return when (entry?.planId) {
        null -> ConfirmationDecision.EntryNeeded(plan.baseRevision + 1)
        plan.id -> ConfirmationDecision.AlreadyConfirmed(entry)
        else -> conflict
    }
}

private fun accept(plan: Plan, context: ConfirmationContext, nowEpochMillis: Long): ConfirmationDecision.Accepted {
    val revision = plan.baseRevision + 1
    val entry =
        ConfigurationLogEntry(revision, plan.id, context.operator, plan.change, nowEpochMillis, context.vm.text)
    val head = Json.encodeToString(HeadRecord.serializer(), HeadRecord(revision, plan.id))
    val operations = listOf(
        TableOperation.Put(HEAD_KEY, head, expectedVersion = plan.baseRevision),
        TableOperation.Put(logKey(revision), encodeEntry(entry), expectedVersion = 0),
    )
    return ConfirmationDecision.Accepted(entry, operations)
}

/** Encodes a log entry as JSON for the table service and for messages between VMs. */
fun encodeEntry(entry: ConfigurationLogEntry): String = Json.encodeToString(ConfigurationLogEntry.serializer(), entry)

/** Decodes the text of [encodeEntry]; unknown fields of a later build are ignored. */
fun decodeEntry(text: String): ConfigurationLogEntry =
    lenientJson.decodeFromString(ConfigurationLogEntry.serializer(), text)

/** Encodes a snapshot as JSON. */
fun encodeSnapshot(configuration: Configuration): String =
    Json.encodeToString(Configuration.serializer(), configuration)

/** Decodes the text of [encodeSnapshot]; unknown fields of a later build are ignored. */
fun decodeSnapshot(text: String): Configuration = lenientJson.decodeFromString(Configuration.serializer(), text)

private val lenientJson = Json { ignoreUnknownKeys = true }
