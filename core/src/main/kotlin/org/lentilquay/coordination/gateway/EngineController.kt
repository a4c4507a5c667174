/*
 * Decides which orders the controller of an engine sends: load the base model of an empty engine, load the adapters in
 * demand, and unload the least recently used adapter when all adapter slots are taken. One order is in flight at a
 * time. Each order carries the number of orders that the engine has accepted so far, so that an order whose answer was
 * lost cannot take effect after a later one. Until a later order is accepted, the lost one counts as carried out
 * against the number of adapter slots.
 *
 * Also admits requests to the engine's batch: a VM reserves a batch slot before it sends a request.
 *
 * Single-threaded use; times are monotonic milliseconds.
 */
package org.lentilquay.coordination.gateway

import org.lentilquay.coordination.gateway.internal.EngineLoad
import org.lentilquay.coordination.gateway.internal.HeldAdapter
import org.lentilquay.coordination.gateway.internal.LoadDemand
import org.lentilquay.state.gateway.AdapterName
import org.lentilquay.state.gateway.EngineProfile

/**
 * Time from the acceptance of a load until the adapter is ready, with an idle weight store; docs/platform.md,
 * section 5.
 */
private const val IDLE_STORE_LOAD_MILLIS = 270L

/** The same for an adapter that the engine still has in its cache. */
private const val CACHED_LOAD_MILLIS = 35L

/** Extension for a load that is not done when expected; a busy weight store adds fractions of a load time. */
private const val LOAD_EXTENSION_MILLIS = 100L

/** Growth of the expected load time after each such extension. */
private const val LOAD_GROWTH_FACTOR = 1.2

/** Upper bound of the expected load time: four times the load time of an idle weight store. */
private const val MAXIMUM_EXPECTED_LOAD_MILLIS = 1_000L

/** After each load, the excess of the expected load time over that of an idle weight store shrinks to this ratio. */
private const val LOAD_EXCESS_DECAY_RATIO = 0.9

/** A replacement that no report has confirmed is assumed done after this: the longest time of a request. */
private const val REPLACEMENT_MILLIS = 12_000L

/** An adapter that reports do not show within this time after its load was accepted was not loaded. */
private const val LOST_LOAD_MILLIS = 3_000L

/** Limit of the platform on loads in progress on one engine. */
private const val MAXIMUM_PARALLEL_LOADS = 4

/** Unloaded adapters that an engine keeps in its cache, so that they load faster. */
private const val MAXIMUM_CACHED_ADAPTERS = 64

/** More refused unloads in a row than this cannot be explained by adapters in use. */
private const val MAXIMUM_REFUSED_UNLOADS = 4

/** Maximum age of the figures in a report when it arrives. */
private const val REPORT_AGE_MILLIS = 250L

/**
 * Delay before the next order after an order with an unknown outcome. The next order carries the same number of
 * accepted orders, so the engine carries out at most one of the two.
 */
private const val UNKNOWN_OUTCOME_RETRY_MILLIS = 50L

/** Requests that may wait in the engine's own queue when all engines are full, as a fraction of its batch size. */
private const val ENGINE_QUEUE_FRACTION = 0.5

/** Delay before the next order to an engine that accepted no connection. */
private const val UNREACHABLE_RETRY_MILLIS = 500L

class EngineController(private val profile: EngineProfile) {
    /** Adapters that the engine holds, loads or unloads. */
    private val held = HashMap<AdapterName, HeldAdapter>()
    private val loadDemand = LoadDemand()
    private val recentlyUnloaded = LinkedHashSet<AdapterName>()

    /** The newest version that was requested or announced. */
    private val requiredVersions = HashMap<AdapterName, Long>()
    private var models: Set<String> = emptySet()

    /** Null until a report gives the number. */
    private var acceptedOrders: Long? = null
    private var startedAt: Long? = null
    private var hasReport = false
    private var orderInFlight: EngineOrder? = null
    private var isModelChanging = false

    /**
     * A load and an unload with unknown outcome. The engine may still carry them out until it accepts another order,
     * because all of them carry the same number of accepted orders.
     */
    private var uncertainLoad: AdapterName? = null
    private var uncertainUnload: AdapterName? = null
    private var nextOrderAt = 0L
    private var refusedUnloads = 0
    private var assignedModel: String? = null

