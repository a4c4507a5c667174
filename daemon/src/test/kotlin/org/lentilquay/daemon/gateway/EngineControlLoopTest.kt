package org.lentilquay.daemon.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.lentilquay.coordination.gateway.EngineOrder
import org.lentilquay.coordination.gateway.EngineReport
import org.lentilquay.coordination.gateway.ORDER_LEASE_MILLIS
import org.lentilquay.coordination.gateway.OrderOutcome
import org.lentilquay.daemon.control.decodeOrNull
import org.lentilquay.daemon.control.tolerantJson
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.protocol.TableItem
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.Incarnation
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.BaseModel
import org.lentilquay.state.gateway.CallerLimits
import org.lentilquay.state.gateway.ControllerRecord
import org.lentilquay.state.gateway.EngineProfile
import org.lentilquay.state.gateway.EngineRecord
import org.lentilquay.state.gateway.GatewayConfiguration
import org.lentilquay.state.gateway.MemberRecord
import org.lentilquay.state.gateway.OperatorState
import org.lentilquay.state.gateway.RegisteredServer
import org.lentilquay.state.gateway.ServiceProfile
import org.lentilquay.state.gateway.controllerKey
import org.lentilquay.state.gateway.memberKey
import org.lentilquay.transport.platform.ReadResult
import org.lentilquay.transport.platform.TableService
import org.lentilquay.transport.platform.TransactResult
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.seconds

private const val PAUSE_MILLIS = 3_000L

/** Time after its last renewal at which the engines of a lost VM may be taken over. */
private const val TAKEOVER_MILLIS = ORDER_LEASE_MILLIS + 500 + PAUSE_MILLIS
private val OWN = VmId("vm-1")
private val LOST = VmId("vm-2")
private val OTHER = VmId("vm-3")
private val ENGINE = ServerId("e1")

private const val RENEWAL_INTERVAL_MILLIS = 1_000L

/** Parts of requests that were answered and had been sent just now. */
private val CLEARED = mapOf("5a" to 0L, "bad" to 0L)

/** Time in which a VM that may take control of an engine has done so. */
private const val TAKEOVER_ATTEMPT_MILLIS = 300L

/** A table service in memory; the test sets its clock, whether it is reachable, and whether writes take effect late. */
private class InMemoryTable : TableService, TableClock {
    private val items = HashMap<String, TableItem>()
    private val delayed = mutableListOf<List<TableOperation>>()
    private var version = 0L
    var time = 1_000L
    var isReachable = true
    var delaysWrites = false
    var losesAnswers = false

    /** Runs between the execution of a transaction and its answer. */
    var beforeAnswer: (List<TableOperation>) -> Unit = {}
    override var latestMillis: Long? = null

    override suspend fun transact(operations: List<TableOperation>, readEra: Long?): TransactResult {
        if (!delaysWrites) {
            val result = apply(operations).also { beforeAnswer(operations) }
            return if (losesAnswers) TransactResult.OutcomeUnknown("no answer") else result
        }
        delayed += operations
        return TransactResult.OutcomeUnknown("no answer")
    }

    /** Executes the writes that got no answer, each if its conditions still hold. */
    fun executeDelayed() {
        delayed.forEach { apply(it) }
        delayed.clear()
    }

    @Synchronized
    private fun apply(operations: List<TableOperation>): TransactResult {
        if (!isReachable) return TransactResult.Unavailable("out of reach")
        latestMillis = time
        val missed = operations.filter { operation ->
            val expected = when (operation) {
                is TableOperation.Put -> operation.expectedVersion
                is TableOperation.Delete -> operation.expectedVersion
                is TableOperation.Check -> operation.expectedVersion
            }
            expected != null && (items[operation.key]?.version ?: 0) != expected
        }
        if (missed.isNotEmpty()) return TransactResult.Conflict(missed.map { it.key })
        version++
        val puts = operations.filterIsInstance<TableOperation.Put>()
        puts.forEach { items[it.key] = TableItem(it.key, it.value, version) }
        return TransactResult.Committed(puts.associate { it.key to version })
    }

    override suspend fun item(key: String): ReadResult<TableItem?> = read { items[key] }

