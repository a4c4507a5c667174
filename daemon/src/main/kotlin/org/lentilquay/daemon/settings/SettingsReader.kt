/*
 * Reads and validates the settings file of a VM. The result is either valid settings with their secret, or a list of
 * errors in stages: a syntax error is reported alone; otherwise all wrong names and types; if there are none, all
 * violated rules and unreadable secrets.
 */
package org.lentilquay.daemon.settings

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import org.lentilquay.transport.Secret
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readText

/** A shorter fleet secret could be found by brute force. */
private const val MINIMUM_SECRET_BYTES = 16
private val OFFSET = Regex("offset (\\d+)")

private val json = Json {
    allowComments = true
    allowTrailingComma = true
    ignoreUnknownKeys = false
}

/** An error in a settings file, at a JSON path and, if it is known, a line counted from 1. */
data class SettingsError(val path: String, val line: Int?, val message: String) {
    override fun toString(): String = if (line == null) "$path: $message" else "$path (line $line): $message"
}

/** The outcome of [readSettings]. */
sealed interface SettingsResult {
    /** The settings are valid. */
    class Read(val settings: Settings, val fleetSecret: Secret) : SettingsResult

    /** The settings are invalid. [errors] is not empty and is in the order of lines. */
    data class Invalid(val errors: List<SettingsError>) : SettingsResult
}

/** Reads and validates the settings in the file [path]; [environment] looks up environment variables. */
fun readSettings(path: Path, environment: (String) -> String? = System::getenv): SettingsResult =
    try {
        settingsOf(path.readText(), environment)
    } catch (failure: IOException) {
        SettingsResult.Invalid(
            listOf(SettingsError(ROOT_PATH, null, "cannot read the file: ${failure::class.simpleName}")),
        )
    }

/** Parses and validates the settings in [text], and reads the secret from its file or environment variable. */
fun settingsOf(text: String, environment: (String) -> String? = System::getenv): SettingsResult {
    val tree = try {
        json.parseToJsonElement(text)
    } catch (failure: SerializationException) {
        return SettingsResult.Invalid(listOf(syntaxError(text, failure)))
    }
    val positions = jsonPositions(text)
    val duplicates = positions.duplicates.map { JsonPathError(it, "given more than once") }
    val errors = duplicates + schemaErrors(tree, Settings.serializer().descriptor, ROOT_PATH)
    return if (errors.isEmpty()) checked(tree, positions, environment) else invalid(errors, positions)
}

private fun checked(tree: JsonElement, positions: JsonPositions, environment: (String) -> String?): SettingsResult {
    val settings = json.decodeFromJsonElement(Settings.serializer(), tree)
    val secret = secretOf(settings.fleetSecret, environment)
    val secretErrors =
        listOfNotNull((secret as? SecretResult.Missing)?.let { JsonPathError("$.fleetSecret", it.reason) })
    val errors = ruleErrors(settings) + secretErrors
    return if (secret is SecretResult.Found && errors.isEmpty()) {
        SettingsResult.Read(settings, secret.secret)
    } else {
        invalid(errors, positions)
    }
}

private fun invalid(errors: List<JsonPathError>, positions: JsonPositions) = SettingsResult.Invalid(
    errors.map { SettingsError(it.path, positions.lineOf(it.path), it.message) }
        .sortedBy { it.line ?: Int.MAX_VALUE },
)

/**
 * The library's message quotes the text around the error, which may contain a secret; only the position is reported.
 */
private fun syntaxError(text: String, failure: SerializationException): SettingsError {
    val offset = failure.message?.let(OFFSET::find)?.groupValues?.get(1)?.toIntOrNull()
    return SettingsError(ROOT_PATH, offset?.let { lineAt(text, it) }, "not valid JSON")
}

private sealed interface SecretResult {
    class Found(val secret: Secret) : SecretResult

    data class Missing(val reason: String) : SecretResult
}

private fun secretOf(reference: SecretReference, environment: (String) -> String?): SecretResult {
    val bytes = when {
        (reference.file == null) == (reference.environment == null) ->
            return SecretResult.Missing("must name either a file or an environment variable")
        reference.file != null -> fileBytes(reference.file)
            ?: return SecretResult.Missing("the file ${reference.file} cannot be read")
        else -> environment(reference.environment.orEmpty())?.encodeToByteArray()
            ?: return SecretResult.Missing("the environment variable ${reference.environment} is not set")
    }
    // Editors append a line break, which is not part of the secret.
    val trimmed = bytes.decodeToString().trimEnd('\n', '\r').encodeToByteArray()
    return if (trimmed.size < MINIMUM_SECRET_BYTES) {
        SecretResult.Missing("the secret must have at least $MINIMUM_SECRET_BYTES bytes")
    } else {
        SecretResult.Found(Secret(trimmed))
    }
}

private fun fileBytes(file: String): ByteArray? =
    try {
        Files.readAllBytes(Path.of(file))
    } catch (_: IOException) {
        null
    }