    /** The engine refused a request for an adapter that it should hold; the next report shows whether it does. */
    private var isConfirmationDue = false
    private var expectedLoadMillis = IDLE_STORE_LOAD_MILLIS

    private val load = EngineLoad()

    /** Requests running on the engine, and waiting in its queue, at the last report. */
    val running: Int get() = load.running
    val queued: Int get() = load.queued

    /** Whether a new report is needed soon: before the next order, or to see that a change took effect. */
    val needsReport: Boolean
        get() = acceptedOrders == null || uncertainLoad != null || isConfirmationDue ||
            held.values.any { it.isUnloading || it.isReplacing }

    /** Whether the engine holds a base model. */
    val hasModel: Boolean get() = models.isNotEmpty()

    /** The number of orders that the engine has accepted, which the next order carries; null if it is not known. */
    val expectedOrders: Long? get() = acceptedOrders

    /** The adapters that can be used at [now], with their versions. */
    fun readyAdapters(now: Long): Map<AdapterName, Long> =
        held.filterValues { it.readyAt <= now && !it.isUnloading }.mapValues { it.value.version }

    /** The number of adapters that requests use now or used after [since]. */
    fun usedAdapters(since: Long): Int = held.values.count { it.uses.isNotEmpty() || it.usedAt > since }

    /**
     * Adds or renews the load demand for [adapter] in [version] or later, unless it is ready. Without [mayQueue], the
     * answer is [AdapterAvailability.Full] while requests use every adapter of the engine or all its batch slots.
     */
    fun requestAdapter(adapter: AdapterName, version: Long, now: Long, mayQueue: Boolean = true): AdapterAvailability {
        if (isBatchFull(now, mayQueue)) return AdapterAvailability.Full
        val present = held[adapter]
        if (present != null && !present.isUnloading && present.version >= version) {
            return present.hold(now, mayQueue)
        }
        requiredVersions.merge(adapter, version, ::maxOf)
        val isInUse = acceptedOrders != null && present == null && !hasFreeSlot(adapter.model) &&
            evictionCandidate(now) == null
        return if (loadDemand.request(adapter, now, isInUse, mayQueue)) {
            AdapterAvailability.Waiting
        } else {
            AdapterAvailability.Full
        }
    }

    /** The engine refused a request because [adapter] is not loaded. */
    fun adapterMissing(adapter: AdapterName, now: Long) {
        val present = held[adapter] ?: return
        when {
            present.isUnloading || present.readyAt > now -> Unit
            // Loads take longer than expected while many engines load.
            !present.isConfirmed && now - present.acceptedAt < LOST_LOAD_MILLIS -> {
                present.readyAt = now + LOAD_EXTENSION_MILLIS
                expectedLoadMillis =
                    minOf((expectedLoadMillis * LOAD_GROWTH_FACTOR).toLong(), MAXIMUM_EXPECTED_LOAD_MILLIS)
            }
            // It keeps its slot until a report shows that it is not loaded: the refusal may have another reason.
            else -> isConfirmationDue = true
        }
    }

    /** Removes the load demand for [adapter]. */
    fun cancelAdapterRequest(adapter: AdapterName) {
        loadDemand.remove(adapter)
    }

    /** The request [requestId] uses [adapter] until [useEnded] is called, at most until [until]. */
    fun useStarted(requestId: String, adapter: AdapterName, until: Long, now: Long) {
        val present = held[adapter] ?: return
        if (present.uses.put(requestId, until) == null) load.requestStarted(now)
    }

    /**
     * Reserves a batch slot for the request [requestId], which then uses [adapter]. With [mayQueue], it may wait in the
     * engine's own queue for a batch slot.
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
        val limit = if (mayQueue) profile.batchSize * (1 + ENGINE_QUEUE_FRACTION) else profile.batchSize.toDouble()
        return load.requests(now) >= limit
    }

    /** The request [requestId] no longer uses [adapter]. */
    fun useEnded(requestId: String, adapter: AdapterName, now: Long) {
        val present = held[adapter] ?: return
        if (present.uses.remove(requestId) != null) load.requestEnded(now)
        present.usedAt = maxOf(present.usedAt, now)
    }

    /** [version] of [adapter] was announced; an older one that the engine holds is replaced. */
    fun versionAnnounced(adapter: AdapterName, version: Long) {
        requiredVersions.merge(adapter, version, ::maxOf)
    }

