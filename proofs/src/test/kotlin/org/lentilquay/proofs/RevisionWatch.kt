/*
 * Reads the revision in force at each VM all the time, so that a configuration that reverts for a moment is seen.
 */
package org.lentilquay.proofs

import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeSorted
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

private const val INTERVAL_MILLIS = 20L

class RevisionWatch(vms: List<Vm>) {
    private val seen = ConcurrentHashMap<Vm, ConcurrentLinkedQueue<Long>>()
    private val isOver = AtomicBoolean()

    /** VMs that restart, and therefore begin without a configuration. */
    val restarting: MutableSet<Vm> = ConcurrentHashMap.newKeySet()
    private val observers = vms.map { vm ->
        thread(isDaemon = true) {
            val revisions = seen.computeIfAbsent(vm) { ConcurrentLinkedQueue() }
            while (!isOver.get()) {
                vm.revision()?.takeIf { vm !in restarting }?.let(revisions::add)
                Thread.sleep(INTERVAL_MILLIS)
            }
        }
    }

    /** Ends the watch; fails if a revision fell. */
    fun finish() {
        isOver.set(true)
        observers.forEach { it.join() }
        seen.forEach { (vm, revisions) -> withClue(vm.name) { revisions.toList().shouldBeSorted() } }
    }
}

/** Waits until [revision] or a later one is in force at [vms]. */
fun Fleet.awaitInForce(revision: Long, vms: List<Vm> = this.vms) =
    await("revision $revision is in force", IN_FORCE_MILLIS) { vms.all { (it.revision() ?: 0) >= revision } }
