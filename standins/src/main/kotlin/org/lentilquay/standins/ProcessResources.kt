/*
 * Reads from Linux what a process has used: its greatest resident memory, and the most descriptors that were open at
 * one of the moments at which it was looked at.
 */
package org.lentilquay.standins

import java.nio.file.Files
import java.nio.file.NoSuchFileException
import java.nio.file.Path
import kotlin.concurrent.thread
import kotlin.io.path.readLines

private const val SAMPLE_MILLIS = 20L
private const val KIBIBYTES_PER_MEBIBYTE = 1_024

/** Watches a process until it is closed. */
class ProcessResources(private val pid: Long) : AutoCloseable {
    @Volatile
    private var isClosed = false

    /** The most descriptors that were seen open. */
    @Volatile
    var greatestDescriptors: Int = 0
        private set

    private val sampler = thread(name = "descriptors of $pid", isDaemon = true) {
        while (!isClosed) {
            greatestDescriptors = maxOf(greatestDescriptors, openDescriptors())
            Thread.sleep(SAMPLE_MILLIS)
        }
    }

    /** The greatest resident memory since the process was started, in MiB; null if the process has ended. */
    fun greatestMemoryMebibytes(): Int? = try {
        Path.of("/proc/$pid/status").readLines().firstOrNull { it.startsWith("VmHWM:") }
            ?.filter { it.isDigit() }?.toInt()?.div(KIBIBYTES_PER_MEBIBYTE)
    } catch (_: NoSuchFileException) {
        // The process has ended.
        null
    }

    override fun close() {
        isClosed = true
        sampler.join()
    }

    private fun openDescriptors(): Int = try {
        Files.list(Path.of("/proc/$pid/fd")).use { it.count().toInt() }
    } catch (_: NoSuchFileException) {
        // The process has ended.
        0
    }
}
