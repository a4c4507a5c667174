package org.lentilquay.proofs

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import org.lentilquay.protocol.OutageMode
import org.lentilquay.protocol.PlatformControl
import org.lentilquay.protocol.PlatformPart
import org.lentilquay.standins.ServiceControl
import org.lentilquay.standins.ServiceOptions

private const val PATH = "bookings/deposits"

/** A service that is slow enough for a fault to occur between the effect of a call and its answer. */
private val slowService = FleetOptions(service = ServiceOptions(coldMillis = 0, workMillis = 1_500))

/**
 * Guards against a call to a plain service that runs twice under one idempotency key, as after a retry while the first
 * outcome is unknown, and against a `not_run` for a call that ran.
 */
class AtMostOnceTest : FunSpec({
    fun SessionRecord.call(fleet: Fleet, vm: Int, reference: String): CallerResponse =
        add(reference, fleet.caller.callService(fleet.vms[vm], PATH, "key-$reference", reference))

    test("duplicate calls that are sent to two VMs at once run once and get the same answer") {
        session("duplicates-at-once") { fleet ->
            fleet.awaitBookings()
            val references = List(20) { "deposit-$it" }
            val answers = references
                .map { ref -> ref to fleet.vms.map { fleet.caller.callServiceAsync(it, PATH, "key-$ref", ref) } }
                .map { (ref, sent) -> sent.map { add(ref, it.get()) } }
            note("20 calls, each sent to two VMs at once", answers.flatten())
            answers.filter { it.distinct().size > 1 }.shouldBeEmpty()
            note("runs of each call", references.map { fleet.runCount(it) })
        }
    }

    test("a call whose VM is killed after the dispatch does not run again through another VM") {
        session("killed-after-dispatch", slowService) { fleet ->
            fleet.awaitBookings()
            val first = fleet.caller.callServiceAsync(fleet.vms[0], PATH, "key-order", "order")
            await("the call runs", 5_000) { fleet.runCount("order") == 1 }
            fleet.vms[0].kill()
            note("first answer", listOf(first.get()))
            val again = List(3) { call(fleet, 1, "order") }
            again.forEach { it.code shouldBeIn listOf("outcome_unknown", null) }
            note("sent again three times: each outcome_unknown or the stored answer")
            note("runs", listOf(fleet.runCount("order")))
        }
    }

    test("a call runs at most once when answers of the table service or of the plain service are lost") {
        session("lost-answers") { fleet ->
            fleet.awaitBookings()
            fleet.platform.control(PlatformControl(loseAnswers = 1_000))
            val references = List(5) { "renewal-$it" }
            references.forEach { call(fleet, 0, it) }
            fleet.platform.control(PlatformControl(loseAnswers = 0))
            references.forEach { reference ->
                val answers = listOf(call(fleet, 1, reference), call(fleet, 0, reference))
                withClue("$reference: $answers") {
                    fleet.runCount(reference) shouldBeLessThanOrEqualTo 1
                    answers.forEach { if (it.status == 201) fleet.runCount(reference) shouldBe 1 }
                }
            }
            note("5 calls with lost answers of the table, sent three times each: at most one run each")

            fleet.service.control(ServiceControl(loseAnswers = 1))
            val lost = listOf(call(fleet, 0, "lost"), call(fleet, 1, "lost"), call(fleet, 0, "lost"))
            note("answer of the service lost, then sent again to both VMs", lost)
            note("runs", listOf(fleet.runCount("lost")))
        }
    }

    test("a call runs at most once when the table service is out before or during the call") {
        session("table-outage-calls", slowService) { fleet ->
            fleet.awaitBookings()
            val table = setOf(PlatformPart.TABLE)
            OutageMode.entries.forEach { mode ->
                val name = "out-${mode.name.lowercase()}"
                fleet.platform.control(PlatformControl(outage = true, outageMode = mode, outageOf = table))
                note("$name: call in the outage", listOf(call(fleet, 0, name)))
                note("runs", listOf(fleet.runCount(name)))
                fleet.platform.control(PlatformControl(outage = false))
                await("the call runs after the outage", IN_FORCE_MILLIS) { call(fleet, 1, name).status == 201 }
                note("runs after the outage, same key", listOf(fleet.runCount(name)))
            }
            val started = fleet.caller.callServiceAsync(fleet.vms[0], PATH, "key-during", "during")
            await("the call runs", 5_000) { fleet.runCount("during") == 1 }
            fleet.platform.control(PlatformControl(outage = true))
            note("outage begins after the dispatch", listOf(started.get()))
            fleet.platform.control(PlatformControl(outage = false))
            call(fleet, 1, "during").code shouldBeIn listOf("outcome_unknown", null)
            note("runs after the outage, same key at the other VM", listOf(fleet.runCount("during")))
        }
    }
})
