package org.lentilquay.coordination.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.lentilquay.state.ServerId

/** Guards against requests to servers that said that they leave or pause, and against exclusions that do not end. */
class ServerNoticesTest : FunSpec({
    val first = server("s1")
    val second = first.copy(startedAtEpochMillis = 2)

    test("a server that said that it is leaving gets no more requests, and only its first answer is news") {
        val notices = ServerNotices()
        notices.recordLeaving(first) shouldBe true
        notices.recordLeaving(first) shouldBe false
        notices.isOpen(first, Long.MAX_VALUE) shouldBe false
        notices.observedLeaving shouldBe mapOf(first.id to 1L)
    }

    test("a process that starts again under the same id is not bound by the notices of the former one") {
        val notices = ServerNotices()
        notices.recordLeaving(first)
        notices.isOpen(second, 0) shouldBe true
        notices.retain(mapOf(second.id to second))
        notices.observedLeaving shouldBe emptyMap()
        notices.recordLeaving(second)
        // A late answer of the former process must not replace the notice of its successor.
        notices.recordRefusal(first, 5_000, 0)
        notices.isOpen(second, 10_000) shouldBe false
    }

    test("a pause ends at its time, and a shorter one does not end it earlier") {
        val notices = ServerNotices()
        notices.recordRefusal(first, 5_000, 0) shouldBe true
        notices.recordRefusal(first, 1_000, 1_000) shouldBe false
        notices.isOpen(first, 4_999) shouldBe false
        notices.reopensAt(listOf(first, server("s2")), 0) shouldBe 5_000
        notices.isOpen(first, 5_000) shouldBe true
        notices.reopensAt(listOf(first), 5_000) shouldBe null
    }

    // Two VMs hear different things; each must know both, and none may publish what it has only read.
    test("a server that another VM saw leaving gets no requests and is not published again") {
        val notices = ServerNotices()
        notices.recordPublishedLeaving(first.id, 1)
        notices.isOpen(first, 0) shouldBe false
        notices.observedLeaving shouldBe emptyMap()
        notices.retain(emptyMap())
        notices.isOpen(first, 0) shouldBe true
    }

    test("requests go to the servers that stay, and wait for a pause only where there are no others") {
        val notices = ServerNotices()
        val servers = listOf("d0", "d1", "d2").map { server(it, service = DESK) }
        val selection = ServerSelection(vm(1), EAST, ServerHealth(), ColdStartLimit(vm(1)), notices)
        selection.operatorChanged(operator(), 0)
        selection.serversChanged(servers.associateBy { it.id }, 0)
        fun choose(now: Long) = selection.choose(ServerRequirements(DESK, null, null), now)
        notices.recordLeaving(servers[0])
        notices.recordRefusal(servers[1], 3_000, 0)
        repeat(20) { choose(0) shouldBe ServerChoice.Send(servers[2]) }
        notices.recordRefusal(servers[2], 7_000, 0)
        (choose(0) as ServerChoice.Unavailable).reopensAt shouldBe 3_000
        choose(3_000) shouldBe ServerChoice.Send(servers[1])
    }

    test("what other VMs saw is taken from their member records, and this VM's own record is left out") {
        val selection = ServerSelection(vm(1), EAST, ServerHealth(), ColdStartLimit(vm(1)))
        val servers = listOf("d0", "d1").map { server(it, service = DESK) }
        selection.operatorChanged(operator(), 0)
        selection.serversChanged(servers.associateBy { it.id }, 0)
        fun leaving(id: String, startedAt: Long) = member().copy(leavingServers = mapOf(ServerId(id) to startedAt))
        selection.membersChanged(mapOf(vm(1) to leaving("d1", 1), vm(2) to leaving("d0", 1)), emptySet(), 0)
        selection.choose(ServerRequirements(DESK, null, null), 0) shouldBe ServerChoice.Send(servers[1])
    }
})
