/*
 * One structured log line of a gateway process: the JSON object that Logback's encoder writes, with whatever a log
 * collector put before it. Times are milliseconds of the wall clock of the VM that wrote the line.
 */
package org.lentilquay.cli.logs

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long

/** A line of the VM or file [origin] that tells of [event]. */
data class LogEntry(
    val epochMillis: Long,
    val origin: String,
    val event: String,
    val facts: Map<String, String>,
)

/** Reads a line of [file], or returns null if it is none of lentilquay's. A text before the object names the origin. */
fun logEntry(line: String, file: String): LogEntry? {
    val start = line.indexOf('{')
    if (start < 0) return null
    return try {
        val fields = Json.parseToJsonElement(line.substring(start)).jsonObject
        LogEntry(
            epochMillis = fields.getValue("timestamp").jsonPrimitive.long,
            origin = line.substring(0, start).trim().split(' ').last().ifEmpty { file },
            event = fields.getValue("message").jsonPrimitive.content,
            facts = factsOf(fields),
        )
    } catch (@Suppress("SwallowedException") fault: IllegalArgumentException) {
        // No JSON, or JSON of another shape.
        null
    } catch (@Suppress("SwallowedException") fault: NoSuchElementException) {
        null
    }
}

private fun factsOf(fields: JsonObject): Map<String, String> = buildMap {
    fields["kvpList"]?.jsonArray?.forEach { pair ->
        pair.jsonObject.forEach { (name, value) -> put(name, value.jsonPrimitive.contentOrNull.orEmpty()) }
    }
}
