/*
 * Validates a JSON tree against the serial descriptor of a data class and lists every mismatch; the JSON library itself
 * stops at the first one. Messages never contain a value, because it may be a secret in the wrong place.
 */
package org.lentilquay.daemon.settings

import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.longOrNull

/** Lists the mismatches between [element] at [path] and [descriptor]. */
internal fun schemaErrors(
    element: JsonElement,
    descriptor: SerialDescriptor,
    path: String,
): List<JsonPathError> = when {
    element is JsonNull ->
        if (descriptor.isNullable) emptyList() else listOf(JsonPathError(path, "must not be null"))
    descriptor.isInline -> schemaErrors(element, descriptor.getElementDescriptor(0), path)
    else -> when (descriptor.kind) {
        StructureKind.CLASS -> objectErrors(element, descriptor, path)
        StructureKind.LIST -> listErrors(element, descriptor, path)
        SerialKind.ENUM -> enumErrors(element, descriptor, path)
        else -> primitiveErrors(element, descriptor.kind, path)
    }
}

private fun objectErrors(element: JsonElement, descriptor: SerialDescriptor, path: String): List<JsonPathError> {
    if (element !is JsonObject) return wrongType(path, "an object", element)
    val names = (0 until descriptor.elementsCount).associateBy { descriptor.getElementName(it) }
    val unknown = element.keys.filter { it !in names }.map { name ->
        val near = names.keys.firstOrNull { it.equals(name, ignoreCase = true) }
        JsonPathError("$path.$name", if (near == null) "unknown setting" else "unknown setting; meant is \"$near\"")
    }
    val known = names.flatMap { (name, index) ->
        val value = element[name]
        when {
            value != null -> schemaErrors(value, descriptor.getElementDescriptor(index), "$path.$name")
            descriptor.isElementOptional(index) -> emptyList()
            else -> listOf(JsonPathError("$path.$name", "required setting is missing"))
        }
    }
    return unknown + known
}

private fun listErrors(element: JsonElement, descriptor: SerialDescriptor, path: String): List<JsonPathError> {
    if (element !is JsonArray) return wrongType(path, "a list", element)
    return element.flatMapIndexed { index, item ->
        schemaErrors(item, descriptor.getElementDescriptor(0), "$path[$index]")
    }
}

private fun enumErrors(element: JsonElement, descriptor: SerialDescriptor, path: String): List<JsonPathError> {
    val names = (0 until descriptor.elementsCount).map { descriptor.getElementName(it) }
    val isKnown = element is JsonPrimitive && element.isString && element.content in names
    return if (isKnown) emptyList() else listOf(JsonPathError(path, "must be one of ${names.joinToString(", ")}"))
}

private fun primitiveErrors(element: JsonElement, kind: SerialKind, path: String): List<JsonPathError> {
    val primitive = element as? JsonPrimitive
    val number = primitive?.takeUnless { it.isString }
    val (fits, expected) = when (kind) {
        PrimitiveKind.STRING -> (primitive?.isString == true) to "a text"
        PrimitiveKind.BOOLEAN -> (number?.content in setOf("true", "false")) to "true or false"
        PrimitiveKind.INT -> (number?.intOrNull != null) to "a whole number up to ${Int.MAX_VALUE}"
        PrimitiveKind.LONG -> (number?.longOrNull != null) to "a whole number"
        PrimitiveKind.DOUBLE -> (number?.doubleOrNull != null) to "a number"
        else -> error("settings of kind $kind are not supported")
    }
    return if (fits) emptyList() else wrongType(path, expected, element)
}

private fun wrongType(path: String, expected: String, found: JsonElement): List<JsonPathError> =
    listOf(JsonPathError(path, "must be $expected, not ${kindOf(found)}"))

private fun kindOf(element: JsonElement): String = when {
    element is JsonObject -> "an object"
    element is JsonArray -> "a list"
    element is JsonPrimitive && element.isString -> "a text"
    element is JsonPrimitive && element.doubleOrNull != null -> "a number"
    else -> "true, false or null"
}
