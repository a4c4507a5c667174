/*
 * Backend servers as they register themselves with the platform, and the names of adapters on engines.
 */
package org.lentilquay.state.gateway

import kotlinx.serialization.Serializable
import org.lentilquay.state.DomainId
import org.lentilquay.state.ServerId

/** An adapter of the base model [model]; two base models may have adapters of the same name. */
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
    /** The number of requests that the server runs concurrently. */
    val batchSlots: Int,
    /** Whether the server is about to stop and accepts no new requests. */
    val isDraining: Boolean,
    /** How long the server was still going to be cold when it registered, in milliseconds. */
    val coldMillis: Long,
    /** When the process started, in milliseconds since the epoch; null if the server does not report it. */
    val startedAtEpochMillis: Long?,
    /** The loaded base models. */
    val models: Set<String>,
    /** The loaded adapters with their versions. */
    val adapters: Map<AdapterName, Long> = emptyMap(),
    /** How long a draining server was still going to run when it wrote this, in milliseconds; null if it names none. */
    val remainingMillis: Long? = null,
)
