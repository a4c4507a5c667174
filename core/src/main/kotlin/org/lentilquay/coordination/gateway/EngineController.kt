/*
 * Decides which orders one engine gets: it loads the base model of an empty engine and the adapters that requests
 * need, and unloads the adapter that was not used for longest when the places are taken. One order is under way at a
 * time, and each names the number of orders that the engine has accepted so far, so that an order whose answer was
 * lost can not be carried out after a later one. Until then it counts as carried out for the bound on places.
 *
 * Single-threaded use; times are monotonic milliseconds.
 */
package org.lentilquay.coordination.gateway

import org.lentilquay.coordination.gateway.internal.EngineLoad
import org.lentilquay.coordination.gateway.internal.HeldAdapter
import org.lentilquay.coordination.gateway.internal.LoadWishes
import org.lentilquay.state.gateway.AdapterName
import org.lentilquay.state.gateway.EngineProfile

/** Time from the acceptance of an order until the adapter can be used; docs/platform.md, section 5. */
private const val FRESH_LOAD_MILLIS = 270L
private const val REPEATED_LOAD_MILLIS = 35L

/** More time for a load that is not done when expected; the weight store slows down by parts of a load time. */
private const val LOAD_EXTENSION_MILLIS = 100L

/** How much longer the next loads are expected to take after that, and the most, four times that of an idle store. */
private const val LOAD_GROWTH = 1.2
private const val LONGEST_LOAD_MILLIS = 1_000L

/** The part of the excess over the time of an idle store that is expected of the next load. */
private const val LOAD_RECOVERY = 0.9

/** A replacement of which no report tells is taken to be done after the longest time of a request. */
private const val REPLACEMENT_MILLIS = 12_000L

/** An adapter that is not in a report for this long after its load was accepted has not been loaded. */
private const val LOAD_LOST_MILLIS = 3_000L

/** Adapters on their way to one engine at the same time; the platform's bound. */
private const val LOADS_AT_ONCE = 4

/** Adapters that an engine keeps at hand after their unload, so that they load faster. */
private const val REMEMBERED_ADAPTERS = 64

/** More refused unloads in a row than this are not explained by adapters in use. */
private const val MAXIMUM_REFUSED_UNLOADS = 4

/** How old a report may be when it arrives. */
private const val REPORT_LAG_MILLIS = 250L

/**
 * Time until an order whose outcome is unknown is followed by another one. The next one names the same number of
 * accepted orders, so that the engine carries out at most one of them.
 */
private const val UNKNOWN_ORDER_MILLIS = 50L

/** Requests that may wait in the engine's own queue when all engines are full, as a part of its batch. */
private const val QUEUE_PART = 0.5

/** Time until an engine that accepts no connection is tried again. */
private const val UNREACHABLE_MILLIS = 500L

class EngineController(private val profile: EngineProfile) {
    private val held = HashMap<AdapterName, HeldAdapter>()
    private val wishes = LoadWishes()
    private val remembered = LinkedHashSet<AdapterName>()
    private val required = HashMap<AdapterName, Long>()
    private var models: Set<String> = emptySet()
    private var acceptedOrders: Long? = null
    private var startedAt: Long? = null
    private var isAdopted = false
    private var underWay: EngineOrder? = null
    private var isBusy = false

    /**
     * A load and an unload whose answers were lost and that the engine may still carry out, until it accepts another
     * order: all of them name the same number of accepted orders.
     */
    private var doubtfulLoad: AdapterName? = null
    private var doubtfulUnload: AdapterName? = null
    private var mayOrderFrom = 0L
    private var refusedUnloads = 0
    private var modelToLoad: String? = null

    /** The engine refused an adapter that it should hold; a report must show whether it does. */
    private var isReportDue = false
    private var freshLoadMillis = FRESH_LOAD_MILLIS

    private val load = EngineLoad()

    /** Requests running and waiting at the last report. */
    val running: Int get() = load.running
    val queued: Int get() = load.queued

    /** Whether the state of the engine is to be read soon, before the next order or because a change is awaited. */
    val needsReport: Boolean
        get() = acceptedOrders == null || doubtfulLoad != null || isReportDue ||
            held.values.any { it.isUnloading || it.isReplacing }

