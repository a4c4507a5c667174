/*
 * The adapter slots of the model engine stand-in, and the check of fencing numbers that guards them. Not thread-safe:
 * guarded by the engine's lock.
 */
package org.lentilquay.standins.internal

import kotlinx.coroutines.CompletableDeferred

/** Result of a load order. */
internal enum class LoadResult { LOADED, FAILED, NO_FREE_SLOT, ENGINE_RESTARTED }

internal class AdapterSlots(private val size: Int) {
    /** A slot in use, from the start of the load. */
    class Slot(val name: String) {
        val result = CompletableDeferred<LoadResult>()
        var isLoaded = false
    }

    private val slots = LinkedHashMap<String, Slot>()

    val loaded: List<String> get() = slots.values.filter { it.isLoaded }.map { it.name }

    fun isLoaded(name: String): Boolean = slots[name]?.isLoaded == true

    fun get(name: String): Slot? = slots[name]

    /** Takes a slot for [name], or returns null if none is free. */
    fun take(name: String): Slot? =
        if (slots.size >= size) null else Slot(name).also { slots[name] = it }

    /** Completes the load of [slot], unless an unload or restart in the meantime made it fail. */
    fun finish(slot: Slot, succeeded: Boolean) {
        if (slots[slot.name] !== slot) return
        slot.isLoaded = succeeded
        if (!succeeded) slots.remove(slot.name)
        slot.result.complete(if (succeeded) LoadResult.LOADED else LoadResult.FAILED)
    }

    /** Frees the slot of [name]; returns false if there is none. */
    fun remove(name: String): Boolean = slots.remove(name)?.also { it.result.complete(LoadResult.FAILED) } != null

    fun clear() {
        slots.values.forEach { it.result.complete(LoadResult.ENGINE_RESTARTED) }
        slots.clear()
    }
}

/** Rejects fencing numbers below the highest one seen; without [checks], accepts all. */
internal class FencingCheck(private val checks: Boolean) {
    var highest: Long = 0
        private set

    fun admits(token: Long): Boolean {
        if (checks && token < highest) return false
        highest = maxOf(highest, token)
        return true
    }

    fun clear() {
        highest = 0
    }
}
