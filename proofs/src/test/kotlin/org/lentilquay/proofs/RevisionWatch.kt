/*
 * Polls the configuration revision in force at each VM in the background, to detect a revision that goes back, even
 * for a moment.
 */
package org.lentilquay.proofs

import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeSorted
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

private const val REVISION_POLL_MILLIS = 20L

class RevisionWatch(vms: List<Vm>) {
    private val revisionsByVm = ConcurrentHashMap<Vm, ConcurrentLinkedQueue<Long>>()
    private val isStopped = AtomicBoolean()

    /** VMs that are not checked while they restart, since a new process starts without a configuration. */
    val restarting: MutableSet<Vm> = ConcurrentHashMap.newKeySet()
    private val pollers = vms.map { vm ->
        thread(isDaemon = true) {
            val revisions = revisionsByVm.computeIfAbsent(vm) { ConcurrentLinkedQueue() }
            while (!isStopped.get()) {
                vm.revision()?.takeIf { vm !in restarting }?.let(revisions::add)
                Thread.sleep(REVISION_POLL_MILLIS)
            }
        }
    }

    /** Stops polling; fails if the revision of a VM went back. */
    fun finish() {
        isStopped.set(true)
        pollers.forEach { it.join() }
        revisionsByVm.forEach { (vm, revisions) -> withClue(vm.name) { revisions.toList().shouldBeSorted() } }
    }
}

/** Waits until [revision] or a later one is in force at all [vms]. */
fun Fleet.awaitInForce(revision: Long, vms: List<Vm> = this.vms) =
    await("revision $revision is in force", IN_FORCE_MILLIS) { vms.all { (it.revision() ?: 0) >= revision } }