    /** Whether the engine holds a base model. */
    val hasModel: Boolean get() = models.isNotEmpty()

    /** The number of orders that the engine has accepted, as far as known. */
    val expectedOrders: Long? get() = acceptedOrders

    /** The adapters that can be used at [now], with their versions. */
    fun readyAdapters(now: Long): Map<AdapterName, Long> =
        held.filterValues { it.readyAt <= now && !it.isUnloading }.mapValues { it.value.version }

    /**
     * Asks for [adapter] in [version] or later and tells how that stands. Without [mayQueue], it is not waited for
     * while requests use every adapter of the engine, or all places of its batch.
     */
    fun requestAdapter(adapter: AdapterName, version: Long, now: Long, mayQueue: Boolean = true): AdapterAvailability {
        if (isBatchFull(now, mayQueue)) return AdapterAvailability.Full
        val present = held[adapter]
        if (present != null && !present.isUnloading && present.version >= version) {
            return present.promise(now, mayQueue)
        }
        required.merge(adapter, version, ::maxOf)
        val isInUse = acceptedOrders != null && present == null && !hasRoom(adapter.model) && victim(now) == null
        val isQueued = wishes.ask(adapter, now, isInUse, mayQueue)
        return if (isQueued) AdapterAvailability.Waiting else AdapterAvailability.Full
    }

    /** The engine refused a request because it does not hold [adapter]. */
    fun adapterMissing(adapter: AdapterName, now: Long) {
        val present = held[adapter] ?: return
        when {
            present.isUnloading || present.readyAt > now -> Unit
            // The load takes longer than expected, as loads do while many engines load.
            !present.isConfirmed && now - present.acceptedAt < LOAD_LOST_MILLIS -> {
                present.readyAt = now + LOAD_EXTENSION_MILLIS
                freshLoadMillis = minOf((freshLoadMillis * LOAD_GROWTH).toLong(), LONGEST_LOAD_MILLIS)
            }
            // It counts for the places until a report shows that it is not there: the reason may be another one.
            else -> isReportDue = true
        }
    }

    /** The wish for [adapter] has ended. */
    fun cancelAdapterRequest(adapter: AdapterName) {
        wishes.remove(adapter)
    }

    /** The request [requestId] uses [adapter] until its end is told, at most until [until]. */
    fun useStarted(requestId: String, adapter: AdapterName, until: Long, now: Long) {
        val present = held[adapter] ?: return
        if (present.uses.put(requestId, until) == null) load.began(now)
    }

    /**
     * Decides whether the request [requestId] may be sent to the engine, and if so notes its use of [adapter]. With
     * [mayQueue], it may wait there for a place in the batch.
     */
    fun reserve(requestId: String, adapter: AdapterName, until: Long, now: Long, mayQueue: Boolean): ReservationResult {
        val isHeld = held[adapter]?.isUnloading == false
        return when {
            acceptedOrders != null && !isHeld -> ReservationResult.NOT_HELD
            isBatchFull(now, mayQueue) -> ReservationResult.BATCH_FULL
            else -> ReservationResult.GRANTED.also { useStarted(requestId, adapter, until, now) }
        }
    }

    private fun isBatchFull(now: Long, mayQueue: Boolean): Boolean {
        val most = if (mayQueue) profile.batchSize * (1 + QUEUE_PART) else profile.batchSize.toDouble()
        return load.requests(now) >= most
    }

    /** The request [requestId] does not use [adapter] any more. */
    fun useEnded(requestId: String, adapter: AdapterName, now: Long) {
        val present = held[adapter] ?: return
        if (present.uses.remove(requestId) != null) load.ended(now)
        present.usedAt = maxOf(present.usedAt, now)
    }

    /** A newer version of [adapter] exists; an older one is replaced. */
    fun versionAnnounced(adapter: AdapterName, version: Long) {
        required.merge(adapter, version, ::maxOf)
    }

    /** The base model that an empty engine is to load. */
    fun assignModel(model: String?) {
        modelToLoad = model
    }