    override suspend fun scan(prefix: String): ReadResult<List<TableItem>> =
        read { items.values.filter { it.key.startsWith(prefix) } }

    @Synchronized
    private fun <T> read(value: () -> T): ReadResult<T> {
        if (!isReachable) return ReadResult.Unavailable("out of reach")
        latestMillis = time
        return ReadResult.Read(value())
    }
}

private object SilentEngines : EngineControlClient {
    override suspend fun report(server: RegisteredServer): ReadResult<EngineReport> = ReadResult.Unavailable("silent")

    override suspend fun send(
        server: RegisteredServer,
        order: EngineOrder,
        envelope: OrderEnvelope,
        mayWrite: suspend () -> Boolean,
    ): OrderOutcome = OrderOutcome.NOT_SENT
}

/** The loop of one VM, and a table with the records of another VM that was lost while it controlled an engine. */
private class LoopFixture(
    private val own: VmId = OWN,
    val table: InMemoryTable = InMemoryTable(),
    private val incarnation: Incarnation = Incarnation(1),
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val control = ControlThread()

    /** The monotonic clock of the VM, which only the test advances. */
    private val clock = AtomicLong()
    private val now = clock::get
    private val options = gatewayOptions(own, controllerChangePauseMillis = PAUSE_MILLIS)
    private val state = GatewayState(options, incarnation, now)
    private val relay = SharedWatchSource(state.readers, NoWatch, table, { NoFleet }, control, now)
    private val records = MemberRecordReader(table, table, relay)
    val crashes = CrashDetector({ NoFleet }, control, scope, { emptySet() }, { false }, now)
    private val loop = EngineControlLoop(
        options = options,
        incarnation = incarnation,
        state = state,
        table = table,
        clock = table,
        records = records,
        client = SilentEngines,
        control = control,
        scope = scope,
        now = now,
        quarantines = crashes,
        clockDifference = { 0 },
    )

    fun advanceClock(millis: Long) {
        clock.addAndGet(millis)
    }

    suspend fun controlsEngine(): Boolean = control.decide { loop.engine(ENGINE) != null }

    /** Writes the records of the lost VM, and makes the engine known to the loop. */
    suspend fun open() {
        writeLostVm()
        registerEngine()
    }

    private suspend fun writeLostVm() {
        val lost = MemberRecord("", EAST, Incarnation(1), renewal = 9, tableMillis = table.time)
        val controller = ControllerRecord(LOST, Incarnation(1), fence = 4)
        table.transact(
            listOf(
                TableOperation.Put(memberKey(LOST), tolerantJson.encodeToString(lost)),
                TableOperation.Put(controllerKey(ENGINE), tolerantJson.encodeToString(controller)),
            ),
        )
    }

    suspend fun registerEngine() {
        val profile = EngineProfile(listOf(BaseModel("base", 1_000.0, 10.0)), 2_000.0, 4, 8)
        val bounds = CallerLimits(16_384, 1_024, 3_000, 15_000)
        val services = mapOf("models" to ServiceProfile("models", 0, 0.0, profile))
        val configuration = GatewayConfiguration(1, emptyList(), services, emptyMap(), emptyMap(), bounds)
        val engine = RegisteredServer(ENGINE, "models", "", EAST, 8, false, 0, 1, setOf("base"))
        control.decide {
            state.operatorChanged(OperatorState(configuration), 1)
            state.serversChanged(mapOf(ENGINE to engine), 1)
        }
    }

    suspend fun exchange() = loop.exchangeRecords()

    suspend fun tick() = control.decide { loop.tick() }

    suspend fun members(): Set<VmId> = control.decide { state.members.keys }

    /** Takes control of the engine, whose former controller must have expired. */
    suspend fun takeControl() {
        eventually(5.seconds) {
            tick()
            controller()?.vm shouldBe own
            controlsEngine() shouldBe true
        }
    }

    suspend fun own(): MemberRecord? =
        (table.item(memberKey(own)) as ReadResult.Read).value?.let { decodeOrNull(it) }

    suspend fun controller(): ControllerRecord? =
        (table.item(controllerKey(ENGINE)) as ReadResult.Read).value?.let { decodeOrNull(it) }

    override fun close() {
        scope.cancel()
        control.close()
    }
}

