/*
 * A backend server as it registers itself, and the adapters that engines hold.
 */
package org.lentilquay.state.gateway

import kotlinx.serialization.Serializable
import org.lentilquay.state.DomainId
import org.lentilquay.state.ServerId

/** An adapter of a base model. */
@Serializable
data class AdapterName(val model: String, val adapter: String) {
    override fun toString(): String = "$model/$adapter"
}

/** A backend server; [address] is `ip:port`. */
data class RegisteredServer(
    val id: ServerId,
    val service: String,
    val address: String,
    val domain: DomainId,
    val batchSlots: Int,
    val isDraining: Boolean,
    /** How much longer the server is cold, in milliseconds, when it registered. */
    val coldMillis: Long,
    /** When the process started, in milliseconds since the epoch; null if the server does not tell. */
    val startedAtEpochMillis: Long?,
    /** The base models that the server holds. */
    val models: Set<String>,
    /** The adapters that the server holds, with their versions. */
    val adapters: Map<AdapterName, Long> = emptyMap(),
)
