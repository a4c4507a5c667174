package org.lentilquay.coordination.allocation

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.lentilquay.protocol.ActiveRun
import org.lentilquay.protocol.EngineState
import org.lentilquay.protocol.Priority
import org.lentilquay.protocol.RunOutcome
import org.lentilquay.state.ErrorKind

private val granted = ReserveDecision.Granted(waitedForLoad = false)

private fun ReserveDecision.failureKind(): ErrorKind = shouldBeInstanceOf<ReserveDecision.Refused>().failure.kind

private fun List<AllocatorEffect>.grants() = filterIsInstance<AllocatorEffect.Grant>().map { it.requestId }

private fun List<AllocatorEffect>.unloads() = filterIsInstance<AllocatorEffect.Unload>().map { it.adapter }

/** A server with one slot that ignores fencing, past the takeover wait, with adapter 1 reported as loaded. */
private fun unfenced(inherited: InheritedState): AllocatorFixture {
    val fixture = AllocatorFixture(engineServer(slots = 1, checksFencing = false), inherited)
    fixture.now = 5_000
    fixture.claim()
    fixture.now += 1
    fixture.report(1)
    return fixture
}

/** Guards against wrong decisions of an owner at the limits of its rules; each test names the rule. */
class ServerAllocatorTest : FunSpec({
    test("a repeated poll of a granted request takes no second batch slot") {
        val fixture = AllocatorFixture().settled(1)
        fixture.reserve("a", 1) shouldBe granted
        fixture.reserve("a", 1) shouldBe granted
        fixture.snapshot().inFlight shouldBe 1
        fixture.release("a")
        fixture.release("a")
        fixture.snapshot().inFlight shouldBe 0
    }

    mapOf(0L to true, 1_999L to true, 2_000L to false).forEach { (age, isGranted) ->
        test("with an ownership claim sent $age ms ago a request is granted: $isGranted") {
            val fixture = AllocatorFixture().settled(1)
            fixture.now = 5_000 + age
            (fixture.reserve("a", 1) == granted) shouldBe isGranted
        }
    }

    test("a deposed owner answers all requests as not owner and sends no orders") {
        val fixture = AllocatorFixture().settled()
        fixture.reserve("a", 1)
        val effects = fixture.allocator.claimRejected(fixture.now)
        effects shouldContain AllocatorEffect.NotOwner("a", REQUESTER)
        effects shouldContain AllocatorEffect.CancelLoadPermit(adapter(1))
        fixture.reserve("b") shouldBe ReserveDecision.NotOwner
        fixture.tick().shouldBeEmpty()
    }

    test("on a warm server, unconfirmed runs stay within the cold limit") {
        val fixture = AllocatorFixture().settled()
        (1..3).forEach { fixture.reserve("r$it") shouldBe granted }
        fixture.reserve("r4").shouldBeInstanceOf<ReserveDecision.Queued>()
        fixture.allocator.progress("r1", 1, fixture.now).grants() shouldContainExactly listOf("r4")
    }

    test("progress of an older incarnation confirms no run") {
        val fixture = AllocatorFixture().settled()
        fixture.report(incarnation = 2)
        (1..3).forEach { fixture.reserve("r$it") }
        fixture.allocator.progress("r1", 1, fixture.now)
        fixture.snapshot().unconfirmed shouldBe 3
    }

    listOf<Pair<String, (AllocatorFixture) -> Unit>>(
        "a lost connection" to { it.release("busy-0", RunOutcome.CONNECTION_LOST) },
        "a new incarnation in an answer" to { it.allocator.progress("busy-0", 2, it.now) },
        "a cold report" to { it.report(state = EngineState.COLD) },
    ).forEach { (cause, act) ->
        test("after $cause the cold limit applies until a later warm report") {
            val fixture = AllocatorFixture().settled()
            fixture.occupy(5)
            fixture.now += 100
            act(fixture)
            fixture.snapshot().knownWarm shouldBe false
            val incarnation = fixture.snapshot().serverIncarnation ?: 0
            fixture.now += 100
            fixture.reserve("next").shouldBeInstanceOf<ReserveDecision.Queued>()
            fixture.report(incarnation = incarnation, takenAt = fixture.now - 101)
            fixture.snapshot().knownWarm shouldBe false
            fixture.claim()
            fixture.now += 1
            fixture.report(incarnation = incarnation)
            fixture.snapshot().knownWarm shouldBe true
        }
    }

    test("a new owner grants only on a warm server, up to half the limit, and evicts nothing") {
        val fixture = AllocatorFixture()
        fixture.claim()
        fixture.reserve("early").shouldBeInstanceOf<ReserveDecision.Queued>()
        fixture.now = 10
        fixture.report(1, 2, 3, 4).grants() shouldContainExactly listOf("early")
        fixture.allocator.progress("early", 1, fixture.now)
        fixture.occupy(5)
        fixture.reserve("over the half").shouldBeInstanceOf<ReserveDecision.Queued>()
        fixture.reserve("other", 9)
        fixture.tick().shouldBeEmpty()
    }

    test("the evicted adapter has the lowest frequency of those without pins and waiting requests") {
        val fixture = AllocatorFixture().settled(1, 2, 3, 4)
        listOf(1, 1, 1, 2, 3, 3, 4, 4).forEachIndexed { index, number ->
            fixture.reserve("warm-$index", number)
            fixture.release("warm-$index")
        }
        fixture.reserve("pin", 2) shouldBe granted
        fixture.reserve("new", 9)
        fixture.tick() shouldContainExactly listOf(AllocatorEffect.RequestLoadPermit(adapter(9), 1, 0))
        fixture.allocator.loadPermitted(adapter(9), fixture.now).unloads() shouldContainExactly listOf(adapter(3))
        fixture.allocator.unloadFinished(adapter(3), UnloadResult.UNLOADED, fixture.now) shouldContainExactly
            listOf(AllocatorEffect.Load(adapter(9)))
        fixture.allocator.loadFinished(adapter(9), LoadResult.LOADED, fixture.now) shouldContainExactly
            listOf(AllocatorEffect.Grant("new", REQUESTER, adapter(9), waitedForLoad = true))
    }

    test("the adapter with most waiting requests is loaded first, then the one waiting longest") {
        val fixture = AllocatorFixture(engineServer(slots = 2)).settled()
        fixture.reserve("oldest", 5)
        fixture.reserve("one", 6)
        fixture.now += 1
        (1..2).forEach { fixture.reserve("two-$it", 7) }
        fixture.snapshot().plannedLoads.keys shouldContainExactly setOf(adapter(5), adapter(6))
        listOf(5, 6).map(::adapter).forEach {
            fixture.allocator.loadPermitted(it, fixture.now)
            fixture.allocator.loadFinished(it, LoadResult.LOADED, fixture.now)
        }
        fixture.reserve("three", 8)
        fixture.release("one").filterIsInstance<AllocatorEffect.RequestLoadPermit>()
            .map { it.adapter } shouldContainExactly listOf(adapter(7))
    }

    test("a permit that is no longer needed is returned") {
        val fixture = AllocatorFixture().settled()
        fixture.reserve("a", 1)
        fixture.release("a", RunOutcome.NOT_STARTED) shouldContain AllocatorEffect.CancelLoadPermit(adapter(1))
        fixture.allocator.loadPermitted(adapter(1), fixture.now) shouldContainExactly
            listOf(AllocatorEffect.CancelLoadPermit(adapter(1)))
    }

    test("a failed load refuses its requests, and the back-off doubles from 1 s to 30 s") {
        val fixture = AllocatorFixture().settled()
        listOf(1_000L, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000).forEachIndexed { index, delay ->
            fixture.claim()
            fixture.reserve("a$index", 1)
            fixture.allocator.loadPermitted(adapter(1), fixture.now)
            val refused = fixture.allocator.loadFinished(adapter(1), LoadResult.FAILED, fixture.now)
                .filterIsInstance<AllocatorEffect.Refuse>().single()
            refused.failure.kind shouldBe ErrorKind.LOAD_FAILED
            refused.failure.retryAfterMillis shouldBe delay
            fixture.now += delay - 1
            fixture.reserve("b$index", 1).failureKind() shouldBe ErrorKind.LOAD_FAILED
            fixture.now += 1
        }
    }

    test("an adapter whose load has an unknown result is unloaded before its slot is used again") {
        val fixture = AllocatorFixture().settled()
        fixture.reserve("a", 1)
        fixture.allocator.loadPermitted(adapter(1), fixture.now)
        fixture.allocator.loadFinished(adapter(1), LoadResult.UNKNOWN, fixture.now).unloads() shouldContainExactly
            listOf(adapter(1))
        fixture.snapshot().slots.single().state shouldBe SlotState.UNLOADING
    }

    test("active runs pin their adapter and count, except those that were released before") {
        val fixture = AllocatorFixture().settled(1)
        fixture.release("done")
        val runs = listOf("done", "open").map { ActiveRun(it, adapter(1), it) }
        fixture.allocator.activeRuns(REQUESTER, runs, fixture.now)
        fixture.snapshot().slots.single().pins shouldBe 1
        fixture.allocator.activeRuns(REQUESTER, listOf(ActiveRun("new", null, "new", answered = false)), fixture.now)
        fixture.snapshot().unconfirmed shouldBe 1
    }

    test("suspect requests run one at a time, and none beside a request with the same fingerprint") {
        val fixture = AllocatorFixture().settled()
        fixture.reserve("plain", fingerprint = "f") shouldBe granted
        fixture.reserve("copy", suspect = "f", fingerprint = "f").shouldBeInstanceOf<ReserveDecision.Queued>()
        fixture.reserve("suspect", suspect = "g", fingerprint = "g") shouldBe granted
        fixture.reserve("twin", fingerprint = "g").shouldBeInstanceOf<ReserveDecision.Queued>()
        fixture.reserve("harmless") shouldBe granted
        fixture.release("suspect").grants() shouldContainExactly listOf("twin")
        fixture.release("plain").grants() shouldContainExactly listOf("copy")
    }

    // A report from before the answer may still arrive; one from after it shows that the server stays.
    test("a server whose answer said that it is leaving grants nothing until a later report says that it stays") {
        val fixture = AllocatorFixture().settled()
        fixture.now += 100
        fixture.allocator.noticed(1, isLeaving = true, pauseMillis = 0, fixture.now)
        fixture.reserve("first") shouldNotBe granted
        fixture.report(state = EngineState.WARM, takenAt = fixture.now - 50)
        fixture.reserve("second") shouldNotBe granted
        fixture.now += 1_000
        fixture.claim()
        fixture.report(state = EngineState.WARM)
        fixture.reserve("third") shouldBe granted
    }

    test("a process that starts again is not bound by what an answer of the former one said") {
        val fixture = AllocatorFixture().settled()
        fixture.allocator.noticed(1, isLeaving = true, pauseMillis = 0, fixture.now)
        fixture.now += 10
        fixture.report(state = EngineState.WARM, incarnation = 2)
        fixture.allocator.noticed(1, isLeaving = true, pauseMillis = 0, fixture.now)
        fixture.now += 10_000
        fixture.claim()
        fixture.report(state = EngineState.WARM, incarnation = 2)
        fixture.reserve("third") shouldBe granted
    }

    test("a server that asked for a pause grants nothing until its end") {
        val fixture = AllocatorFixture().settled()
        fixture.allocator.noticed(1, isLeaving = false, pauseMillis = 1_000, fixture.now)
        fixture.reserve("first") shouldNotBe granted
        fixture.allocator.release("first", RunOutcome.CANCELLED, null, fixture.now)
        fixture.now += 1_000
        fixture.reserve("second") shouldBe granted
    }

    test("a queued request is removed 1.5 s after its last poll and refused at its deadline") {
        val fixture = AllocatorFixture().settled()
        fixture.occupy(3)
        (1..3).forEach { fixture.reserve("unconfirmed-$it") }
        fixture.reserve("not polled", wait = 9_000)
        fixture.reserve("late", wait = 1_000)
        fixture.now += 1_000
        fixture.tick().filterIsInstance<AllocatorEffect.Refuse>().single().requestId shouldBe "late"
        fixture.now += 500
        fixture.tick()
        fixture.snapshot().queuedByTeam shouldBe emptyMap()
    }

    test("an expected wait over the spill limit is busy, and over the maximum wait overloaded") {
        val fixture = AllocatorFixture(engineServer(maximumInFlight = 1, coldInFlight = 1)).settled()
        fixture.occupy(1)
        fixture.now += 2_000
        fixture.claim()
        fixture.release("busy-0")
        fixture.occupy(1, prefix = "again")
        fixture.reserve("spill", spill = 100).shouldBeInstanceOf<ReserveDecision.Busy>()
        val refused = fixture.reserve("short wait", wait = 100).shouldBeInstanceOf<ReserveDecision.Refused>()
        refused.failure.kind shouldBe ErrorKind.OVERLOADED
        refused.failure.retryAfterMillis shouldBe 650
    }

    test("short requests overtake a long one for at most one second") {
        val fixture = AllocatorFixture(engineServer(maximumInFlight = 1, coldInFlight = 1)).settled()
        fixture.occupy(1)
        fixture.reserve("long", priority = Priority.LONG)
        fixture.now += 999
        fixture.reserve("short")
        fixture.now += 2
        fixture.claim()
        fixture.reserve("long")
        fixture.reserve("later short")
        fixture.release("busy-0").grants() shouldContainExactly listOf("short")
        fixture.release("short").grants() shouldContainExactly listOf("long")
    }

    test("a server that takes no new work refuses queued and new requests with no capacity") {
        listOf<(AllocatorFixture) -> List<AllocatorEffect>>(
            { it.allocator.reconfigure(it.server, mayTakeWork = false, emptyMap(), it.now) },
            { it.report(state = EngineState.LEAVING) },
        ).forEach { close ->
            val fixture = AllocatorFixture().settled()
            fixture.reserve("queued", 1)
            fixture.now += 1
            val refused = close(fixture).filterIsInstance<AllocatorEffect.Refuse>().single()
            refused.failure.kind shouldBe ErrorKind.NO_CAPACITY
            fixture.reserve("new").failureKind() shouldBe ErrorKind.NO_CAPACITY
        }
    }

    test("with unconfirmed ownership, a server that ignores fencing gets half the limit and no orders") {
        val fixture = AllocatorFixture(engineServer(checksFencing = false)).settled(1)
        fixture.allocator.ownershipUnconfirmed(true, fixture.now)
        fixture.occupy(6, adapter = 1)
        fixture.reserve("over", 1).shouldBeInstanceOf<ReserveDecision.Queued>()
        fixture.reserve("load", 2)
        fixture.tick().shouldBeEmpty()
        fixture.allocator.ownershipUnconfirmed(false, fixture.now)
            .filterIsInstance<AllocatorEffect.RequestLoadPermit>().size shouldBe 1
    }

    test("without acknowledgements, a pending unload blocks its adapter and slot, and nothing is evicted") {
        val pending = unfenced(InheritedState(pendingUnloads = setOf(adapter(1))))
        pending.reserve("a", 1, wait = 60_000).shouldBeInstanceOf<ReserveDecision.Queued>()
        val unacknowledged = unfenced(InheritedState())
        listOf(pending, unacknowledged).forEach {
            it.reserve("b", 2, wait = 60_000)
            it.tick().shouldBeEmpty()
        }
        pending.allocator.pendingUnloadCleared(pending.now)
        pending.now += 1
        pending.report(1).grants() shouldContainExactly listOf("a")
        unacknowledged.allocator.allVmsAcknowledged(unacknowledged.now) shouldContainExactly
            listOf(AllocatorEffect.RequestLoadPermit(adapter(2), 1, 0))
    }

    // Guards against a server that refuses every request that needs a load, because no load corrects its estimate.
    test("after a slow load, the load estimate decays while no load ends") {
        val fixture = AllocatorFixture().settled()
        fixture.reserve("slow", 1, wait = 60_000)
        fixture.tick()
        fixture.allocator.loadPermitted(adapter(1), fixture.now)
        fixture.now += 40_000
        fixture.allocator.loadFinished(adapter(1), LoadResult.LOADED, fixture.now)
        fixture.claim()
        fixture.reserve("refused", 4, wait = 3_000).failureKind() shouldBe ErrorKind.OVERLOADED
        fixture.now += 10_000
        fixture.claim()
        fixture.reserve("queued", 4, wait = 3_000).shouldBeInstanceOf<ReserveDecision.Queued>()
    }

    // Guards against grants for an adapter that an unload with an unknown result may have removed.
    mapOf(UnloadResult.NOT_SENT to false, UnloadResult.STILL_LOADED to true).forEach { (repeated, isReady) ->
        test("after an unload with an unknown result, a repetition with $repeated makes the adapter usable: $isReady") {
            val fixture = AllocatorFixture(engineServer(slots = 1)).settled(1)
            fixture.reserve("new", 2)
            fixture.tick()
            fixture.allocator.loadPermitted(adapter(2), fixture.now).unloads() shouldContainExactly listOf(adapter(1))
            fixture.allocator.unloadFinished(adapter(1), UnloadResult.UNKNOWN, fixture.now)
            fixture.now += AllocatorPolicy().unloadRetryMillis
            fixture.tick().unloads() shouldContainExactly listOf(adapter(1))
            fixture.allocator.unloadFinished(adapter(1), repeated, fixture.now)
            fixture.claim()
            (fixture.reserve("old", 1) == granted) shouldBe isReady
        }
    }

    test("after a restart the most frequently requested adapters are prefetched into free slots only") {
        val fixture = AllocatorFixture(engineServer(slots = 2)).settled(1, 2)
        listOf(1, 1, 1, 2, 2, 3).forEachIndexed { index, number ->
            fixture.reserve("r$index", number)
            fixture.release("r$index")
        }
        fixture.tick().shouldBeEmpty()
        fixture.now += 300
        fixture.report(incarnation = 2)
        fixture.tick() shouldContainExactly (1..2).map { AllocatorEffect.RequestLoadPermit(adapter(it), 0, 0) }
        fixture.reserve("urgent", 3)
        fixture.tick() shouldContainExactly
            listOf(AllocatorEffect.RequestLoadPermit(adapter(3), 1, 0), AllocatorEffect.CancelLoadPermit(adapter(2)))
    }

    test("an adapter that the server reported missing is loaded again") {
        val fixture = AllocatorFixture().settled(1)
        fixture.reserve("a", 1)
        fixture.release("a", RunOutcome.ADAPTER_MISSING)
        fixture.reserve("b", 1).shouldBeInstanceOf<ReserveDecision.Queued>()
        fixture.tick() shouldContainExactly listOf(AllocatorEffect.RequestLoadPermit(adapter(1), 1, 0))
    }
})