    /** Takes in a report that was asked for at [askedAt]. */
    fun applyReport(report: EngineReport, askedAt: Long, now: Long) {
        load.applyReport(report.running, report.queued, askedAt)
        val known = acceptedOrders
        val isOtherProcess = !isAdopted || report.startedAtEpochMillis != startedAt
        if (isOtherProcess) return adopt(report, now)
        // A report from before the last order says nothing about it, and one that shows an order under way is counted
        // when that order ends.
        val isOlder = report.acceptedOrders < (known ?: 0) || askedAt < mayOrderFrom
        if (isOlder || (underWay != null && report.acceptedOrders != known)) return
        isBusy = report.isModelChanging
        models = report.models
        if (known == null || report.acceptedOrders > known) {
            acceptedOrders = report.acceptedOrders
            settleDoubts()
        }
        reconcile(report, now)
    }

    private fun adopt(report: EngineReport, now: Long) {
        isAdopted = true
        startedAt = report.startedAtEpochMillis
        acceptedOrders = report.acceptedOrders
        models = report.models
        isBusy = report.isModelChanging
        doubtfulLoad = null
        doubtfulUnload = null
        held.clear()
        remembered.clear()
        reconcile(report, now)
    }

    private fun reconcile(report: EngineReport, now: Long) {
        isReportDue = false
        report.adapters.forEach { (adapter, version) ->
            val present = held.getOrPut(adapter) { HeldAdapter(version, now, now) }
            present.isConfirmed = true
            if (present.version <= version) {
                present.version = version
                present.readyAt = minOf(present.readyAt, now)
                present.isReplacing = false
            }
        }
        report.loadingAdapters.forEach { adapter ->
            held.getOrPut(adapter) { HeldAdapter(0, now + FRESH_LOAD_MILLIS, now) }
        }
        held.entries.removeIf { (adapter, present) ->
            val isMissing = adapter !in report.adapters && adapter !in report.loadingAdapters
            isMissing && (present.isUnloading || present.isConfirmed || now - present.acceptedAt > LOAD_LOST_MILLIS)
        }
    }

    /** The order to send now, or null. The caller reports its end to [orderEnded]. */
    fun nextOrder(now: Long): EngineOrder? {
        if (underWay != null || acceptedOrders == null || now < mayOrderFrom) return null
        val order = modelOrder() ?: if (isBusy) null else adapterOrder(now)
        underWay = order
        return order
    }

    private fun modelOrder(): EngineOrder? {
        val model = modelToLoad ?: return null
        if (models.isNotEmpty() || isBusy) return null
        return EngineOrder.LoadModel(model)
    }

    private fun adapterOrder(now: Long): EngineOrder? {
        outdated(now)?.let { return EngineOrder.LoadAdapter(it) }
        val wanted = wishes.next(now) { it.model in models && (it !in held || isOutdated(it)) } ?: return null
        val underWay = held.values.count { it.readyAt > now && !it.isReplacing }
        return when {
            underWay >= LOADS_AT_ONCE -> null
            wanted in held || hasRoom(wanted.model) -> EngineOrder.LoadAdapter(wanted)
            else -> (doubtfulUnload ?: victim(now))?.let { EngineOrder.UnloadAdapter(it) }
        }
    }

    /** An adapter of which a newer version was announced. */
    private fun outdated(now: Long): AdapterName? = held.entries.firstOrNull { (adapter, present) ->
        !present.isUnloading && present.readyAt <= now && present.version < (required[adapter] ?: 0)
    }?.key

    private fun isOutdated(adapter: AdapterName): Boolean =
        held[adapter]?.let { !it.isUnloading && it.version < (required[adapter] ?: 0) } ?: true

    /** The order that [nextOrder] gave has ended. */
    fun orderEnded(order: EngineOrder, outcome: OrderOutcome, now: Long) {
        underWay = null
        when (outcome) {
            OrderOutcome.ACCEPTED -> accepted(order, now)
            OrderOutcome.ALREADY_DONE -> alreadyDone(order, now)
            OrderOutcome.CONFLICT -> conflict(order, now)
            OrderOutcome.OTHER_PROCESS -> readAgain(now)
            OrderOutcome.REFUSED -> {
                if (order is EngineOrder.LoadAdapter) wishes.remove(order.adapter)
                readAgain(now)
            }
            OrderOutcome.NOT_SENT -> mayOrderFrom = now + UNREACHABLE_MILLIS
            OrderOutcome.UNKNOWN -> unknown(order, now)
        }
    }

