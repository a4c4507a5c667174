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
private val INITIAL = WatchedRows(5, mapOf("a" to "1"))
private val CHANGE = WatchResult.Changes(6, mapOf("a" to "2"))

/** The VMs of one failure domain: [lost] ones answer no calls, [cutOff] ones do not reach the table service. */
private class WatchFixture : AutoCloseable {
    val calls = AtomicInteger()
    val lost = HashSet<VmId>()
    val cutOff = HashSet<VmId>()
    val vms = List(VMS) { VmId("vm-$it") }
    private val control = ControlThread()
    private val now = { System.nanoTime() / 1_000_000 }
    private val plans = vms.associateWith { vm ->
        TableReaders(vm, EAST).apply { membersChanged(vms.associateWith { EAST }) }
    }
    val sources: Map<VmId, SharedWatchSource> = vms.associateWith { vm ->
        SharedWatchSource(plans.getValue(vm), TableStub(vm), NoClock, { Peers(vm) }, control, now)
    }
    val readers get() = vms.filter { plans.getValue(it).readerFor(WatchedTableName.SERVERS.text, now()) == null }

    private inner class TableStub(private val vm: VmId) : WatchSource {
        override suspend fun readAll(table: WatchedTableName): ReadResult<WatchedRows> {
            calls.incrementAndGet()
            return if (vm in cutOff) ReadResult.Unavailable("cut off") else ReadResult.Read(INITIAL)
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
                PeerCallResult.Answered(sources.getValue(vm).answer(request as PeerRequest.FollowTable))
            }
    }

    suspend fun readAll() = vms.forEach { sources.getValue(it).readAll(WatchedTableName.SERVERS) }

    /** The changes that each VM reads, readers first. */
    suspend fun changes(): List<WatchResult> =
        (readers + (vms - readers.toSet())).map { sources.getValue(it).changes(WatchedTableName.SERVERS, 5, 0) }

    override fun close() = control.close()
}

/**
 * Guards against calls to the table service that grow with the number of VMs that watch a table, and against followers
 * that get no changes when their readers are lost or cut off.
 */
class SharedWatchSourceTest : FunSpec({
    test("only readers call the table service, and all VMs get the change") {
        WatchFixture().use { fixture ->
            fixture.readAll()
            fixture.calls.set(0)
            fixture.changes().map { (it as WatchResult.Changes).rows }.toSet() shouldBe setOf(CHANGE.rows)
            fixture.calls.get() shouldBeLessThanOrEqual READERS_PER_DOMAIN
        }
    }

    test("a follower of a reader with a stale cache gets the change with its second request at the latest") {
        WatchFixture().use { fixture ->
            fixture.readAll()
            val aware = fixture.readers.drop(1)
            aware.forEach { fixture.sources.getValue(it).changes(WatchedTableName.SERVERS, 5, 0) }
            val follower = fixture.sources.getValue((fixture.vms - fixture.readers.toSet()).first())
            val answers = List(2) { follower.changes(WatchedTableName.SERVERS, 5, 0) as WatchResult.Changes }
            answers.map { it.rows } shouldContain CHANGE.rows
        }
    }

    listOf<Pair<String, (WatchFixture, List<VmId>) -> Unit>>(
        "do not answer" to { fixture, readers -> fixture.lost += readers },
        "are cut off from the table service" to { fixture, readers -> fixture.cutOff += readers },
    ).forEach { (fault, cause) ->
        test("followers call the table service when their readers $fault") {
            WatchFixture().use { fixture ->
                fixture.readAll()
                val readers = fixture.readers
                cause(fixture, readers)
                val answers = fixture.changes()
                answers.drop(readers.size).toSet() shouldBe setOf(CHANGE)
            }
        }
    }
})
