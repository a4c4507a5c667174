package org.lentilquay.coordination.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.lentilquay.state.DomainId
import org.lentilquay.state.gateway.AdapterName
import org.lentilquay.state.gateway.OperatorState

private val NOTHING = OperatorRows()

private fun operatorAt(
    version: Long,
    drained: Set<DomainId> = emptySet(),
    adapters: Map<AdapterName, Long> = emptyMap(),
) =
    operator(drained, adapters).let { it.copy(configuration = it.configuration?.copy(version = version)) }

private class Operator(known: OperatorState) {
    val merge = OperatorMerge().apply { observed(known, 3, NOTHING, 0) }
    val state get() = merge.merged

    fun read(state: OperatorState, era: Long, at: Long, written: OperatorRows = NOTHING) =
        merge.observed(state, era, written, at)
}

/** Guards against VMs that revert the operator's state because the table service lost its last writes. */
class OperatorMergeTest : FunSpec({
    test("the higher version of the configuration and of each adapter wins, and each drained domain is drained") {
        val known = operatorAt(7, setOf(EAST), mapOf(adapter(1) to 5, adapter(2) to 1))
        Operator(known).run {
            read(operatorAt(6, setOf(WEST), mapOf(adapter(1) to 4, adapter(2) to 2)), era = 4, at = 100)
            state shouldBe operatorAt(7, setOf(EAST, WEST), mapOf(adapter(1) to 5, adapter(2) to 2))
        }
    }

    test("a higher configuration version is in force at once during the merge") {
        Operator(operatorAt(7)).run {
            read(operatorAt(6), era = 4, at = 100)
            read(operatorAt(8), era = 4, at = 200)
            state shouldBe operatorAt(8)
        }
    }

    test("a domain is released when its row was written again and removed") {
        Operator(operatorAt(7, setOf(EAST, WEST))).run {
            read(operatorAt(7), era = 4, at = 100)
            read(operatorAt(7), 4, 200, OperatorRows(drainedDomains = setOf(EAST)))
            state.drainedDomains shouldBe setOf(WEST)
        }
    }

    test("an adapter version that was written again is in force, also if it is lower") {
        Operator(operatorAt(7, adapters = mapOf(adapter(1) to 5))).run {
            read(operatorAt(7, adapters = mapOf(adapter(1) to 3)), era = 4, at = 100)
            read(operatorAt(7, adapters = mapOf(adapter(1) to 4)), 4, 200, OperatorRows(adapters = setOf(adapter(1))))
            state.adapterVersions shouldBe mapOf(adapter(1) to 4)
        }
    }

    test("what nobody writes again is dropped after 30 s") {
        val known = operatorAt(7, setOf(EAST), mapOf(adapter(1) to 5))
        Operator(known).run {
            val copy = operatorAt(6, adapters = mapOf(adapter(1) to 4))
            read(copy, era = 4, at = 100)
            merge.expire(30_099) shouldBe null
            state shouldBe known
            merge.expire(30_100) shouldBe known
            state shouldBe copy
            merge.isMerging shouldBe false
            merge.expire(30_200) shouldBe null
        }
    }

    test("a configuration that the copy lacks is kept, because a VM without one serves nobody") {
        Operator(operatorAt(7)).run {
            read(OperatorState(), era = 4, at = 100)
            merge.expire(30_100) shouldBe null
            state shouldBe operatorAt(7)
        }
    }

    test("after two returns 1 s apart the state from before the first one is still known") {
        val known = operatorAt(7, setOf(EAST))
        Operator(known).run {
            read(operatorAt(6), era = 4, at = 0)
            read(operatorAt(5), era = 5, at = 1_000)
            state shouldBe known
            merge.expire(30_000) shouldBe null
            merge.expire(31_000) shouldBe known
            state shouldBe operatorAt(5)
        }
    }

    test("without eras, and in the first era of a process, the state is that of the table") {
        listOf(null, 9L).forEach { era ->
            val merge = OperatorMerge()
            merge.observed(operatorAt(7, setOf(EAST)), era, NOTHING, 0)
            merge.observed(operatorAt(7, setOf(WEST)), era, NOTHING, 10)
            merge.merged shouldBe operatorAt(7, setOf(WEST))
            merge.isMerging shouldBe false
        }
    }
})
