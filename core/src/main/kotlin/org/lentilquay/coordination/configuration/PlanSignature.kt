/*
 * Signs plans, so that any VM can confirm a plan that another one made. The signature is HMAC-SHA-256 with a secret of
 * the fleet over the canonical JSON of the plan: all fields with their defaults, objects with sorted names, and an
 * empty signature.
 */
package org.lentilquay.coordination.configuration

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import org.lentilquay.protocol.Plan
import java.security.MessageDigest
import java.util.HexFormat
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

private const val ALGORITHM = "HmacSHA256"

/** The secret that all VMs share; its text never appears in logs. */
class PlanSigningKey(secret: String) {
    private val key = SecretKeySpec(secret.encodeToByteArray(), ALGORITHM)

    internal fun sign(text: String): String {
        val mac = Mac.getInstance(ALGORITHM).apply { init(key) }
        return HexFormat.of().formatHex(mac.doFinal(text.encodeToByteArray()))
    }

    override fun toString(): String = "FleetSecret"
}

private val canonicalJson = Json { encodeDefaults = true }

/** This plan with its signature. */
fun Plan.signed(secret: PlanSigningKey): Plan = copy(signature = secret.sign(canonicalText()))

/** Whether the signature belongs to this plan. The comparison takes the same time for every wrong signature. */
fun Plan.isSignedWith(secret: PlanSigningKey): Boolean =
    MessageDigest.isEqual(secret.sign(canonicalText()).encodeToByteArray(), signature.encodeToByteArray())

private fun Plan.canonicalText(): String =
    sorted(canonicalJson.encodeToJsonElement(Plan.serializer(), copy(signature = ""))).toString()

private fun sorted(element: JsonElement): JsonElement = when (element) {
    is JsonObject -> JsonObject(element.toSortedMap().mapValues { sorted(it.value) })
    is JsonArray -> JsonArray(element.map(::sorted))
    else -> element
}
