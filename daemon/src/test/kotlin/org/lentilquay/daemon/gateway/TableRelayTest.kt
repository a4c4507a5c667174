package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.lentilquay.coordination.gateway.READERS_PER_DOMAIN
import org.lentilquay.coordination.gateway.TableReaders
import org.lentilquay.daemon.control.PeerCaller
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.VmId
import org.lentilquay.transport.peer.PeerCallResult
import org.lentilquay.transport.platform.ReadResult
import java.util.concurrent.atomic.AtomicInteger

private const val VMS = 20
private val WHOLE = WatchedRows(5, mapOf("a" to "1"))
private val CHANGE = WatchResult.Changes(6, mapOf("a" to "2"))

/** The store and the VMs of one failure domain; [lost] VMs answer nobody, [cutOff] VMs do not reach the store. */
private class RelayWorld : AutoCloseable {
    val calls = AtomicInteger()
    val lost = HashSet<VmId>()
    val cutOff = HashSet<VmId>()
    val vms = List(VMS) { VmId("vm-$it") }
    private val control = ControlThread()
    private val now = { System.nanoTime() / 1_000_000 }
    private val plans = vms.associateWith { vm ->
        TableReaders(vm, EAST).apply { membersChanged(vms.associateWith { EAST }) }
    }
    val relays: Map<VmId, TableRelay> = vms.associateWith { vm ->
        TableRelay(plans.getValue(vm), Store(vm), NoClock, { Peers(vm) }, control, now)
    }
    val readers get() = vms.filter { plans.getValue(it).readerFor(WatchedTableName.SERVERS.text, now()) == null }

    private inner class Store(private val vm: VmId) : WatchSource {
        override suspend fun readAll(table: WatchedTableName): ReadResult<WatchedRows> {
            calls.incrementAndGet()
            return if (vm in cutOff) ReadResult.Unavailable("cut off") else ReadResult.Read(WHOLE)
        }

        override suspend fun changes(table: WatchedTableName, after: Long, waitMillis: Long): WatchResult {
            calls.incrementAndGet()
            return if (vm in cutOff) WatchResult.Unavailable("cut off") else CHANGE
        }
    }

    private inner class Peers(override val own: VmId) : PeerCaller {
        override suspend fun call(vm: VmId, request: PeerRequest, timeoutMillis: Long): PeerCallResult =
            if (vm in lost) {
                PeerCallResult.TimedOut
            } else {
                PeerCallResult.Answered(relays.getValue(vm).answer(request as PeerRequest.FollowTable))
            }
    }

    suspend fun readAll() = vms.forEach { relays.getValue(it).readAll(WatchedTableName.SERVERS) }

    /** What each VM learns, readers first. */
    suspend fun changes(): List<WatchResult> =
        (readers + (vms - readers.toSet())).map { relays.getValue(it).changes(WatchedTableName.SERVERS, 5, 0) }

    override fun close() = control.close()
}

/**
 * Pattern: all VMs of a large failure domain follow a table that changes all the time. Guards against calls to the
 * store that grow with the number of VMs, and against VMs that learn nothing when their readers are lost or cut off.
 */
class TableRelayTest : FunSpec({
    test("only the readers ask the store, and all VMs learn of the change") {
        RelayWorld().use { world ->
            world.readAll()
            world.calls.set(0)
            world.changes().map { (it as WatchResult.Changes).rows }.toSet() shouldBe setOf(CHANGE.rows)
            world.calls.get() shouldBeLessThanOrEqual READERS_PER_DOMAIN
        }
    }

    test("a reader that has lost the store and does not know it delays a change by one question") {
        RelayWorld().use { world ->
            world.readAll()
            val aware = world.readers.drop(1)
            aware.forEach { world.relays.getValue(it).changes(WatchedTableName.SERVERS, 5, 0) }
            val follower = world.relays.getValue((world.vms - world.readers.toSet()).first())
            val answers = List(2) { follower.changes(WatchedTableName.SERVERS, 5, 0) as WatchResult.Changes }
            answers.map { it.rows } shouldContain CHANGE.rows
        }
    }

    listOf<Pair<String, (RelayWorld, List<VmId>) -> Unit>>(
        "do not answer" to { world, readers -> world.lost += readers },
        "are cut off from the store" to { world, readers -> world.cutOff += readers },
    ).forEach { (fault, cause) ->
        test("followers ask the store when their readers $fault") {
            RelayWorld().use { world ->
                world.readAll()
                val readers = world.readers
                cause(world, readers)
                val answers = world.changes()
                answers.drop(readers.size).toSet() shouldBe setOf(CHANGE)
            }
        }
    }
})
