/*
 * A service whose servers come and go as they are ordered, for tests of the decision about their number. Demand is
 * given as requests that callers in each failure domain would run at a time; those without a batch slot wait.
 */
package org.lentilquay.coordination.gateway.scale

import org.lentilquay.state.DomainId

internal val A = DomainId("a")
internal val B = DomainId("b")
internal val C = DomainId("c")
internal const val BOOT_MILLIS = 8_000L
internal const val SLOTS = 10
private const val STEP_MILLIS = 1_000L
private const val REQUEST_SECONDS = 2.0

internal class ScaleSimulation(
    private val domains: List<DomainId>,
    start: Int,
    private val minimum: Int = 2,
    private val maximum: Int = 40,
    private val demand: (DomainId, Long) -> Double,
) {
    private val ready = domains.associateWithTo(LinkedHashMap()) { start }
    private val coming = ArrayList<Pair<DomainId, Long>>()
    private val orders = HashMap<DomainId, ScaleOrder>()
    private var decision = ScaleDecision()
    private var waitingMillis = 0L
    var now = 0L
        private set
    var places = AdapterPlaces(0, 0)
    var drained = emptySet<DomainId>()

    /** The failure domains in which no ordered server appears. */
    var barren = emptySet<DomainId>()

    /** How old the inputs are. */
    var ageMillis = 0L

    /** The longest time for which some request waited. */
    var longestWaitMillis = 0L
        private set

    /** The numbers decided at each step. */
    val decided = ArrayList<ScaleNumbers>()

    fun numbers(domain: DomainId): List<Int> = decided.map { it.domains.getValue(domain).wanted }

    fun total(): Int = decided.last().domains.values.sumOf { it.wanted }

    fun changeHolder() {
        decision = ScaleDecision()
    }

    fun runUntil(end: Long) {
        while (now < end) step()
    }

    private fun step() {
        now += STEP_MILLIS
        coming.filter { it.second <= now && it.first !in barren }.forEach {
            coming.remove(it)
            ready.merge(it.first, 1, Int::plus)
        }
        val numbers = decision.decide(inputs(), now)
        decided += numbers
        numbers.domains.filterValues { it.isChanged }.forEach { (domain, number) -> order(domain, number.wanted) }
    }

    private fun order(domain: DomainId, number: Int) {
        orders[domain] = ScaleOrder(number, now)
        while (present(domain) < number) coming += domain to now + BOOT_MILLIS
        while (present(domain) > number) {
            val unborn = coming.indexOfLast { it.first == domain }
            if (unborn >= 0) coming.removeAt(unborn) else ready.merge(domain, -1, Int::plus)
        }
    }

    private fun present(domain: DomainId) = ready.getValue(domain) + coming.count { it.first == domain }

    private fun inputs(): ScaleInputs {
        val offered = domains.associateWith { demand(it, now) }
        val open = domains.filter { it !in drained }
        val capacity = open.sumOf { ready.getValue(it) } * SLOTS
        val running = minOf(offered.values.sum(), capacity.toDouble())
        val waiting = offered.values.sum() - running
        waitingMillis = if (waiting > 0) waitingMillis + STEP_MILLIS else 0
        longestWaitMillis = maxOf(longestWaitMillis, waitingMillis)
        val at = now - ageMillis
        return ScaleInputs(
            ScaleLimits(minimum, maximum, BOOT_MILLIS),
            SLOTS,
            domains.associateWith { domain ->
                val slots = if (domain in open) ready.getValue(domain) * SLOTS else 0
                DomainInputs(
                    ServerCounts(ready.getValue(domain)),
                    EngineOccupancy(if (capacity > 0) (running * slots / capacity).toInt() else 0),
                    CallerDemand(offered.getValue(domain) / REQUEST_SECONDS, (waiting / domains.size).toInt()),
                    domain in drained,
                    orders[domain],
                )
            },
            places,
            InputTimes(at, at, at, at, at),
        )
    }
}
