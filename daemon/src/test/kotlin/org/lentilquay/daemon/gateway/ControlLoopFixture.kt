/*
 * The control loop of one VM on an in-memory table service, without network and with a clock that only tests advance.
 */
package org.lentilquay.daemon.gateway

import io.kotest.assertions.nondeterministic.eventually
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
import org.lentilquay.protocol.TableItem
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.Incarnation
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.BaseModel
import org.lentilquay.state.gateway.CallerLimits
import org.lentilquay.state.gateway.ControllerRecord
import org.lentilquay.state.gateway.DutySubject
import org.lentilquay.state.gateway.EngineProfile
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

internal const val PAUSE_MILLIS = 3_000L

/** Time after its last renewal at which the engines of a lost VM may be taken over. */
internal const val TAKEOVER_MILLIS = ORDER_LEASE_MILLIS + 500 + PAUSE_MILLIS
internal val OWN = VmId("vm-1")
internal val LOST = VmId("vm-2")
internal val OTHER = VmId("vm-3")
internal val ENGINE = ServerId("e1")
internal const val RENEWAL_MILLIS = 1_000L

/** A table service in memory; the test sets its clock, whether it is reachable, and whether writes take effect late. */
internal class InMemoryTable : TableService, TableClock {
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

    /** The era, which rises with each return from a copy; null if the service has no eras. */
    var era: Long? = null
    override var latestEra: Long? = null
    private var copy: Pair<Map<String, TableItem>, Long> = emptyMap<String, TableItem>() to 0L

    /** Takes the copy from which [returnFromCopy] goes on. */
    fun takeCopy() {
        copy = items.toMap() to version
    }

    /** Loses what was written since the last [takeCopy]; the versions of these writes are assigned again. */
    @Synchronized
    fun returnFromCopy() {
        items.clear()
        items += copy.first
        version = copy.second
        era = era?.plus(1)
    }

    override suspend fun transact(operations: List<TableOperation>, readEra: Long?): TransactResult {
        latestEra?.takeIf { readEra != null && it != readEra }?.let { return TransactResult.OtherEra(it) }
        if (!delaysWrites) {
            val result = inEraOf(readEra, apply(operations)).also { beforeAnswer(operations) }
            return if (losesAnswers) TransactResult.OutcomeUnknown("no answer") else result
        }
        delayed += operations
        return TransactResult.OutcomeUnknown("no answer")
    }

    private fun inEraOf(readEra: Long?, result: TransactResult): TransactResult {
        val answered = era ?: return result
        val isOther = result !is TransactResult.Unavailable && readEra != null && answered != readEra
        return if (isOther) TransactResult.OtherEra(answered) else result
    }

    /** Executes the writes that got no answer, each if its conditions still hold. */
    fun executeDelayed() {
        delayed.forEach { apply(it) }
        delayed.clear()
    }

    @Synchronized
    private fun apply(operations: List<TableOperation>): TransactResult {
        if (!isReachable) return TransactResult.Unavailable("out of reach")
        answered()
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
        return TransactResult.Committed(puts.associate { it.key to version }, era)
    }

    override suspend fun item(key: String): ReadResult<TableItem?> = read { items[key] }

    override suspend fun scan(prefix: String): ReadResult<List<TableItem>> =
        read { items.values.filter { it.key.startsWith(prefix) } }

    private fun answered() {
        latestMillis = time
        latestEra = era
    }

    @Synchronized
    private fun <T> read(value: () -> T): ReadResult<T> {
        if (!isReachable) return ReadResult.Unavailable("out of reach")
        answered()
        return ReadResult.Read(value(), era)
    }
}

internal object SilentEngines : EngineControlClient {
    override suspend fun report(server: RegisteredServer): ReadResult<EngineReport> = ReadResult.Unavailable("silent")

    override suspend fun send(
        server: RegisteredServer,
        order: EngineOrder,
        envelope: OrderEnvelope,
        mayWrite: suspend () -> Boolean,
    ): OrderOutcome = OrderOutcome.NOT_SENT
}

/** The loop of one VM, and a table with the records of another VM that was lost while it controlled an engine. */
internal class LoopFixture(
    private val own: VmId = OWN,
    val table: InMemoryTable = InMemoryTable(),
    private val incarnation: Incarnation = Incarnation(1),
    isBootstrap: Boolean = false,
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val control = ControlThread()

    /** The monotonic clock of the VM, which only the test advances. */
    private val clock = AtomicLong()
    private val now = clock::get
    private val options = gatewayOptions(own, PAUSE_MILLIS).copy(isBootstrap = isBootstrap)
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
        clockDifference = { clockDifference },
    )

    /** The wall clock minus the monotonic clock. */
    @Volatile
    var clockDifference = 0L

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

    suspend fun require(duties: Set<DutySubject>) = control.decide { loop.duties.require(duties) }

    suspend fun fenceOf(duty: DutySubject): Long? = control.decide { loop.duties.fenceOf(duty) }

    suspend fun mayCall(duty: DutySubject, fence: Long): Boolean = control.decide { loop.duties.mayCall(duty, fence) }

    suspend fun releaseDuties() = loop.releaseDuties()

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
