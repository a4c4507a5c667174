/*
 * The state of the model engine stand-in: incarnation, adapter slots, batch, and the records of all runs. One lock
 * guards all of it. Times are milliseconds of a monotonic clock; times in responses are shifted by the clock offset.
 */
package org.lentilquay.standins.internal

import io.ktor.http.HttpStatusCode
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.lentilquay.protocol.CacheEvents
import org.lentilquay.protocol.EngineErrorCodes
import org.lentilquay.protocol.EngineState
import org.lentilquay.protocol.LoadAdapterOrder
import org.lentilquay.protocol.LoadReport
import org.lentilquay.standins.EngineControl
import org.lentilquay.standins.EngineOptions
import org.lentilquay.standins.EngineRuns
import org.lentilquay.standins.RunStage
import org.lentilquay.standins.STRAY_CHUNK
import java.util.concurrent.TimeUnit
import kotlin.math.max

private const val REPORTS_KEPT_MILLIS = 10_000L
private const val REPORT_INTERVAL_MILLIS = 20L

/** Decision about a new request. */
internal sealed interface Acceptance {
    data class Accepted(val run: Run) : Acceptance

    data class Refused(val status: HttpStatusCode, val code: String) : Acceptance

    /** The request exceeded the cold limit and crashed the engine. */
    data object FellOver : Acceptance
}

