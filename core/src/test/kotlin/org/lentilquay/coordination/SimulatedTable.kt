package org.lentilquay.coordination

import org.lentilquay.protocol.TableItem
import org.lentilquay.protocol.TableOperation
import kotlin.random.Random

/** A table service with outages, lost answers, writes that take effect lateWrites, and stale reads. */
class SimulatedTable(private val random: Random) {
    var faultPercent = 0
    var isDown = false
    private val items = HashMap<String, TableItem>()
    private val previousItems = HashMap<String, TableItem?>()
    private val lateWrites = ArrayList<List<TableOperation>>()

    fun transact(operations: List<TableOperation>): WriteResult = when {
        isDown -> if (random.nextBoolean()) WriteResult.NOT_SENT else WriteResult.UNKNOWN
        !isFault() -> apply(operations)
        random.nextBoolean() -> WriteResult.UNKNOWN.also { apply(operations) }
        else -> WriteResult.UNKNOWN.also { lateWrites.add(operations) }
    }

    /** Reads the item, which may be stale; null if absent. The caller checks [isDown] first. */
    fun read(key: String): TableItem? = if (isFault() && key in previousItems) previousItems[key] else items[key]

    fun current(key: String): TableItem? = items[key]

    /** Applies one write whose sender has given up. */
    fun deliverLate() {
        if (lateWrites.isNotEmpty()) apply(lateWrites.removeAt(random.nextInt(lateWrites.size)))
    }

    private fun isFault() = random.nextInt(100) < faultPercent

    private fun apply(operations: List<TableOperation>): WriteResult {
        val isMet = operations.all { operation ->
            val expected = when (operation) {
                is TableOperation.Put -> operation.expectedVersion
                is TableOperation.Delete -> operation.expectedVersion
                is TableOperation.Check -> operation.expectedVersion
            }
            expected == null || expected == (items[operation.key]?.version ?: 0)
        }
        if (!isMet) return WriteResult.CONFLICT
        for (operation in operations) {
            val old = items[operation.key]
            when (operation) {
                is TableOperation.Put ->
                    items[operation.key] = TableItem(operation.key, operation.value, (old?.version ?: 0) + 1)
                is TableOperation.Delete -> items.remove(operation.key)
                is TableOperation.Check -> continue
            }
            previousItems[operation.key] = old
        }
        return WriteResult.COMMITTED
    }
}