/** Guards against engines without a controller after a VM is lost, and against orders of two VMs to one engine. */
class EngineControlLoopTest : FunSpec({
    test("control of a lost VM's engine is taken once its lease and the pause have passed, and not 1 ms before") {
        LoopFixture().use { fixture ->
            fixture.open()
            fixture.table.time = 1_000 + TAKEOVER_MILLIS - 1
            fixture.exchange()
            fixture.own()?.tableMillis shouldBe 1_000 + TAKEOVER_MILLIS - 1
            fixture.tick()
            Thread.sleep(300)
            fixture.controller()?.vm shouldBe LOST
            fixture.table.time = 1_000 + TAKEOVER_MILLIS
            fixture.exchange()
            eventually(5.seconds) {
                fixture.tick()
                fixture.controller() shouldBe ControllerRecord(OWN, Incarnation(1), 5)
            }
        }
    }

    test("after an outage, the member record carries the table time of the last read before its write") {
        LoopFixture().use { fixture ->
            fixture.open()
            fixture.table.isReachable = false
            fixture.exchange()
            fixture.table.isReachable = true
            fixture.own() shouldBe null
            fixture.table.time = 5_000
            fixture.exchange()
            fixture.table.time = 6_000
            fixture.exchange()
            fixture.own()?.tableMillis shouldBe 5_000
        }
    }

    test("a member whose record can no longer be decoded is removed from the members") {
        LoopFixture().use { fixture ->
            fixture.open()
            fixture.exchange()
            fixture.members() shouldBe setOf(OWN, LOST)
            fixture.table.transact(listOf(TableOperation.Put(memberKey(LOST), "{")))
            fixture.exchange()
            fixture.members() shouldBe setOf(OWN)
        }
    }

    // A VM that was cut off from the table service once lost its engine to another VM and went on sending orders,
    // because a renewal of that time took effect after newer ones and made its lease look expired.
    test("a renewal that takes effect late does not replace a newer one, and no other VM takes over the engine") {
        val table = InMemoryTable()
        LoopFixture(table = table).use { controller ->
            controller.open()
            table.time = 1_000 + TAKEOVER_MILLIS
            controller.exchange()
            controller.takeControl()

            table.delaysWrites = true
            controller.exchange()
            table.delaysWrites = false
            table.time += TAKEOVER_MILLIS
            repeat(2) {
                controller.advanceClock(RENEWAL_INTERVAL_MILLIS)
                controller.exchange()
            }
            controller.own()?.tableMillis shouldBe table.time
            val newest = controller.own()
            table.executeDelayed()

            controller.own() shouldBe newest
            LoopFixture(OTHER, table).use { other ->
                other.registerEngine()
                other.exchange()
                other.tick()
                Thread.sleep(TAKEOVER_ATTEMPT_MILLIS)
                other.controller()?.vm shouldBe OWN
            }
        }
    }

    // The process does not run while its VM is suspended; a renewal may be the first thing that it does afterwards.
    test("a lease that expired between two checks and was renewed since does not give back control of the engines") {
        LoopFixture().use { fixture ->
            fixture.open()
            fixture.table.time = 1_000 + TAKEOVER_MILLIS
            fixture.exchange()
            fixture.takeControl()
            fixture.exchange()
            fixture.advanceClock(ORDER_LEASE_MILLIS)
            fixture.exchange()
            fixture.controlsEngine() shouldBe false
        }
    }

    // Another VM may take over the engine before the answer to this VM's own takeover arrives.
    test("a takeover whose answer comes after the lease has expired does not begin control of the engine") {
        LoopFixture().use { fixture ->
            fixture.open()
            fixture.table.time = 1_000 + TAKEOVER_MILLIS
            fixture.exchange()
            fixture.table.beforeAnswer = { operations ->
                if (operations.any { it.key == controllerKey(ENGINE) }) fixture.advanceClock(ORDER_LEASE_MILLIS)
            }
            fixture.tick()
            eventually(5.seconds) { fixture.controller()?.vm shouldBe OWN }
            Thread.sleep(TAKEOVER_ATTEMPT_MILLIS)
            fixture.controlsEngine() shouldBe false
        }
    }

    // Without this check, a controller whose lease looked expired to another VM sends orders until it stops.
    test("a controller that learns of a higher fencing number for its engine ends its control") {
        LoopFixture().use { fixture ->
            fixture.open()
            fixture.table.time = 1_000 + TAKEOVER_MILLIS
            fixture.exchange()
            fixture.takeControl()
            val engine = EngineRecord(ENGINE, fence = 6, running = 0, queued = 0)
            val successor = MemberRecord("", EAST, Incarnation(1), 1, engines = listOf(engine), tableMillis = 10_500)
            fixture.table.transact(
                listOf(TableOperation.Put(memberKey(OTHER), tolerantJson.encodeToString(successor))),
            )
            fixture.exchange()
            fixture.tick()
            fixture.controlsEngine() shouldBe false
        }
    }

    // Without the read-back, a controller whose answers get lost for a few seconds would give up its engines.
    test("a renewal whose answer was lost extends the lease once the record shows that it took effect") {
        LoopFixture().use { fixture ->
            fixture.open()
            fixture.table.time = 1_000 + TAKEOVER_MILLIS
            fixture.exchange()
            fixture.takeControl()
            fixture.advanceClock(ORDER_LEASE_MILLIS / 2)
            fixture.table.losesAnswers = true
            fixture.exchange()
            fixture.advanceClock(ORDER_LEASE_MILLIS - 1)
            fixture.tick()
            fixture.controlsEngine() shouldBe true
        }
    }

    suspend fun LoopFixture.crash(server: Int, fingerprint: String, parts: Set<String>) {
        val notice = PeerRequest.SuspectNotice(ServerId("s$server"), 1, listOf(fingerprint), 2_000, listOf(parts))
        crashes.record(notice)
    }

    // Requests with a quarantined part went on coming when all VMs were restarted, and crashed servers anew.
    test("a quarantined prompt part stays so when all VMs restart at once, and a cleared one does not come back") {
        val table = InMemoryTable()
        LoopFixture(table = table).use { former ->
            repeat(3) { former.crash(it, "f$it", setOf("5a", "bad")) }
            former.crashes.quarantine("f", setOf("5a", "bad")).shouldNotBeNull()
            repeat(2) { former.exchange() }
        }
        LoopFixture(table = table, incarnation = Incarnation(2)).use { restarted ->
            restarted.exchange()
            restarted.crashes.hasSuspects shouldBe true
            restarted.crashes.quarantine("f", setOf("5a", "bad"))?.remainingMillis.shouldNotBeNull()
                .shouldBeInRange(590_000L..598_500L)
            restarted.crashes.quarantine("f", setOf("5a")).shouldBeNull()
            LoopFixture(OTHER, table).use { other ->
                other.exchange()
                other.crashes.quarantine("f", setOf("5a", "bad", "c")).shouldNotBeNull()
                val news = PeerRequest.SuspectNotice(ServerId("none"), 0, emptyList(), clearedAgeMillis = CLEARED)
                other.crashes.record(news)
                other.crashes.quarantine("f", setOf("5a", "bad")).shouldBeNull()
                other.advanceClock(RENEWAL_INTERVAL_MILLIS)
                other.exchange()
                other.crashes.quarantine("f", setOf("5a", "bad")).shouldBeNull()
            }
            restarted.exchange()
            restarted.crashes.quarantine("f", setOf("5a", "bad")).shouldBeNull()
        }
    }

    test("a quarantined request stays so when all VMs restart at once") {
        val table = InMemoryTable()
        LoopFixture(table = table).use { former ->
            repeat(3) { former.crash(it, "same", emptySet()) }
            former.crashes.quarantine("same", emptySet()).shouldNotBeNull()
            repeat(2) { former.exchange() }
        }
        LoopFixture(table = table, incarnation = Incarnation(2)).use { restarted ->
            restarted.exchange()
            restarted.crashes.quarantine("same", emptySet()).shouldNotBeNull()
            restarted.crashes.quarantine("other", emptySet()).shouldBeNull()
        }
    }
})