    /** An engine refuses to unload an adapter with requests; otherwise the number of orders was wrong. */
    private fun conflict(order: EngineOrder, now: Long) {
        if (order is EngineOrder.UnloadAdapter) held[order.adapter]?.unloadRefused(now)
        if (order !is EngineOrder.UnloadAdapter || ++refusedUnloads > MAXIMUM_REFUSED_UNLOADS) readAgain(now)
    }

    /** The number of accepted orders is not known; reports from before now may still show an old one. */
    private fun readAgain(now: Long) {
        acceptedOrders = null
        refusedUnloads = 0
        mayOrderFrom = now + REPORT_LAG_MILLIS
    }

    private fun accepted(order: EngineOrder, now: Long) {
        orderAccepted()
        when (order) {
            is EngineOrder.LoadModel -> isBusy = true
            is EngineOrder.LoadAdapter -> {
                wishes.remove(order.adapter)
                loadAccepted(order.adapter, now)
            }
            is EngineOrder.UnloadAdapter -> held[order.adapter]?.isUnloading = true
        }
    }

    private fun loadAccepted(adapter: AdapterName, now: Long) {
        val version = maxOf(1, required[adapter] ?: 1)
        val former = held[adapter]
        val millis = when {
            former != null -> REPLACEMENT_MILLIS
            remembered.remove(adapter) -> REPEATED_LOAD_MILLIS
            else -> nextFreshLoadMillis()
        }
        held[adapter] = HeldAdapter(version, now + millis, now).apply {
            isReplacing = former != null
            former?.let { uses += it.uses }
        }
    }

    private fun nextFreshLoadMillis(): Long = freshLoadMillis.also {
        freshLoadMillis = FRESH_LOAD_MILLIS + ((it - FRESH_LOAD_MILLIS) * LOAD_RECOVERY).toLong()
    }

    /** The engine accepted an order, so it never carries out the ones without an answer before it. */
    private fun orderAccepted() {
        acceptedOrders = acceptedOrders?.plus(1)
        settleDoubts()
        refusedUnloads = 0
    }

    private fun settleDoubts() {
        doubtfulLoad = null
        doubtfulUnload?.let { held[it]?.isUnloading = false }
        doubtfulUnload = null
    }

    private fun alreadyDone(order: EngineOrder, now: Long) {
        orderAccepted()
        when (order) {
            is EngineOrder.LoadModel -> models = models + order.model
            is EngineOrder.LoadAdapter -> {
                wishes.remove(order.adapter)
                val version = maxOf(1, required[order.adapter] ?: 1)
                val uses = held[order.adapter]?.uses.orEmpty()
                held[order.adapter] = HeldAdapter(version, now, now).also { it.uses += uses }
                readAgain(now)
            }
            is EngineOrder.UnloadAdapter -> {
                held.remove(order.adapter)
                remembered += order.adapter
                if (remembered.size > REMEMBERED_ADAPTERS) remembered.remove(remembered.first())
            }
        }
    }

    private fun unknown(order: EngineOrder, now: Long) {
        mayOrderFrom = now + UNKNOWN_ORDER_MILLIS
        when (order) {
            is EngineOrder.LoadAdapter -> doubtfulLoad = order.adapter
            is EngineOrder.UnloadAdapter -> {
                held[order.adapter]?.isUnloading = true
                doubtfulUnload = order.adapter
            }
            is EngineOrder.LoadModel -> Unit
        }
    }

    private fun hasRoom(model: String): Boolean {
        val uncertain = if (doubtfulLoad != null && doubtfulLoad !in held) 1 else 0
        return held.size + uncertain < profile.adapterCapacity(model)
    }

    /** The adapter that was not used for longest, of those that no request uses. */
    private fun victim(now: Long): AdapterName? = held.entries
        .filter { (_, present) -> present.isIdle(now) }
        .minByOrNull { it.value.usedAt }?.key
}
