/*
 * Finds the line of every value in a JSON text, because the tree that the JSON library builds has no positions. It also
 * finds names that are given twice in one object, of which the library silently keeps the last. The text must already
 * have been accepted by the library; comments and trailing commas are allowed.
 */
package org.lentilquay.daemon.settings

/** The path of the whole document in a [JsonPositions] and in errors. */
internal const val ROOT_PATH: String = "$"

/** Lines, counted from 1, by JSON path such as `$.seeds[2].address`. */
internal class JsonPositions(val lines: Map<String, Int>, val repeated: List<String>) {
    /** The line of [path], or of the nearest object or list around it that the text has. */
    fun lineOf(path: String): Int? = generateSequence(path) { parentOf(it) }.firstNotNullOfOrNull { lines[it] }
}

private fun parentOf(path: String): String? =
    path.lastIndexOfAny(charArrayOf('.', '[')).takeIf { it > 0 }?.let { path.substring(0, it) }

/** Scans [text] for the positions of its values. */
internal fun jsonPositions(text: String): JsonPositions = PositionScanner(text).scan()

/** The line, counted from 1, of the character at [offset] of [text]. */
internal fun lineAt(text: String, offset: Int): Int = text.take(offset).count { it == '\n' } + 1

private class PositionScanner(private val text: String) {
    private val lines = mutableMapOf<String, Int>()
    private val repeated = mutableListOf<String>()
    private var position = 0
    private var line = 1

    fun scan(): JsonPositions {
        value(ROOT_PATH)
        return JsonPositions(lines, repeated)
    }

    private fun value(path: String) {
        skipBlanks()
        if (lines.put(path, line) != null) repeated += path
        when (peek()) {
            '{' -> members { member(path) }
            '[' -> {
                var index = 0
                members { value("$path[${index++}]") }
            }
            '"' -> string()
            else -> while (peek().let { it != null && it !in ",]}/" && !it.isWhitespace() }) advance()
        }
    }

    private fun members(member: () -> Unit) {
        advance()
        skipBlanks()
        while (peek().let { it != null && it !in "]}" }) {
            member()
            skipBlanks()
            if (peek() == ',') advance()
            skipBlanks()
        }
        advance()
    }

    private fun member(path: String) {
        val name = string()
        skipBlanks()
        // Skips the colon between name and value.
        advance()
        value("$path.$name")
    }

    private fun string(): String {
        advance()
        val start = position
        while (peek().let { it != null && it != '"' }) {
            if (peek() == '\\') advance()
            advance()
        }
        return text.substring(start, minOf(position, text.length)).also { advance() }
    }

    private fun skipBlanks() {
        var end = blankEnd()
        while (end > position) {
            while (position < end) advance()
            end = blankEnd()
        }
    }

    /** The end of the white space character or the comment at the position, or the position itself. */
    private fun blankEnd(): Int = when {
        peek()?.isWhitespace() == true -> position + 1
        text.startsWith("//", position) -> text.indexOf('\n', position).takeIf { it >= 0 } ?: text.length
        text.startsWith("/*", position) -> text.indexOf("*/", position + 2) + 2
        else -> position
    }

    private fun peek(): Char? = text.getOrNull(position)

    private fun advance() {
        if (peek() == '\n') line++
        position++
    }
}
