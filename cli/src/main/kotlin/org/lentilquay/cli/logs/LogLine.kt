/*
 * A structured log line of a gateway process: the JSON object of Logback's encoder, after an optional prefix of a log
 * collector. Times are wall-clock milliseconds of the VM that wrote the line.
 */
package org.lentilquay.cli.logs

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long

/**
 * The log line of [event], written by [origin]: the name that a log collector put before the line, or the file name.
 */
data class LogLine(
    val epochMillis: Long,
    val origin: String,
    val event: String,
    /** The key-value pairs of the line. */
    val fields: Map<String, String>,
)

/**
 * Parses a line of [file]; returns null if it is not a log line of lentilquay. The last word before the JSON object, if
 * any, is the origin.
 */
fun parseLogLine(line: String, file: String): LogLine? {
    val start = line.indexOf('{')
    if (start < 0) return null
    return try {
        val json = Json.parseToJsonElement(line.substring(start)).jsonObject
        LogLine(
            epochMillis = json.getValue("timestamp").jsonPrimitive.long,
            origin = line.substring(0, start).trim().split(' ').last().ifEmpty { file },
            event = json.getValue("message").jsonPrimitive.content,
            fields = fieldsOf(json),
        )
    } catch (@Suppress("SwallowedException") error: IllegalArgumentException) {
        // Not JSON, or JSON of another structure.
        null
    } catch (@Suppress("SwallowedException") error: NoSuchElementException) {
        null
    }
}

private fun fieldsOf(json: JsonObject): Map<String, String> = buildMap {
    json["kvpList"]?.jsonArray?.forEach { pair ->
        pair.jsonObject.forEach { (name, value) -> put(name, value.jsonPrimitive.contentOrNull.orEmpty()) }
    }
}
