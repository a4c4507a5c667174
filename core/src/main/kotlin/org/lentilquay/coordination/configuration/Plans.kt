/*
 * Plans: what an operator's intent would do, and whether a plan may be confirmed. Nothing changes until the table has
 * taken the operations of an accepted confirmation. Times are wall-clock milliseconds since the epoch, because a plan
 * is confirmed on any VM. Docs: docs/design.md, section 4.6.
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

/** How long a plan can be confirmed. */
const val PLAN_VALIDITY_MILLIS: Long = 600_000

/** The table key of the head revision. The item's version equals the revision, because each revision writes it once. */
const val HEAD_KEY: String = "configuration/head"

/** The prefix of the table keys of log entries. */
const val LOG_PREFIX: String = "configuration/log/"

private const val REVISION_DIGITS = 12
private const val PLAN_ID_DIGITS = 16

/** The table key of the log entry of [revision], padded so that a scan returns entries in order. */
fun logKey(revision: Long): String = LOG_PREFIX + revision.toString().padStart(REVISION_DIGITS, '0')

/** The value of [HEAD_KEY]. */
@Serializable
data class HeadRecord(val revision: Long, val planId: String)

/**
 * The plan for [change], made by [operator] at [nowEpochMillis] and valid for 10 min, or a failure that lists every
 * problem. [vms] are the members and their failure domains, for the effects of draining one; [random] gives the id.
 */
fun planFor(
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

/** Whether a plan may be confirmed. */
sealed interface ConfirmationVerdict {
    /** Write [operations] in one transaction. If it is refused, check the plan again at the new head. */
    data class Accepted(val entry: ConfigurationLogEntry, val operations: List<TableOperation>) : ConfirmationVerdict

    /** The plan is in force as [entry]; the first result is given again. */
    data class AlreadyConfirmed(val entry: ConfigurationLogEntry) : ConfirmationVerdict

    /** Fetch the log entry of [revision] and check again: it tells whether this plan was confirmed before. */
    data class EntryNeeded(val revision: Long) : ConfirmationVerdict

    /** The plan is refused and nothing changes. */
    sealed interface Refused : ConfirmationVerdict {
        val failure: Failure
    }

    /** Another plan was confirmed after this one was made. */
    data class Conflict(val baseRevision: Long, val revision: Long) : Refused {
        override val failure: Failure
            get() = Failure(
                ErrorKind.PLAN_CONFLICT,
                "the plan was made for revision $baseRevision and the configuration is at $revision; make a new plan",
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

    /** The change no longer passes the checks, for example because this VM runs another build. */
    data class Invalid(override val failure: Failure) : Refused

    /** Too few members are reachable to be sure that an accepted change reaches every VM that goes on serving. */
    data class FleetPartitioned(val reachable: Int, val members: Int) : Refused {
        override val failure: Failure
            get() = Failure(
                ErrorKind.PLATFORM_UNAVAILABLE,
                "this VM reaches $reachable of $members members and needs half of them; confirm at another VM or later",
            )
    }
}

/** Who confirms a plan, and where. */
data class Confirmer(val operator: String, val vm: VmId, val secret: PlanSigningKey)

/**
 * Whether [plan] may be confirmed on top of [configuration], which must be at the head of the table. [entryAt] finds
 * log entries by revision. Confirming twice gives the first result, also after the plan expired.
 */
fun checkConfirmation(
    plan: Plan,
    configuration: Configuration,
    confirmer: Confirmer,
    nowEpochMillis: Long,
    reachability: Reachability,
    entryAt: (Long) -> ConfigurationLogEntry?,
): ConfirmationVerdict = when {
    !plan.isSignedWith(confirmer.secret) -> ConfirmationVerdict.BadSignature
    plan.operator != confirmer.operator -> ConfirmationVerdict.OtherOperator(plan.operator)
    plan.baseRevision != configuration.revision -> checkEarlier(plan, configuration, entryAt)
    nowEpochMillis > plan.expiresAtEpochMillis -> ConfirmationVerdict.Expired(plan.expiresAtEpochMillis)
    !reachability.isAtLeastHalf ->
        ConfirmationVerdict.FleetPartitioned(reachability.reachable, reachability.members)
    else -> when (val outcome = configuration.apply(plan.change, plan.baseRevision + 1)) {
        is Outcome.Failed -> ConfirmationVerdict.Invalid(outcome.failure)
        is Outcome.Success -> accept(plan, confirmer, nowEpochMillis)
    }
}

/** A plan that was confirmed is the entry right after its base revision, so one entry decides. */
private fun checkEarlier(
    plan: Plan,
    configuration: Configuration,
    entryAt: (Long) -> ConfigurationLogEntry?,
): ConfirmationVerdict {
    val conflict = ConfirmationVerdict.Conflict(plan.baseRevision, configuration.revision)
    if (plan.baseRevision > configuration.revision) return conflict
    val entry = entryAt(plan.baseRevision + 1)
    return when (entry?.planId) {
        null -> ConfirmationVerdict.EntryNeeded(plan.baseRevision + 1)
        plan.id -> ConfirmationVerdict.AlreadyConfirmed(entry)
        else -> conflict
    }
}

private fun accept(plan: Plan, confirmer: Confirmer, nowEpochMillis: Long): ConfirmationVerdict.Accepted {
    val revision = plan.baseRevision + 1
    val entry =
        ConfigurationLogEntry(revision, plan.id, confirmer.operator, plan.change, nowEpochMillis, confirmer.vm.text)
    val head = Json.encodeToString(HeadRecord.serializer(), HeadRecord(revision, plan.id))
    val operations = listOf(
        TableOperation.Put(HEAD_KEY, head, expectedVersion = plan.baseRevision),
        TableOperation.Put(logKey(revision), encodeEntry(entry), expectedVersion = 0),
    )
    return ConfirmationVerdict.Accepted(entry, operations)
}

/** The JSON text of a log entry, as it stands in the table and in messages between VMs. */
fun encodeEntry(entry: ConfigurationLogEntry): String = Json.encodeToString(ConfigurationLogEntry.serializer(), entry)

/** Reads the text that [encodeEntry] gives; fields that a later build added are ignored. */
fun decodeEntry(text: String): ConfigurationLogEntry =
    tolerantJson.decodeFromString(ConfigurationLogEntry.serializer(), text)

/** The JSON text of a snapshot. */
fun encodeSnapshot(configuration: Configuration): String =
    Json.encodeToString(Configuration.serializer(), configuration)

/** Reads the text that [encodeSnapshot] gives; fields that a later build added are ignored. */
fun decodeSnapshot(text: String): Configuration = tolerantJson.decodeFromString(Configuration.serializer(), text)

private val tolerantJson = Json { ignoreUnknownKeys = true }