/** [closeListener] closes the listener for a number of milliseconds after a crash. */
internal class EngineCore(
    private val options: EngineOptions,
    private val scope: CoroutineScope,
    private val closeListener: (Long) -> Unit,
) : AutoCloseable {
    private val counters = Counters()
    private val incarnations = Incarnations(options.coldMillis)
    private val fence = FencingCheck(options.checksFencing)
    private val slots = AdapterSlots(options.slots)
    private val cache = PrefixCache(options.cachedPrefixes, options.cacheEventDelayMillis, options.cacheEventLoss)
    private val batch = Batch(options, cache, counters)
    private val fetcher = WeightFetcher(options.weightStore)
    private val records = RunRecords(options.clockOffsetMillis, options.logBodies)
    private val resumable = HashMap<String, Run>()
    private val work = Channel<Unit>(Channel.CONFLATED)
    private var switches = EngineControl(delayMillis = 0, leaving = false, reportLagMillis = options.reportLagMillis)
    private val reports = History(currentReport(monotonicMillis()), REPORTS_KEPT_MILLIS)

    val incarnation: Long @Synchronized get() = incarnations.current
    val highestFence: Long @Synchronized get() = fence.highest
    val delayMillis: Long @Synchronized get() = switches.delayMillis ?: 0
    val isLeaving: Boolean @Synchronized get() = switches.leaving == true
    val retryAfter: String? @Synchronized get() = switches.retryAfter?.takeIf { it.isNotEmpty() }
    val engineTime: Long get() = monotonicMillis() + options.clockOffsetMillis
    val models: List<String> @Synchronized get() = listOf(options.baseModel) + slots.loaded

    init {
        scope.launch { generate() }
        scope.launch {
            while (true) {
                delay(REPORT_INTERVAL_MILLIS)
                monotonicMillis().let { reports.add(currentReport(it), it) }
            }
        }
    }

    @Synchronized
    fun accept(request: InferenceRequest): Acceptance {
        val now = monotonicMillis()
        val isCold = incarnations.isCold(now)
        if (isCold) counters.maximum("in_flight_while_cold", batch.size + 1)
        return when {
            isCold && batch.size >= options.coldInFlight -> {
                counters.count("fallen_over_cold")
                fallOver(options.downMillis)
                Acceptance.FellOver
            }
            request.model != options.baseModel && !slots.isLoaded(request.model) ->
                refused(HttpStatusCode.NotFound, EngineErrorCodes.ADAPTER_NOT_LOADED)
            batch.isFull -> refused(HttpStatusCode.ServiceUnavailable, EngineErrorCodes.OVERLOADED)
            else -> Acceptance.Accepted(begin(request, now))
        }
    }

    /** Checks the fencing number [token] of an order and counts the order under [kind] or as stale. */
    @Synchronized
    fun admitOrder(kind: String, token: Long): Boolean =
        fence.admits(token).also { counters.count(if (it) "orders_$kind" else "orders_stale") }

    /** Whether the response to the request just accepted must be lost; counts down the switch for it. */
    @Synchronized
    fun consumeAnswerLoss(): Boolean {
        val left = switches.loseAnswers ?: 0
        if (left > 0) switches = switches.copy(loseAnswers = left - 1)
        return left > 0
    }

    suspend fun load(order: LoadAdapterOrder): LoadResult = beginLoad(order).await()

    /** Frees the slot of [name]. Runs that still use the adapter are cut. */
    @Synchronized
    fun unload(name: String): Boolean {
        val users = batch.members.filter { it.identity.model == name }
        if (!slots.remove(name)) return false
        if (users.isNotEmpty()) counters.count("evictions_in_use")
        users.forEach { batch.remove(it, RunStage.CUT) }
        return true
    }

    /** Counts a further connection that receives the answer of the run [requestId]; null if that run is unknown. */
    @Synchronized
    fun attach(requestId: String): Run? = resumable[requestId]?.also { it.readers++ }

    /** Counts the end of a connection. An incomplete answer can be resumed for a time; then the run is cancelled. */
    @Synchronized
    fun detach(run: Run, isComplete: Boolean) {
        run.readers--
        val departure = ++run.departures
        if (isComplete) {
            resumable.remove(run.request.id, run)
            records.compact(run.number)
            return
        }
        scope.launch {
            delay(options.resumeMillis)
            synchronized(this@EngineCore) {
                if (run.readers == 0 && run.departures == departure) {
                    batch.remove(run, RunStage.CANCELLED)
                    resumable.remove(run.request.id, run)
                    records.compact(run.number)
                }
            }
        }
    }

    @Synchronized
    fun cancel(requestId: String): Boolean {
        counters.count("orders_cancel")
        return resumable.remove(requestId)?.also { batch.remove(it, RunStage.CANCELLED) } != null
    }

    @Synchronized
    fun control(control: EngineControl) {
        if (control.restart) {
            counters.count("restarts")
            fallOver(downMillis = 0)
        }
        switches = EngineControl(
            failLoads = control.failLoads ?: switches.failLoads,
            wrongModel = control.wrongModel ?: switches.wrongModel,
            wrongRequestId = control.wrongRequestId ?: switches.wrongRequestId,
            strayChunks = control.strayChunks ?: switches.strayChunks,
            loseAnswers = control.loseAnswers ?: switches.loseAnswers,
            delayMillis = control.delayMillis ?: switches.delayMillis,
            leaving = control.leaving ?: switches.leaving,
            retryAfter = control.retryAfter ?: switches.retryAfter,
            reportLagMillis = control.reportLagMillis ?: switches.reportLagMillis,
        )
    }

    fun laggingReport(): LoadReport {
        val now = monotonicMillis()
        val lag = synchronized(this) { switches.reportLagMillis ?: 0 }
        return if (lag == 0L) currentReport(now) else reports.at(now - lag)
    }

    @Synchronized
    fun cacheEvents(after: Long): CacheEvents =
        CacheEvents(incarnations.current, cache.eventsAfter(after, monotonicMillis()))

    // Without the engine's lock, since copying many records takes long.
    fun runs(): EngineRuns = EngineRuns(incarnation, records.all(), counts())

    fun counts(): Map<String, Long> = counters.snapshot() + ("records_dropped" to records.dropped.toLong())

    fun count(name: String) = counters.count(name)

    override fun close() = fetcher.close()

    private fun begin(request: InferenceRequest, now: Long): Run {
        val bound = if (options.answerTokens > 0) options.answerTokens else Int.MAX_VALUE
        val total = minOf(request.maximumTokens, bound)
        val run = Run(request, identityFor(request), incarnations.current, max(total, 0), now)
        val strays = switches.strayChunks ?: 0
        if (strays > 0) {
            switches = switches.copy(strayChunks = strays - 1)
            counters.count("stray_chunks")
            run.strayFromIndex = STRAY_CHUNK
        }
        run.number = records.add(run)
        resumable[request.id] = run
        counters.count("accepted")
        if (switches.leaving == true) counters.count("accepted_while_leaving")
        batch.add(run, now)
        counters.maximum("in_flight", batch.size)
        work.trySend(Unit)
        return run
    }

    private fun identityFor(request: InferenceRequest): AnswerIdentity {
        val wrongModels = switches.wrongModel ?: 0
        val wrongIds = switches.wrongRequestId ?: 0
        val right = AnswerIdentity(request.id, request.model, request.prompt)
        return when {
            wrongModels > 0 -> {
                switches = switches.copy(wrongModel = wrongModels - 1)
                counters.count("wrong_model")
                right.copy(model = slots.loaded.firstOrNull { it != request.model } ?: "${request.model}-other")
            }
            wrongIds > 0 -> {
                switches = switches.copy(wrongRequestId = wrongIds - 1)
                counters.count("wrong_request_id")
                right.copy(requestId = "other-${request.id}", prompt = "other ${request.prompt}")
            }
            else -> right
        }
    }

    private fun refused(status: HttpStatusCode, code: String): Acceptance {
        counters.count("refused_$code")
        return Acceptance.Refused(status, code)
    }

    private fun fallOver(downMillis: Long) {
        incarnations.renew(monotonicMillis())
        batch.members.forEach { batch.remove(it, RunStage.CUT) }
        resumable.clear()
        slots.clear()
        // The highest fencing number is kept in memory only, as in an engine without a disk.
        fence.clear()
        cache.clear()
        if (downMillis > 0) closeListener(downMillis)
    }

    @Synchronized
    private fun beginLoad(order: LoadAdapterOrder): Deferred<LoadResult> {
        // An order for an adapter that is loaded or loading gets the result of that load.
        slots.get(order.name)?.let { return it.result }
        val slot = slots.take(order.name) ?: return CompletableDeferred(LoadResult.NO_FREE_SLOT)
        val failuresLeft = switches.failLoads ?: 0
        if (failuresLeft > 0) switches = switches.copy(failLoads = failuresLeft - 1)
        scope.launch { load(slot, order.path, fails = failuresLeft > 0) }
        return slot.result
    }

    private suspend fun load(slot: AdapterSlots.Slot, path: String, fails: Boolean) {
        val started = monotonicMillis()
        val inFlight = synchronized(this) { batch.size }
        val isFetched = fetcher.fetch(path)
        val full = options.loadFullSpeedInFlight
        val duration = options.loadMillis * max(inFlight, full) / full
        delay(duration - (monotonicMillis() - started))
        synchronized(this) {
            if (!isFetched || fails) counters.count("loads_failed")
            slots.finish(slot, isFetched && !fails)
        }
    }

    private suspend fun generate() {
        var due = System.nanoTime()
        while (true) {
            val step = synchronized(this) { if (batch.size == 0) null else batch.stepNanos }
            if (step == null) {
                work.receive()
                due = System.nanoTime()
                continue
            }
            // At most one late step is made up for.
            due = max(due, System.nanoTime() - step) + step
            delay(TimeUnit.NANOSECONDS.toMillis(due - System.nanoTime()))
            synchronized(this) {
                if (!batch.step(monotonicMillis())) {
                    counters.count("crashes")
                    fallOver(options.downMillis)
                }
            }
        }
    }

    @Synchronized
    private fun currentReport(now: Long): LoadReport = LoadReport(
        incarnation = incarnations.current,
        asOfMillis = now + options.clockOffsetMillis,
        state = when {
            switches.leaving == true -> EngineState.LEAVING
            incarnations.isCold(now) -> EngineState.COLD
            else -> EngineState.WARM
        },
        slots = options.slots,
        loaded = slots.loaded,
        running = batch.members.groupingBy { it.identity.model }.eachCount(),
        maximumInFlight = options.maximumInFlight,
    )
}
