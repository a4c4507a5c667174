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

private const val TICK = 100L

private fun listOfVersion(version: Int) =
    listOf(ListedVm("vm-$version", "10.0.0.1:1", "d", ListedVmKind.VM, ListedVmState.LIVE))

/** VMs that probe one another every 400 ms and read a list; the version that each has read last is in [known]. */
private class Readers(private val size: Int, seed: Int) {
    private val random = Random(seed)
    private val readings = List(size) { VmListRefresh(Random(random.nextInt())) }
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

    fun run(millis: Long) = repeat((millis / TICK).toInt()) {
        now += TICK
        repeat(size, ::tick)
    }

    private fun tick(vm: Int) {
        val mine = readings[vm]
        if (now >= nextProbeAt[vm]) {
            nextProbeAt[vm] += 400
            val other = (vm + 1 + random.nextInt(size - 1)) % size
            if (connected[vm] && connected[other]) {
                readings[other].peerViewReceived(mine.view(now), now)
                mine.peerViewReceived(readings[other].view(now), now)
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
    // Guards against a list that every VM reads all the time, and against changes that VMs learn of too late.
    test("370 VMs read seldom, rely on no reading older than 3 s, and learn of a change within 4 s") {
        val fleet = Readers(370, 1).apply { run(10_000) }
        fleet.reads = 0
        fleet.longestAge = 0
        fleet.run(60_000)
        fleet.reads / 60.0 shouldBeLessThan 15.0
        fleet.longestAge shouldBeLessThanOrEqual MAXIMUM_LIST_AGE_MILLIS
        repeat(5) {
            fleet.change()
            val from = fleet.now
            while (fleet.known.distinct().size > 1 || fleet.known[0] != it + 1) fleet.run(TICK)
            fleet.now - from shouldBeLessThanOrEqual 4_000
            fleet.run(5_000)
        }
    }

    // Guards against a VM that relies for ever on what it read before it was cut off.
    test("a VM without peers reads the list itself") {
        val fleet = Readers(50, 2).apply { run(10_000) }
        fleet.connected[7] = false
        fleet.change()
        fleet.run(3_000)
        fleet.known[7] shouldBe 1
    }

    // Guards against a fleet of today's size that learns of changes later than it did.
    test("a VM of a small fleet reads every 2 s") {
        val fleet = Readers(8, 3).apply { run(20_000) }
        fleet.reads.toLong() shouldBeInRange 78L..88L
    }

    // Guards against readings without end when VMs are shown different lists in turn.
    test("contradictions cause no more than a reading every 2 s") {
        val readings = VmListRefresh(Random(4))
        var reads = 0L
        repeat(1_000) { step ->
            val now = step * TICK
            readings.peerViewReceived(VmListDigest(-1, 0), now)
            if (readings.isDue(now)) {
                readings.readStarted(now, 370)
                readings.readFinished(listOfVersion(0), now)
                reads++
            }
        }
        reads shouldBeLessThan 51
    }

    // Guards against old news that a VM finds in its sockets after a pause and takes for new.
    test("after a pause, views of peers do not count for a second") {
        val readings = VmListRefresh(Random(5))
        readings.isDue(0)
        readings.readStarted(0, 370)
        readings.readFinished(listOfVersion(0), 0)
        val view = readings.view(0)
        readings.isDue(20_000)
        readings.peerViewReceived(view, 20_100)
        readings.isDue(20_200) shouldBe true
        readings.peerViewReceived(view, 21_100)
        readings.isDue(21_100) shouldBe false
    }
})
