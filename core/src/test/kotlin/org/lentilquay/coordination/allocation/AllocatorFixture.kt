/*
 * A ServerAllocator with a manual clock. The engine's clock runs [ENGINE_CLOCK_OFFSET_MILLIS] ahead.
 */
package org.lentilquay.coordination.allocation

import org.lentilquay.protocol.EngineState
import org.lentilquay.protocol.LoadReport
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.protocol.Priority
import org.lentilquay.protocol.RunOutcome
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.BackendServer
import org.lentilquay.state.DomainId
import org.lentilquay.state.ServerId
import org.lentilquay.state.ServerKind
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId

internal const val ENGINE_CLOCK_OFFSET_MILLIS = 1_000_000L
internal val REQUESTER = VmId("vm-front")

internal fun adapter(number: Int) = AdapterVersion("adapter-$number", 1)

internal fun engineServer(
    slots: Int = 4,
    maximumInFlight: Int = 12,
    coldInFlight: Int = 3,
    checksFencing: Boolean = true,
): BackendServer {
    val (id, domain) = ServerId("server") to DomainId("domain")
    return BackendServer(
        id, ServerKind.ENGINE, "127.0.0.1:1", domain, "base", checksFencing, slots, maximumInFlight, coldInFlight,
    )
}

internal fun engineReport(
    server: BackendServer,
    incarnation: Long,
    asOf: Long,
    state: EngineState,
    loaded: Collection<AdapterVersion>,
    running: Map<String, Int>,
): LoadReport {
    val names = loaded.map { it.engineName }
    return LoadReport(incarnation, asOf, state, server.adapterSlots, names, running, server.maximumInFlight)
}

internal class AllocatorFixture(
    val server: BackendServer = engineServer(),
    inherited: InheritedState = InheritedState(),
) {
    val allocator = serverAllocator(server, fence = 3, acquiredAt = 0, inherited = inherited)
    var now = 0L

    /** Brings the allocator past its takeover wait, with a valid claim and a warm report of [loaded] adapters. */
    fun settled(vararg loaded: Int): AllocatorFixture {
        now = 5_000
        claim()
        now += 1
        report(*loaded)
        if (!server.checksFencing) allocator.allVmsAcknowledged(now)
        return this
    }

    fun claim() = allocator.claimSucceeded(now, now + ENGINE_CLOCK_OFFSET_MILLIS, now)

    fun report(
        vararg loaded: Int,
        state: EngineState = EngineState.WARM,
        incarnation: Long = 1,
        takenAt: Long = now,
        running: Map<Int, Int> = emptyMap(),
    ): List<AllocatorEffect> {
        val users = running.mapKeys { adapter(it.key).engineName }
        val asOf = takenAt + ENGINE_CLOCK_OFFSET_MILLIS
        return allocator.report(engineReport(server, incarnation, asOf, state, loaded.map(::adapter), users), now)
    }

    fun reserve(
        id: String,
        adapter: Int? = null,
        team: String = "team",
        tokens: Long = 100,
        priority: Priority = Priority.SHORT,
        wait: Long = 3_000,
        spill: Long = 100_000,
        suspect: String? = null,
        fingerprint: String = id,
    ): ReserveDecision = allocator.reserve(
        PeerRequest.Reserve(
            id, server.id, adapter?.let(::adapter), TeamId(team), tokens, priority, wait, spill, suspect, fingerprint,
        ),
        REQUESTER,
        now,
    )

    /** Reserves and confirms [count] requests for [adapter]. */
    fun occupy(count: Int, adapter: Int? = null, prefix: String = "busy") = (0 until count).map { index ->
        val id = "$prefix-$index"
        check(reserve(id, adapter) is ReserveDecision.Granted)
        allocator.progress(id, 1, now)
        id
    }

    fun release(id: String, outcome: RunOutcome = RunOutcome.COMPLETED, incarnation: Long? = null) =
        allocator.release(id, outcome, incarnation, now)

    fun tick() = allocator.tick(now)

    fun snapshot() = allocator.snapshot(now)
}
