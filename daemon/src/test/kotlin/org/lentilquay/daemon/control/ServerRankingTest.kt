package org.lentilquay.daemon.control

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.lentilquay.coordination.rendezvousRanking
import org.lentilquay.daemon.settings.PlacementOrder
import org.lentilquay.daemon.settings.PlacementSettings
import org.lentilquay.state.BackendServer
import org.lentilquay.state.DomainId
import org.lentilquay.state.ServerId
import org.lentilquay.state.ServerKind

class ServerRankingTest : FunSpec({
    val servers = (1..8).map {
        val id = ServerId("engine-$it")
        BackendServer(id, ServerKind.ENGINE, "127.0.0.1:$it", DomainId("d"), "base", true, 16, 32, 4)
    }
    val byHash = rendezvousRanking("adapter@1", servers) { it.id.text }

    // Guards against a changed default of the setting, which only experiments may change.
    test("the default ranking is the home server and the next two in rank") {
        serverRanking(PlacementSettings().order).ranked("adapter@1", servers) shouldContainExactly byHash.take(3)
    }

    // Guards against baselines that spill over, which common load balancers do not.
    test("baselines choose one server, or none if there are no servers") {
        PlacementOrder.entries.filter { it != PlacementOrder.HOME_FIRST }.forEach {
            serverRanking(it).ranked("adapter@1", servers).size shouldBe 1
            serverRanking(it).ranked("adapter@1", emptyList()).size shouldBe 0
        }
        serverRanking(PlacementOrder.CONSISTENT_HASHING).ranked("adapter@1", servers) shouldContainExactly
            byHash.take(1)
    }

    // Guards against a random ranking that prefers some servers.
    test("the random ranking uses all servers") {
        val ranking = serverRanking(PlacementOrder.RANDOM)
        val chosen = List(800) { ranking.ranked("adapter@1", servers).single().id }.groupingBy { it }.eachCount()
        servers.forEach { (chosen[it.id] ?: 0) shouldBeGreaterThan 50 }
    }

    // Guards against counts that are not decremented, which would exclude a server permanently.
    test("the least outstanding ranking chooses the server with the fewest requests as they start and end") {
        val ranking = serverRanking(PlacementOrder.LEAST_OUTSTANDING)
        val two = servers.take(2)
        ranking.started(two[0].id)
        List(20) { ranking.ranked("adapter@1", two).single() }.distinct() shouldContainExactly listOf(two[1])
        repeat(2) { ranking.started(two[1].id) }
        List(20) { ranking.ranked("adapter@1", two).single() }.distinct() shouldContainExactly listOf(two[0])
        repeat(2) { ranking.ended(two[1].id) }
        List(20) { ranking.ranked("adapter@1", two).single() }.distinct() shouldContainExactly listOf(two[1])
    }
})
