package org.lentilquay.coordination.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.lentilquay.state.DomainId
import org.lentilquay.state.VmId

private const val TABLE = "servers"
private val domains = List(4) { DomainId("zone-$it") }

private fun members(count: Int) = List(count) { VmId("vm-$it") to domains[it % domains.size] }.toMap()

private fun plans(members: Map<VmId, DomainId>) =
    members.mapValues { (vm, domain) -> TableReaders(vm, domain).apply { membersChanged(members) } }

/** Guards against calls to the table service that grow with the fleet, and against VMs without a copy. */
class TableReadersTest : FunSpec({
    listOf(1, 8, 12, 79, 370).forEach { count ->
        test("in a fleet of $count VMs each one is a reader or follows a reader of its failure domain") {
            val members = members(count)
            val plans = plans(members)
            val readers = plans.filterValues { it.readerFor(TABLE, 0) == null }.keys
            readers.size shouldBeLessThanOrEqual if (count <= 12) count else READERS_PER_DOMAIN * domains.size
            plans.forEach { (vm, plan) ->
                val asked = plan.readerFor(TABLE, 0) ?: return@forEach
                asked shouldBeIn readers
                members[asked] shouldBe members[vm]
                plans.getValue(asked).hasFollowers shouldBe true
            }
        }
    }

    // Of 8,443 calls of a calm day with 95 VMs in six failure domains, the reads of the readers were the largest part.
    test("95 VMs in six failure domains read with 12 VMs, and after the loss of any two all still have a reader") {
        val six = List(6) { DomainId("zone-$it") }
        val fleet = List(95) { VmId("vm-$it") to six[it % six.size] }.toMap()
        fun readers(members: Map<VmId, DomainId>) = members.keys.filter { vm ->
            val plan = TableReaders(vm, members.getValue(vm)).apply { membersChanged(members) }
            plan.readerFor(TABLE, 0) == null
        }
        readers(fleet).size shouldBe 12
        readers(fleet - readers(fleet).take(2).toSet()).size shouldBe 12
    }

    // Readers with a slow link held up the responses to their callers for about a second after each long change.
    test("the VMs with the fastest links of each failure domain are its readers") {
        val members = members(40)
        val links = members.keys.associateWith { if (it.text.removePrefix("vm-").toInt() in 20..27) 200 else 10 }
        val readers = members.keys.filter { vm ->
            val plan = TableReaders(vm, members.getValue(vm), links.getValue(vm))
            plan.membersChanged(members, links)
            plan.readerFor(TABLE, 0) == null
        }
        readers.toSet() shouldBe links.filterValues { it == 200 }.keys
    }

    test("a VM whose link is not known is a reader only where too few others are known") {
        val members = members(20)
        val links = mapOf(VmId("vm-4") to 10)
        val plan = TableReaders(VmId("vm-8"), domains[0]).apply { membersChanged(members, links) }
        val asked = List(READERS_PER_DOMAIN) { plan.readerFor(TABLE, 0) }
        asked.contains(VmId("vm-4")) shouldBe true
    }

    test("a fleet of 12 VMs has no followers") {
        plans(members(12)).values.none { it.hasFollowers } shouldBe true
    }

    test("a follower skips failed readers, and reads the table service itself when all have failed") {
        val (_, plan) = plans(members(40)).entries.first { (_, plan) -> plan.readerFor(TABLE, 0) != null }
        repeat(READERS_PER_DOMAIN) { plan.readerFor(TABLE, 0)?.let { plan.readerFailed(it, TABLE, 0) } }
        plan.readerFor(TABLE, 0) shouldBe null
        plan.readerFor(TABLE, 3_000) shouldNotBe null
    }

    // A late answer for one table made its followers read all tables from the table service.
    test("a reader that failed for one table is still asked for the others") {
        val (_, plan) = plans(members(40)).entries.first { (_, plan) -> plan.readerFor(TABLE, 0) != null }
        repeat(READERS_PER_DOMAIN) { plan.readerFor("operator", 0)?.let { plan.readerFailed(it, "operator", 0) } }
        plan.readerFor("operator", 0) shouldBe null
        plan.readerFor(TABLE, 0) shouldNotBe null
    }

    test("readers are asked in turn for each table") {
        val (_, plan) = plans(members(40)).entries.first { (_, plan) -> plan.readerFor(TABLE, 0) != null }
        val asked = List(READERS_PER_DOMAIN) { plan.readerFor("operator", 0) to plan.readerFor(TABLE, 0) }
        asked.map { it.first }.toSet().size shouldBe READERS_PER_DOMAIN
        asked.map { it.second }.toSet().size shouldBe READERS_PER_DOMAIN
    }

    test("the followers of one failure domain use all its readers") {
        val followers = plans(members(79)).filterKeys { members(79)[it] == domains[0] }.values
        val asked = followers.mapNotNull { it.readerFor(TABLE, 0) }
        asked.toSet().size shouldBe READERS_PER_DOMAIN
    }

    test("a VM without members reads the table service itself") {
        TableReaders(VmId("vm-1"), domains[0]).readerFor(TABLE, 0) shouldBe null
        TableReaders(VmId("vm-1"), domains[0]).hasFollowers shouldNotBe true
    }
})
