/*
 * The log files of several VMs, read line by line as often as needed, because the logs of a busy day do not fit into
 * memory. Files that cannot be read are named and left out; lines that are not log entries are skipped.
 */
package org.lentilquay.cli.logs

import java.io.BufferedReader
import java.nio.file.Files
import java.nio.file.Path

class LogFiles(files: List<Path>) {
    private val readable = files.filter { Files.isRegularFile(it) && Files.isReadable(it) }

    /** What could not be read, for the operator. */
    val faults: List<String> = (files - readable.toSet()).map { "$it is not a readable file" }

    /** Gives the entries of all files, file by file, to [use]. */
    fun <T> read(use: (Sequence<LogEntry>) -> T): T {
        val open = mutableListOf<BufferedReader>()
        try {
            return use(readable.asSequence().flatMap { file -> entriesOf(file, open) })
        } finally {
            open.forEach { it.close() }
        }
    }

    /** Bytes that are no UTF-8 are replaced, so that a torn line does not hide the rest of its file. */
    private fun entriesOf(file: Path, open: MutableList<BufferedReader>): Sequence<LogEntry> {
        val lines = Files.newInputStream(file).bufferedReader().also { open += it }.lineSequence()
        val name = file.fileName.toString().removeSuffix(".log")
        return lines.mapNotNull { logEntry(it, name) }
    }
}
