package org.lentilquay.coordination.membership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.lentilquay.protocol.ListedVm
import org.lentilquay.protocol.ListedVmKind
import org.lentilquay.protocol.ListedVmState
import org.lentilquay.protocol.VmListDigest
import kotlin.random.Random

private const val TICK_MILLIS = 100L

private fun listOfVersion(version: Int) =
    listOf(ListedVm("vm-$version", "10.0.0.1:1", "d", ListedVmKind.VM, ListedVmState.LIVE))

/** VMs that probe one another every 400 ms and read a VM list. [known] is the version that each VM read last. */
private class SimulatedFleet(private val size: Int, seed: Int) {
    private val random = Random(seed)
    private val refreshes = List(size) { VmListRefresh(Random(random.nextInt())) }
    private val nextProbeAt = LongArray(size) { random.nextLong(400) }
    private val readAt = LongArray(size)
    private var version = 0
    val known = IntArray(size)
    val connected = BooleanArray(size) { true }
    var now = 0L
    var reads = 0
    var longestAge = 0L

    fun change() {
        version++
    }

    fun run(millis: Long) = repeat((millis / TICK_MILLIS).toInt()) {
        now += TICK_MILLIS
        repeat(size, ::tick)
    }

    private fun tick(vm: Int) {
        val mine = refreshes[vm]
        if (now >= nextProbeAt[vm]) {
            nextProbeAt[vm] += 400
            val other = (vm + 1 + random.nextInt(size - 1)) % size
            if (connected[vm] && connected[other]) {
                refreshes[other].peerViewReceived(mine.view(now), now)
                mine.peerViewReceived(refreshes[other].view(now), now)
            }
        }
        mine.view(now)?.let { longestAge = maxOf(longestAge, it.ageMillis) }
        if (!mine.isDue(now)) return
        mine.readStarted(now, size)
        mine.readFinished(listOfVersion(version), now)
        known[vm] = version
        readAt[vm] = now
        reads++
    }
}

class VmListRefreshTest : FunSpec({
    // Guards against a rate of reads that grows with the fleet, and against changes that become known too late.
    test("370 VMs read the list less than 15 times a second, trust no read over 3 s old, and see a change within 4 s") {
        val fleet = SimulatedFleet(370, 1).apply { run(10_000) }
        fleet.reads = 0
        fleet.longestAge = 0
        fleet.run(60_000)
        fleet.reads / 60.0 shouldBeLessThan 15.0
        fleet.longestAge shouldBeLessThanOrEqual MAXIMUM_LIST_AGE_MILLIS
        repeat(5) {
            fleet.change()
            val from = fleet.now
            while (fleet.known.distinct().size > 1 || fleet.known[0] != it + 1) fleet.run(TICK_MILLIS)
            fleet.now - from shouldBeLessThanOrEqual 4_000
            fleet.run(5_000)
        }
    }

    // Guards against a partitioned VM that relies on its last read for ever.
    test("a VM without peers reads the list itself within 3 s") {
        val fleet = SimulatedFleet(50, 2).apply { run(10_000) }
        fleet.connected[7] = false
        fleet.change()
        fleet.run(3_000)
        fleet.known[7] shouldBe 1
    }

    // Guards against a small fleet that learns of changes later than with independent reads.
    test("each VM of a fleet of 8 reads the list every 2 s") {
        val fleet = SimulatedFleet(8, 3).apply { run(20_000) }
        fleet.reads.toLong() shouldBeInRange 78L..88L
    }

    // Guards against continuous reads when the platform returns different lists to different VMs.
    test("contradicting views of peers cause at most one read every 2 s") {
        val refresh = VmListRefresh(Random(4))
        var reads = 0L
        repeat(1_000) { step ->
            val now = step * TICK_MILLIS
            refresh.peerViewReceived(VmListDigest(-1, 0), now)
            if (refresh.isDue(now)) {
                refresh.readStarted(now, 370)
                refresh.readFinished(listOfVersion(0), now)
                reads++
            }
        }
        reads shouldBeLessThan 51
    }

    // Guards against views that were in the sockets during a pause and count as recent after it.
    test("views of peers are ignored for a second after a pause") {
        val refresh = VmListRefresh(Random(5))
        refresh.isDue(0)
        refresh.readStarted(0, 370)
        refresh.readFinished(listOfVersion(0), 0)
        val view = refresh.view(0)
        refresh.isDue(20_000)
        refresh.peerViewReceived(view, 20_100)
        refresh.isDue(20_200) shouldBe true
        refresh.peerViewReceived(view, 21_100)
        refresh.isDue(21_100) shouldBe false
    }
})
