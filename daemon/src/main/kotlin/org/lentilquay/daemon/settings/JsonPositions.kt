/*
 * Finds the line of every value in a JSON text, because the syntax tree of the JSON library has no positions. It also
 * finds duplicate names in an object, of which the library silently keeps the last one. The text must have been
 * accepted by the library before; comments and trailing commas are allowed.
 */
package org.lentilquay.daemon.settings

/** The JSON path of the whole document. */
internal const val ROOT_PATH: String = "$"

/**
 * The lines of values, counted from 1, by JSON path such as `$.seeds[2].address`. [duplicates] are the paths of names
 * that occur more than once in their object.
 */
internal class JsonPositions(val lines: Map<String, Int>, val duplicates: List<String>) {
    /** The line of [path], or of the innermost existing object or list that contains it. */
    fun lineOf(path: String): Int? = generateSequence(path) { parentOf(it) }.firstNotNullOfOrNull { lines[it] }
}

private fun parentOf(path: String): String? =
    path.lastIndexOfAny(charArrayOf('.', '[')).takeIf { it > 0 }?.let { path.substring(0, it) }

/** Finds the positions of all values in [text]. */
internal fun jsonPositions(text: String): JsonPositions = PositionScanner(text).scan()

/** The line, counted from 1, of the character at [offset] in [text]. */
internal fun lineAt(text: String, offset: Int): Int = text.take(offset).count { it == '\n' } + 1

private class PositionScanner(private val text: String) {
    private val lines = mutableMapOf<String, Int>()
    private val duplicates = mutableListOf<String>()
    private var position = 0
    private var line = 1

    fun scan(): JsonPositions {
        scanValue(ROOT_PATH)
        return JsonPositions(lines, duplicates)
    }

    private fun scanValue(path: String) {
        skipWhitespace()
        if (lines.put(path, line) != null) duplicates += path
        when (peek()) {
            '{' -> scanElements { scanMember(path) }
            '[' -> {
                var index = 0
                scanElements { scanValue("$path[${index++}]") }
            }
            '"' -> scanString()
            else -> while (peek().let { it != null && it !in ",]}/" && !it.isWhitespace() }) advance()
        }
    }

    private fun scanElements(scanElement: () -> Unit) {
        advance()
        skipWhitespace()
        while (peek().let { it != null && it !in "]}" }) {
            scanElement()
            skipWhitespace()
            if (peek() == ',') advance()
            skipWhitespace()
        }
        advance()
    }

    private fun scanMember(path: String) {
        val name = scanString()
        skipWhitespace()
        // The colon between name and value.
        advance()
        scanValue("$path.$name")
    }

    private fun scanString(): String {
        advance()
        val start = position
        while (peek().let { it != null && it != '"' }) {
            if (peek() == '\\') advance()
            advance()
        }
        return text.substring(start, minOf(position, text.length)).also { advance() }
    }

    private fun skipWhitespace() {
        var end = whitespaceEnd()
        while (end > position) {
            while (position < end) advance()
            end = whitespaceEnd()
        }
    }

    /** The end of the whitespace character or comment at the current position, or the position itself. */
    private fun whitespaceEnd(): Int = when {
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
