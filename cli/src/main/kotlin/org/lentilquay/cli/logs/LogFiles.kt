/*
 * The log files of several VMs, streamed on each pass because the logs of a busy day do not fit into memory. Unreadable
 * files are reported and skipped, and so are lines that cannot be parsed.
 */
package org.lentilquay.cli.logs

import java.io.BufferedReader
import java.nio.file.Files
import java.nio.file.Path

/** Reads the log lines of several files. */
class LogFiles(files: List<Path>) {
    private val readable = files.filter { Files.isRegularFile(it) && Files.isReadable(it) }

    /** One message for each file that cannot be read. */
    val errors: List<String> = (files - readable.toSet()).map { "$it is not a readable file" }

    /** Passes the log lines of all files, file by file, to [use]; the sequence is valid only during the call. */
    fun <T> read(use: (Sequence<LogLine>) -> T): T {
        val open = mutableListOf<BufferedReader>()
        try {
            return use(readable.asSequence().flatMap { file -> linesOf(file, open) })
        } finally {
            open.forEach { it.close() }
        }
    }

    /** Invalid UTF-8 is replaced, so that a truncated line does not make the rest of the file unreadable. */
    private fun linesOf(file: Path, open: MutableList<BufferedReader>): Sequence<LogLine> {
        val lines = Files.newInputStream(file).bufferedReader().also { open += it }.lineSequence()
        val name = file.fileName.toString().removeSuffix(".log")
        return lines.mapNotNull { parseLogLine(it, name) }
    }
}
