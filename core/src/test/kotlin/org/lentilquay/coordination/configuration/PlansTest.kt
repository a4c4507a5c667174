package org.lentilquay.coordination.configuration

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.serialization.json.Json
import org.lentilquay.protocol.ConfigurationLogEntry
import org.lentilquay.protocol.Plan
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.Adapter
import org.lentilquay.state.Configuration
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.DomainId
import org.lentilquay.state.DomainState
import org.lentilquay.state.KeyId
import org.lentilquay.state.Outcome
import org.lentilquay.state.Route
import org.lentilquay.state.RouteId
import org.lentilquay.state.RouteTarget
import org.lentilquay.state.ServerId
import org.lentilquay.state.ServerState
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId
import org.lentilquay.state.sampleConfiguration
import kotlin.random.Random
import kotlin.reflect.KClass

/** Guards against confirming a change that the operator did not see, and against two confirmations at one revision. */
class PlansTest : FunSpec({
    val secret = PlanSigningKey("fleet")
    val base = sampleConfiguration()
    val vms = mapOf(VmId("vm-1") to DomainId("d1"), VmId("vm-2") to DomainId("d2"))
    val context = ConfirmationContext("ana", VmId("vm-1"), secret)
    val whole = Reachability(members = 4, reachable = 4, tableReachableByPeer = true)

    fun plan(change: ConfigurationChange, seed: Int = 1): Plan =
        (createPlan(change, base, "ana", 1_000, secret, Random(seed), vms) as Outcome.Success).value

    val drain = ConfigurationChange.SetDomainState(DomainId("d1"), DomainState.DRAINED)
    val faults = base.adapters.getValue("faults")
    val openRoute = Route(RouteId("pinned"), RouteTarget.AdapterTarget("faults"), teams = setOf(TeamId("light")))

    listOf(
        ConfigurationChange.WithdrawKey(KeyId("k1")) to
            "Key k1 of team stove stops working within seconds, and its streams are cut.",
        ConfigurationChange.WithdrawKey(KeyId("k1")) to
            "k1 is the last key of team stove; the team can then use open routes only.",
        drain to "Failure domain d1 gets no new requests in a few seconds: backend servers e1, s1; VMs vm-1.",
        drain to "Base model llama keeps 1 of 2 backend servers, without e1.",
        drain to "Service orders keeps 0 of 1 backend servers, without s1.",
        drain to "Service orders has no backend server left; its requests get no_capacity.",
        drain.copy(domain = DomainId("d9")) to "No backend server and no VM is in failure domain d9; check the name.",
        ConfigurationChange.PutAdapter(faults.copy(versions = setOf(1, 3), current = 3)) to
            "Adapter faults loses versions 2; requests that name them are refused.",
        ConfigurationChange.PutAdapter(faults.copy(versions = setOf(1, 3), current = 3)) to
            "The current version of adapter faults changes from 2 to 3; routes free follow it.",
        ConfigurationChange.PutAdapter(Adapter("new", "other", setOf(1), 1)) to
            "No engine serves base model other; requests for new get no_capacity.",
        ConfigurationChange.PutRoute(openRoute) to "Teams stove can no longer use route pinned.",
        ConfigurationChange.SetServerState(ServerId("e1"), ServerState.SERVING) to "Nothing changes by this plan.",
        ConfigurationChange.Batch(listOf(drain, drain.copy(domain = DomainId("d2")))) to
            "No VM remains outside drained failure domains.",
    ).forEach { (change, sentence) ->
        test("the plan for $change states: $sentence") {
            plan(change).let { it.effects + it.warnings } shouldContain sentence
        }
    }

    val valid = plan(drain)
    val later = base.copy(revision = 2)
    val own = ConfigurationLogEntry(2, valid.id, "ana", drain, 1_500, "vm-2")

    data class Case(
        val name: String,
        val plan: Plan = valid,
        val configuration: Configuration = base,
        val context: ConfirmationContext,
        val now: Long = 2_000,
        val reachability: Reachability,
        val entry: ConfigurationLogEntry? = null,
        val expected: KClass<*>,
    )

    val accepted = ConfirmationDecision.Accepted::class
    val case = Case("accepted", context = context, reachability = whole, expected = accepted)
    listOf(
        case,
        case.copy(name = "exactly half", reachability = whole.copy(reachable = 2)),
        case.copy(
            name = "fewer than half",
            reachability = whole.copy(reachable = 1),
            expected = ConfirmationDecision.FleetPartitioned::class,
        ),
        case.copy(name = "last millisecond", now = valid.expiresAtEpochMillis),
        case.copy(
            name = "expired",
            now = valid.expiresAtEpochMillis + 1,
            expected = ConfirmationDecision.Expired::class,
        ),
        case.copy(
            name = "changed change",
            plan = valid.copy(change = drain.copy(domain = DomainId("d2"))),
            expected = ConfirmationDecision.BadSignature::class,
        ),
        case.copy(
            name = "extended",
            plan = valid.copy(expiresAtEpochMillis = 9_000_000),
            expected = ConfirmationDecision.BadSignature::class,
        ),
        case.copy(
            name = "other fleet",
            context = context.copy(signingKey = PlanSigningKey("other")),
            expected = ConfirmationDecision.BadSignature::class,
        ),
        case.copy(
            name = "other operator",
            context = context.copy(operator = "ben"),
            expected = ConfirmationDecision.OtherOperator::class,
        ),
        case.copy(name = "unknown entry", configuration = later, expected = ConfirmationDecision.EntryNeeded::class),
        case.copy(
            name = "other plan won",
            configuration = later,
            entry = own.copy(planId = "other"),
            expected = ConfirmationDecision.Conflict::class,
        ),
        case.copy(
            name = "confirmed before, also after the expiry",
            configuration = later,
            entry = own,
            now = 9_000_000,
            expected = ConfirmationDecision.AlreadyConfirmed::class,
        ),
    ).forEach {
        test("confirming a plan, ${it.name}: ${it.expected.simpleName}") {
            val entryAt = { _: Long -> it.entry }
            val decision =
                checkConfirmation(it.plan, it.configuration, it.context, it.now, it.reachability, entryAt)
            decision::class shouldBe it.expected
        }
    }

    test("the signature of a plan is valid after encoding to JSON and back") {
        val batch = plan(ConfigurationChange.Batch(listOf(ConfigurationChange.PutRoute(openRoute))))
        val read = Json.decodeFromString(Plan.serializer(), Json.encodeToString(Plan.serializer(), batch))
        read.isSignedWith(secret) shouldBe true
    }

    test("of two concurrent confirmations one is committed and the other gets a conflict, in either order") {
        val plans = listOf(plan(drain, 1), plan(ConfigurationChange.WithdrawKey(KeyId("k1")), 2))
        listOf(plans, plans.reversed()).forEach { (first, second) ->
            val table = HashMap(mapOf(HEAD_KEY to base.revision))
            val decisions = listOf(first, second, first).map {
                checkConfirmation(it, base, context, 2_000, whole) { null }
            }
            decisions.forEach { it.shouldBeInstanceOf<ConfirmationDecision.Accepted>() }
            val committed = decisions.map { transact(table, (it as ConfirmationDecision.Accepted).operations) }
            committed shouldBe listOf(true, false, false)
            val store = ConfigurationStore(base)
            store.offer(listOf((decisions[0] as ConfirmationDecision.Accepted).entry))
            checkConfirmation(first, store.configuration, context, 2_000, whole, store::entry)
                .shouldBeInstanceOf<ConfirmationDecision.AlreadyConfirmed>()
            checkConfirmation(second, store.configuration, context, 2_000, whole, store::entry)
                .shouldBeInstanceOf<ConfirmationDecision.Conflict>()
        }
    }
})

/** Applies conditional puts as the table service does: atomically, and each increments the version by one. */
private fun transact(versions: MutableMap<String, Long>, operations: List<TableOperation>): Boolean {
    val puts = operations.filterIsInstance<TableOperation.Put>()
    val holds = puts.all { it.expectedVersion == null || (versions[it.key] ?: 0) == it.expectedVersion }
    if (holds) puts.forEach { versions.merge(it.key, 1, Long::plus) }
    return holds
}
