/*
 * Parses the body of an OpenAI-compatible chat or completion request and builds the body for an engine. The engine's
 * body names the adapter and version, always asks for a stream with usage, and limits the output, so that the tokens
 * charged in advance are an upper estimate.
 */
package org.lentilquay.daemon.requests

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.put
import org.lentilquay.protocol.Priority
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Outcome
import org.lentilquay.state.failed
import java.security.MessageDigest

/** The two kinds of OpenAI-compatible requests. */
enum class InferenceForm(val path: String, val answerObject: String) {
    CHAT("/v1/chat/completions", "chat.completion"),
    COMPLETION("/v1/completions", "text_completion"),
}

/** A request that was parsed and checked; its route is not resolved yet. */
data class InferenceRequest(
    val form: InferenceForm,
    /** The route that the caller named in `model`, without a version. */
    val routeName: String,
    /** The version that the caller asked for, if any. */
    val version: Int?,
    val stream: Boolean,
    val maximumTokens: Int?,
    val promptText: String,
    private val fields: JsonObject,
) {
    private val promptBytes = promptText.encodeToByteArray().size

    /** Upper estimate of the prompt and output tokens of the request. */
    fun estimatedTokens(defaultMaximumTokens: Int): Long =
        (promptBytes + BYTES_PER_TOKEN - 1L) / BYTES_PER_TOKEN + (maximumTokens ?: defaultMaximumTokens)

    /** Requests with few tokens go before long ones of the same team. */
    fun priority(defaultMaximumTokens: Int): Priority =
        if (estimatedTokens(defaultMaximumTokens) <= MAXIMUM_SHORT_REQUEST_TOKENS) Priority.SHORT else Priority.LONG

    /** The body for the engine; a run that continues an interrupted one starts at output index [fromIndex]. */
    fun engineBody(target: String, defaultMaximumTokens: Int, fromIndex: Int): ByteArray = buildJsonObject {
        fields.filterKeys { it !in REPLACED_FIELDS }.forEach { (name, value) -> put(name, value) }
        put("model", target)
        put("stream", true)
        put("stream_options", buildJsonObject { put("include_usage", true) })
        put("max_tokens", maximumTokens ?: defaultMaximumTokens)
        put("priority", if (priority(defaultMaximumTokens) == Priority.SHORT) 0 else 1)
        if (fromIndex > 0) put("continuation", buildJsonObject { put("from_index", fromIndex) })
    }.toString().encodeToByteArray()

    /** A hash of the request's content and its team, equal for repetitions of the request. */
    fun fingerprint(team: String): String {
        val digest = MessageDigest.getInstance("SHA-256")
        sequenceOf(team, routeName, version.toString(), form.name, fields.toString()).forEach { part ->
            digest.update(part.encodeToByteArray())
            digest.update(0)
        }
        return digest.digest().toHex()
    }
}

/** Parses [body]; the failure names every fault that was found. */
fun readInferenceRequest(form: InferenceForm, body: ByteArray): Outcome<InferenceRequest> =
    when (val fields = readObject(body)) {
        is Outcome.Failed -> fields
        is Outcome.Success -> checkFields(form, fields.value)
    }

private fun readObject(body: ByteArray): Outcome<JsonObject> = try {
    (Json.parseToJsonElement(body.decodeToString()) as? JsonObject)
        ?.let { Outcome.Success(it) }
        ?: malformed("the body is not a JSON object")
} catch (exception: SerializationException) {
    malformed("the body is not valid JSON: ${exception.message?.lineSequence()?.first()}")
}

private fun checkFields(form: InferenceForm, fields: JsonObject): Outcome<InferenceRequest> {
    val faults = mutableListOf<String>()
    val model = fields.text("model").orEmpty()
    val version = model.substringAfterLast('@', "").ifEmpty { null }
    if (model.isEmpty()) faults += "\"model\" must be the name of a route"
    if (version != null && version.toIntOrNull() == null) faults += "version \"$version\" is not a number"
    if ((fields["n"] as? JsonPrimitive)?.intOrNull?.let { it != 1 } == true) faults += "\"n\" must be 1"
    val request = InferenceRequest(
        form = form,
        routeName = model.substringBeforeLast('@'),
        version = version?.toIntOrNull(),
        stream = fields.flag(faults, "stream") ?: false,
        maximumTokens = fields.number(faults, "max_tokens") ?: fields.number(faults, "max_completion_tokens"),
        promptText = promptOf(form, fields, faults),
        fields = fields,
    )
    return if (faults.isEmpty()) Outcome.Success(request) else malformed(faults.joinToString("; "))
}

internal fun ByteArray.toHex(): String = joinToString("") { "%02x".format(it) }

private fun malformed(message: String) = failed(ErrorKind.MALFORMED_REQUEST, message)

private fun JsonObject.text(name: String): String? = (get(name) as? JsonPrimitive)?.takeIf { it.isString }?.content

private fun JsonObject.flag(faults: MutableList<String>, name: String): Boolean? {
    val element = get(name) ?: return null
    val flag = (element as? JsonPrimitive)?.booleanOrNull
    if (flag == null) faults += "\"$name\" must be true or false"
    return flag
}

private fun JsonObject.number(faults: MutableList<String>, name: String): Int? {
    val element = get(name) ?: return null
    val number = (element as? JsonPrimitive)?.takeIf { !it.isString }?.intOrNull
    if (number == null || number !in 1..MAXIMUM_OUTPUT_TOKENS) {
        faults += "\"$name\" must be a whole number from 1 to $MAXIMUM_OUTPUT_TOKENS"
    }
    return number
}

private fun promptOf(form: InferenceForm, fields: JsonObject, faults: MutableList<String>): String = when (form) {
    InferenceForm.COMPLETION -> fields.text("prompt") ?: "".also { faults += "\"prompt\" must be a text" }
    InferenceForm.CHAT -> {
        val messages = fields["messages"] as? JsonArray
        if (messages.isNullOrEmpty()) faults += "\"messages\" must be a list with at least one message"
        messages.orEmpty().withIndex().joinToString("\n") { (index, message) -> messageText(index, message, faults) }
    }
}

private fun messageText(index: Int, message: JsonElement, faults: MutableList<String>): String {
    val fields = message as? JsonObject
    val role = fields?.text("role")
    if (role == null) faults += "\"messages[$index].role\" must be a text"
    return when (val content = fields?.get("content")) {
        is JsonPrimitive -> "$role: ${content.content}"
        is JsonArray -> "$role: " + content.joinToString("") { (it as? JsonObject)?.text("text").orEmpty() }
        else -> "".also { faults += "\"messages[$index].content\" must be a text or a list of parts" }
    }
}

/** Largest `max_tokens` that a request may ask for. */
private const val MAXIMUM_OUTPUT_TOKENS = 32_768

/** UTF-8 bytes per token in the estimate; for common tokenizers, the mean is higher. */
private const val BYTES_PER_TOKEN = 3

/** Requests of up to this many estimated tokens have priority [Priority.SHORT]. */
private const val MAXIMUM_SHORT_REQUEST_TOKENS = 512L

private val REPLACED_FIELDS =
    setOf("model", "stream", "stream_options", "max_tokens", "max_completion_tokens", "priority", "continuation")