    /** Sets the base model that the engine loads when it is empty. */
    fun assignModel(model: String?) {
        assignedModel = model
    }

    /** Applies a report that was requested at [requestedAt]. */
    fun applyReport(report: EngineReport, requestedAt: Long, now: Long) {
        load.applyReport(report.running, report.queued, requestedAt)
        val known = acceptedOrders
        val isNewProcess = !hasReport || report.startedAtEpochMillis != startedAt
        if (isNewProcess) return resetTo(report, now)
        // A report from before the last order does not show its effect. An order in flight that a report already
        // counts is counted when the order ends.
        val isOlder = report.acceptedOrders < (known ?: 0) || requestedAt < nextOrderAt
        if (isOlder || (orderInFlight != null && report.acceptedOrders != known)) return
        isModelChanging = report.isModelChanging
        models = report.models
        if (known == null || report.acceptedOrders > known) {
            acceptedOrders = report.acceptedOrders
            resolveUncertainOrders()
        }
        reconcile(report, now)
    }

    /** Starts from [report] of a process that was not known before. */
    private fun resetTo(report: EngineReport, now: Long) {
        hasReport = true
        startedAt = report.startedAtEpochMillis
        acceptedOrders = report.acceptedOrders
        models = report.models
        isModelChanging = report.isModelChanging
        uncertainLoad = null
        uncertainUnload = null
        held.clear()
        recentlyUnloaded.clear()
        reconcile(report, now)
    }

