/*
 * Compares a JSON tree with the serial descriptor of a data class and lists every difference. The JSON library itself
 * stops at the first one; an operator who repairs a settings file wants to see all of them. Messages never repeat a
 * value, because it may be a secret in the wrong place.
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

/** Lists how [element] at [path] differs from [descriptor]. */
internal fun schemaFaults(element: JsonElement, descriptor: SerialDescriptor, path: String): List<PathFault> = when {
    element is JsonNull -> if (descriptor.isNullable) emptyList() else listOf(PathFault(path, "must not be null"))
    descriptor.isInline -> schemaFaults(element, descriptor.getElementDescriptor(0), path)
    else -> when (descriptor.kind) {
        StructureKind.CLASS -> objectFaults(element, descriptor, path)
        StructureKind.LIST -> listFaults(element, descriptor, path)
        SerialKind.ENUM -> enumFaults(element, descriptor, path)
        else -> primitiveFaults(element, descriptor.kind, path)
    }
}

private fun objectFaults(element: JsonElement, descriptor: SerialDescriptor, path: String): List<PathFault> {
    if (element !is JsonObject) return wrongType(path, "an object", element)
    val names = (0 until descriptor.elementsCount).associateBy { descriptor.getElementName(it) }
    val unknown = element.keys.filter { it !in names }.map { name ->
        val near = names.keys.firstOrNull { it.equals(name, ignoreCase = true) }
        PathFault("$path.$name", if (near == null) "unknown setting" else "unknown setting; meant is \"$near\"")
    }
    val known = names.flatMap { (name, index) ->
        val value = element[name]
        when {
            value != null -> schemaFaults(value, descriptor.getElementDescriptor(index), "$path.$name")
            descriptor.isElementOptional(index) -> emptyList()
            else -> listOf(PathFault("$path.$name", "required setting is missing"))
        }
    }
    return unknown + known
}

private fun listFaults(element: JsonElement, descriptor: SerialDescriptor, path: String): List<PathFault> {
    if (element !is JsonArray) return wrongType(path, "a list", element)
    return element.flatMapIndexed { index, item ->
        schemaFaults(item, descriptor.getElementDescriptor(0), "$path[$index]")
    }
}

private fun enumFaults(element: JsonElement, descriptor: SerialDescriptor, path: String): List<PathFault> {
    val names = (0 until descriptor.elementsCount).map { descriptor.getElementName(it) }
    val isKnown = element is JsonPrimitive && element.isString && element.content in names
    return if (isKnown) emptyList() else listOf(PathFault(path, "must be one of ${names.joinToString(", ")}"))
}

private fun primitiveFaults(element: JsonElement, kind: SerialKind, path: String): List<PathFault> {
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

private fun wrongType(path: String, expected: String, found: JsonElement): List<PathFault> =
    listOf(PathFault(path, "must be $expected, not ${kindOf(found)}"))

private fun kindOf(element: JsonElement): String = when {
    element is JsonObject -> "an object"
    element is JsonArray -> "a list"
    element is JsonPrimitive && element.isString -> "a text"
    element is JsonPrimitive && element.doubleOrNull != null -> "a number"
    else -> "true, false or null"
}
