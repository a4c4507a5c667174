package org.lentilquay.daemon.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.lentilquay.coordination.gateway.TableReaders
import org.lentilquay.daemon.control.PeerCaller
import org.lentilquay.daemon.control.tolerantJson
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.protocol.RowChange
import org.lentilquay.state.Incarnation
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.MemberRecord
import org.lentilquay.transport.peer.PeerCallResult
import org.lentilquay.transport.platform.ReadResult
import kotlin.time.Duration.Companion.seconds

private val OPERATOR = WatchedTableName.OPERATOR
private fun millis() = System.nanoTime() / 1_000_000

private class Fixture {
    @Volatile
    var now = 100_000L
    val store = ReturningStore({ now }, era = 3)
    val table = ReturningTable(store)

    @Volatile
    var written = emptySet<String>()

    /** Writes version 1 of a row, and then three more that a return from a copy of 5 s ago loses. */
    fun write() {
        store.put("operator/config", "1")
        now += 10_000
        (2..4).forEach { store.put("operator/config", "$it") }
    }

    suspend fun watching(
        source: WatchSource = table,
        peer: () -> PeerAnswer.Watched? = { null },
        block: suspend CoroutineScope.(WatchLoop) -> Unit,
    ) = coroutineScope {
        val loop = WatchLoop(OPERATOR, source, { _, _ -> peer() }, ::millis, { table.latestEra }) { _, keys ->
            written = keys
        }
        val job = launch { loop.run() }
        eventually(5.seconds) { loop.copy.shouldNotBeNull() }
        block(loop)
        job.cancel()
    }
}

/** A source that reads [all] and then answers [changes]. */
private class Scripted(val all: WatchedRows, val changes: WatchResult) : WatchSource {
    override suspend fun readAll(table: WatchedTableName) = ReadResult.Read(all, all.era)

    override suspend fun changes(table: WatchedTableName, after: Long, waitMillis: Long) = changes
}

private class Vms : AutoCloseable {
    private val control = ControlThread()
    val store = ReturningStore(::millis, era = 3)
    val names = List(8) { VmId("vm-$it") }
    private val plans = names.associateWith { vm ->
        TableReaders(vm, EAST).apply { membersChanged(names.associateWith { EAST }) }
    }
    val tables = names.associateWith { ReturningTable(store) }
    val sources: Map<VmId, SharedWatchSource> = names.associateWith { vm ->
        val table = tables.getValue(vm)
        SharedWatchSource(plans.getValue(vm), table, table, { Peers(vm) }, control, ::millis)
    }
    val readers = names.filter { plans.getValue(it).readerFor(OPERATOR.text, millis()) == null }
    val followers = names - readers.toSet()

    private inner class Peers(override val own: VmId) : PeerCaller {
        override suspend fun call(vm: VmId, request: PeerRequest, timeoutMillis: Long) =
            PeerCallResult.Answered(sources.getValue(vm).answer(request as PeerRequest.FollowTable))
    }

    override fun close() = control.close()
}

