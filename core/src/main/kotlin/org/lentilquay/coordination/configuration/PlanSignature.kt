/*
 * Signs plans, so that any VM can confirm a plan that another VM created. The signature is an HMAC-SHA-256, keyed with
 * the fleet secret, over the canonical JSON of the plan: all fields including defaults, sorted object names, and an
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

/** The key for plan signatures, made of the secret that all VMs share; its text never appears in logs. */
class PlanSigningKey(secret: String) {
    private val key = SecretKeySpec(secret.encodeToByteArray(), ALGORITHM)

    internal fun sign(text: String): String {
        val mac = Mac.getInstance(ALGORITHM).apply { init(key) }
        return HexFormat.of().formatHex(mac.doFinal(text.encodeToByteArray()))
    }

    override fun toString(): String = "PlanSigningKey"
}

private val canonicalJson = Json { encodeDefaults = true }

/** Returns this plan with its signature. */
fun Plan.signed(key: PlanSigningKey): Plan = copy(signature = key.sign(canonicalText()))

/** Whether the signature is valid for this plan. The comparison takes constant time. */
fun Plan.isSignedWith(key: PlanSigningKey): Boolean =
    MessageDigest.isEqual(key.sign(canonicalText()).encodeToByteArray(), signature.encodeToByteArray())

private fun Plan.canonicalText(): String =
    sorted(canonicalJson.encodeToJsonElement(Plan.serializer(), copy(signature = ""))).toString()

private fun sorted(element: JsonElement): JsonElement = when (element) {
    is JsonObject -> JsonObject(element.toSortedMap().mapValues { sorted(it.value) })
    is JsonArray -> JsonArray(element.map(::sorted))
    else -> element
}
