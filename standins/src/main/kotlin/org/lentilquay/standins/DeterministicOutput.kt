/*
 * The output of the model engine stand-in. Each token depends only on model name, prompt and position, so that a test
 * can compute the complete answer to a request and compare it with the text that a caller received.
 */
package org.lentilquay.standins

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.HexFormat
import java.util.SplittableRandom

private const val BYTES_PER_TOKEN = 4
private const val PREFIX_CHARACTERS = 256
private const val RADIX = 36

/** Tokens are numbers below 36^4, so that an equal token at a wrong position is improbable. */
private const val TOKEN_BOUND = 1_679_616

/** The tokens that [model] generates for [prompt]. */
class DeterministicOutput(model: String, prompt: String) {
    private val seed = ByteBuffer.wrap(sha256("$model\u0000$prompt")).getLong()

    /** The text of the token at [index], which starts at 0. */
    fun token(index: Int): String = " " + SplittableRandom(seed + index).nextInt(TOKEN_BOUND).toString(RADIX)

    /** The joined tokens from [fromIndex] (inclusive) to [untilIndex] (exclusive). */
    fun text(fromIndex: Int, untilIndex: Int): String =
        (fromIndex until untilIndex).joinToString("", transform = ::token)
}

/** The answer of [model] to [prompt] with [tokens] tokens in all, from the token at [fromIndex] on. */
fun expectedAnswer(model: String, prompt: String, tokens: Int, fromIndex: Int = 0): String =
    DeterministicOutput(model, prompt).text(fromIndex, tokens)

/** The prompt that the engine builds from the `messages` of a chat request. Content is text or a list of parts. */
fun chatPrompt(messages: JsonArray): String = messages.joinToString("\n") { message ->
    val fields = message as? JsonObject
    "${textOf(fields?.get("role"))}: ${textOf(fields?.get("content"))}"
}

/** The prompt that the engine builds from chat messages, given as pairs of role and content. */
fun chatPrompt(vararg messages: Pair<String, String>): String =
    messages.joinToString("\n") { (role, content) -> "$role: $content" }

/** The number of prompt tokens that the engine reports: a quarter of the UTF-8 bytes, rounded up. */
fun promptTokens(prompt: String): Int = (prompt.toByteArray().size + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN

/** The hash that identifies the prefix of [prompt] on [model] in cache events. */
fun prefixHash(model: String, prompt: String): Long =
    ByteBuffer.wrap(sha256("$model\u0000${prompt.take(PREFIX_CHARACTERS)}")).getLong()

/** The hash that identifies [prompt] in the records of runs: SHA-256 in hexadecimal. */
fun promptHash(prompt: String): String = HexFormat.of().formatHex(sha256(prompt))

private fun sha256(text: String): ByteArray = MessageDigest.getInstance("SHA-256").digest(text.toByteArray())

private fun textOf(element: JsonElement?): String = when (element) {
    is JsonPrimitive -> element.content
    is JsonArray -> element.joinToString("") { textOf((it as? JsonObject)?.get("text")) }
    else -> ""
}