/** Guards against copies of tables that stay in a former era of the table service or return to it. */
class WatchAfterReturnTest : FunSpec({
    test("a watch that is ahead of the table service reads the table again") {
        Fixture().run {
            write()
            watching { loop ->
                store.returnFromCopy(5_000)
                eventually(5.seconds) { loop.copy shouldBe WatchedRows(1, mapOf("config" to "1"), 4) }
            }
        }
    }

    test("a watch whose version has been assigned to another row reads the table again") {
        Fixture().run {
            write()
            watching { loop ->
                table.isCutOff = true
                store.returnFromCopy(5_000)
                (1..9).forEach { store.put("servers/s$it", "x") }
                table.isCutOff = false
                eventually(5.seconds) { loop.copy shouldBe WatchedRows(10, mapOf("config" to "1"), 4) }
            }
        }
    }

    test("after two returns 1 s apart a watch has the rows of the second copy") {
        Fixture().run {
            write()
            watching { loop ->
                store.returnFromCopy(5_000)
                store.put("operator/config", "5")
                now += 1_000
                store.returnFromCopy(2_000)
                eventually(5.seconds) { loop.copy shouldBe WatchedRows(1, mapOf("config" to "1"), 5) }
                store.put("operator/config", "6")
                eventually(5.seconds) { loop.copy shouldBe WatchedRows(2, mapOf("config" to "6"), 5) }
                written shouldBe setOf("config")
            }
        }
    }

    test("changes of a former era are dropped") {
        Fixture().run {
            val all = WatchedRows(5, mapOf("a" to "1"), 4)
            val late = WatchResult.Changes(9, mapOf("a" to "0"), era = 3)
            watching(Scripted(all, late)) { loop ->
                delay(600)
                loop.copy shouldBe all
            }
        }
    }

    listOf(
        Triple("of a former era is dropped", 3L, 5L),
        Triple("of a newer era is taken whatever its version", 5L, 2L),
    ).forEach { (name, era, version) ->
        test("during an outage, the copy of a peer $name") {
            Fixture().run {
                val all = WatchedRows(4, mapOf("a" to "1"), 4)
                val copy = PeerAnswer.Watched(version, mapOf("a" to "2"), era)
                watching(Scripted(all, WatchResult.Unavailable("away")), { copy }) { loop ->
                    delay(600)
                    loop.copy shouldBe if (era > 4) WatchedRows(version, mapOf("a" to "2"), era) else all
                }
            }
        }
    }

    test("a reader answers no follower of another era, and the follower reads the table service itself") {
        Vms().use { fixture ->
            (1..5).forEach { fixture.store.put("operator/a", "$it") }
            fixture.names.forEach { fixture.sources.getValue(it).readAll(OPERATOR) }
            // The readers know the new era; the version of the follower is one of the former era.
            fixture.store.returnFromCopy(0)
            fixture.readers.forEach { fixture.sources.getValue(it).readAll(OPERATOR) }
            val follower = fixture.followers.first()
            val calls = fixture.tables.getValue(follower).calls
            val answer = fixture.sources.getValue(follower).changes(OPERATOR, 4, 0, era = 3)
            answer shouldBe WatchResult.Changes(5, mapOf("a" to "5"), era = 4)
            fixture.tables.getValue(follower).calls shouldBe calls + 1
            // In the same era, the follower asks a reader.
            val relayed = fixture.sources.getValue(fixture.followers.last()).changes(OPERATOR, 5, 0, era = 4)
            relayed shouldBe WatchResult.Changes(5, emptyMap(), isRelayed = true, era = 4)
        }
    }

    test("a cache drops what is read in a former era, and holds no changes of two eras") {
        val cache = WatchCache { 0 }
        cache.replace(WatchedRows(5, mapOf("a" to "1"), 3), 50)
        cache.change(5, mapOf("b" to RowChange("2", 9)), 9, 60, era = 4)
        cache.changesAfter(5, 0, era = 3) shouldBe null
        cache.changesAfter(5, 0, era = 4) shouldBe null
        cache.replace(WatchedRows(2, mapOf("a" to "3"), 4), 70)
        cache.replace(WatchedRows(8, mapOf("a" to "1"), 3), 80)
        cache.changesAfter(2, 0, era = 4) shouldBe PeerAnswer.TableChanges(2, 70, emptyMap(), era = 4)
        cache.changesAfter(8, 0, era = 3) shouldBe null
    }

    test("the reader of member records takes the records of the copy, with their versions") {
        Vms().use { fixture ->
            val own = fixture.followers.first()
            val table = fixture.tables.getValue(own)
            val records = MemberRecordReader(table, table, fixture.sources.getValue(own))
            fun write(vm: String, renewal: Long) = fixture.store.put(
                "members/$vm",
                tolerantJson.encodeToString(
                    MemberRecord.serializer(),
                    MemberRecord("", EAST, Incarnation(1), renewal, false, emptyList(), tableMillis = 1),
                ),
            )
            write("a", 1)
            Thread.sleep(50)
            (2L..9L).forEach { write("a", it) }
            write("b", 1)
            records.read(mayFollow = false)?.members?.keys shouldBe setOf(VmId("a"), VmId("b"))
            fixture.store.returnFromCopy(25)
            write("c", 1)
            table.item("x/y")
            val read = records.read(mayFollow = true).shouldNotBeNull()
            read.era shouldBe 4
            read.isOwn shouldBe true
            read.members.mapValues { it.value.record.renewal to it.value.version } shouldBe
                mapOf(VmId("a") to (1L to 1L), VmId("c") to (1L to 2L))
        }
    }
})