    private fun reconcile(report: EngineReport, now: Long) {
        isConfirmationDue = false
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
            held.getOrPut(adapter) { HeldAdapter(0, now + IDLE_STORE_LOAD_MILLIS, now) }
        }
        held.entries.removeIf { (adapter, present) ->
            val isMissing = adapter !in report.adapters && adapter !in report.loadingAdapters
            isMissing && (present.isUnloading || present.isConfirmed || now - present.acceptedAt > LOST_LOAD_MILLIS)
        }
    }

    /** The order to send now, or null. The caller passes its outcome to [orderEnded]. */
    fun nextOrder(now: Long): EngineOrder? {
        if (orderInFlight != null || acceptedOrders == null || now < nextOrderAt) return null
        val order = modelOrder() ?: if (isModelChanging) null else adapterOrder(now)
        orderInFlight = order
        return order
    }

    private fun modelOrder(): EngineOrder? {
        val model = assignedModel ?: return null
        if (models.isNotEmpty() || isModelChanging) return null
        return EngineOrder.LoadModel(model)
    }

    private fun adapterOrder(now: Long): EngineOrder? {
        outdatedAdapter(now)?.let { return EngineOrder.LoadAdapter(it) }
        val wanted = loadDemand.next(now) { it.model in models && (it !in held || isOutdated(it)) } ?: return null
        val loading = held.values.count { it.readyAt > now && !it.isReplacing }
        return when {
            loading >= MAXIMUM_PARALLEL_LOADS -> null
            wanted in held || hasFreeSlot(wanted.model) -> EngineOrder.LoadAdapter(wanted)
            else -> (uncertainUnload ?: evictionCandidate(now))?.let { EngineOrder.UnloadAdapter(it) }
        }
    }

    /** A ready adapter of which a newer version was announced. */
    private fun outdatedAdapter(now: Long): AdapterName? = held.entries.firstOrNull { (adapter, present) ->
        !present.isUnloading && present.readyAt <= now && present.version < (requiredVersions[adapter] ?: 0)
    }?.key

    private fun isOutdated(adapter: AdapterName): Boolean =
        held[adapter]?.let { !it.isUnloading && it.version < (requiredVersions[adapter] ?: 0) } ?: true

    /** The order from [nextOrder] ended with [outcome]. */
    fun orderEnded(order: EngineOrder, outcome: OrderOutcome, now: Long) {
        orderInFlight = null
        when (outcome) {
            OrderOutcome.ACCEPTED -> accepted(order, now)
            OrderOutcome.ALREADY_DONE -> alreadyDone(order, now)
            OrderOutcome.CONFLICT -> conflict(order, now)
            OrderOutcome.OTHER_PROCESS -> awaitReport(now)
            OrderOutcome.REFUSED -> {
                if (order is EngineOrder.LoadAdapter) loadDemand.remove(order.adapter)
                awaitReport(now)
            }
            OrderOutcome.NOT_SENT -> nextOrderAt = now + UNREACHABLE_RETRY_MILLIS
            OrderOutcome.UNKNOWN -> unknown(order, now)
        }
    }

    /** The engine refuses to unload an adapter in use; any other conflict means that the number of orders is wrong. */
    private fun conflict(order: EngineOrder, now: Long) {
        if (order is EngineOrder.UnloadAdapter) held[order.adapter]?.unloadRefused(now)
        if (order !is EngineOrder.UnloadAdapter || ++refusedUnloads > MAXIMUM_REFUSED_UNLOADS) awaitReport(now)
    }

    /** Gives no order until a new report shows the number of accepted orders; older reports may still arrive. */
    private fun awaitReport(now: Long) {
        acceptedOrders = null
        refusedUnloads = 0
        nextOrderAt = now + REPORT_AGE_MILLIS
    }

    private fun accepted(order: EngineOrder, now: Long) {
        orderAccepted()
        when (order) {
            is EngineOrder.LoadModel -> isModelChanging = true
            is EngineOrder.LoadAdapter -> {
                loadDemand.remove(order.adapter)
                loadAccepted(order.adapter, now)
            }
            is EngineOrder.UnloadAdapter -> held[order.adapter]?.isUnloading = true
        }
    }

    private fun loadAccepted(adapter: AdapterName, now: Long) {
        val version = maxOf(1, requiredVersions[adapter] ?: 1)
        val former = held[adapter]
        val millis = when {
            former != null -> REPLACEMENT_MILLIS
            recentlyUnloaded.remove(adapter) -> CACHED_LOAD_MILLIS
            else -> takeExpectedLoadMillis()
        }
        held[adapter] = HeldAdapter(version, now + millis, now).apply {
            isReplacing = former != null
            former?.let { uses += it.uses }
        }
    }

    /** The expected time of the load that begins now; lowers it for the next load. */
    private fun takeExpectedLoadMillis(): Long = expectedLoadMillis.also {
        expectedLoadMillis =
            IDLE_STORE_LOAD_MILLIS + ((it - IDLE_STORE_LOAD_MILLIS) * LOAD_EXCESS_DECAY_RATIO).toLong()
    }

    /** The engine accepted an order, so it never carries out earlier orders with an unknown outcome. */
    private fun orderAccepted() {
        acceptedOrders = acceptedOrders?.plus(1)
        resolveUncertainOrders()
        refusedUnloads = 0
    }

    private fun resolveUncertainOrders() {
        uncertainLoad = null
        uncertainUnload?.let { held[it]?.isUnloading = false }
        uncertainUnload = null
    }

    private fun alreadyDone(order: EngineOrder, now: Long) {
        orderAccepted()
        when (order) {
            is EngineOrder.LoadModel -> models = models + order.model
            is EngineOrder.LoadAdapter -> {
                loadDemand.remove(order.adapter)
                val version = maxOf(1, requiredVersions[order.adapter] ?: 1)
                val uses = held[order.adapter]?.uses.orEmpty()
                held[order.adapter] = HeldAdapter(version, now, now).also { it.uses += uses }
                awaitReport(now)
            }
            is EngineOrder.UnloadAdapter -> {
                held.remove(order.adapter)
                recentlyUnloaded += order.adapter
                if (recentlyUnloaded.size > MAXIMUM_CACHED_ADAPTERS) recentlyUnloaded.remove(recentlyUnloaded.first())
            }
        }
    }

    private fun unknown(order: EngineOrder, now: Long) {
        nextOrderAt = now + UNKNOWN_OUTCOME_RETRY_MILLIS
        when (order) {
            is EngineOrder.LoadAdapter -> uncertainLoad = order.adapter
            is EngineOrder.UnloadAdapter -> {
                held[order.adapter]?.isUnloading = true
                uncertainUnload = order.adapter
            }
            is EngineOrder.LoadModel -> Unit
        }
    }

    private fun hasFreeSlot(model: String): Boolean {
        val uncertain = if (uncertainLoad != null && uncertainLoad !in held) 1 else 0
        return held.size + uncertain < profile.adapterCapacity(model)
    }

    /** The least recently used adapter of those that no request uses. */
    private fun evictionCandidate(now: Long): AdapterName? = held.entries
        .filter { (_, present) -> present.isEvictable(now) }
        .minByOrNull { it.value.usedAt }?.key
}
