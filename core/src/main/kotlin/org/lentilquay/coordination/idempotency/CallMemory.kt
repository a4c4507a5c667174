/*
 * What a VM remembers of the non-repeatable calls that it recorded, by nonce. Calls under way are always remembered.
 * Ended ones are kept up to a bound, the oldest first out; a forgotten call is UNKNOWN, which never leads to a run.
 */
package org.lentilquay.coordination.idempotency

/** Ended calls that a VM remembers; about 200 bytes each. */
const val MAXIMUM_ENDED_CALLS: Int = 20_000

/** How far a call has come on the VM that recorded it. */
internal enum class CallPhase(val hasEnded: Boolean) {
    RECORDING(false),
    RUNNING(false),
    FINISHED(true),
    OUTCOME_UNKNOWN(true),

    /** Not dispatched, or refused by the service before it ran; final, because other VMs act on it. */
    NOT_RUN(true),
}

internal data class Call(
    val key: CallKey,
    val fingerprint: String,
    val phase: CallPhase,
    /** The version of the record while this VM's write is in place. */
    val version: Long,
)

internal class CallMemory(private val maximumEnded: Int) {
    private val active = HashMap<String, Call>()
    private val ended = LinkedHashMap<String, Call>()

    operator fun get(nonce: String): Call? = active[nonce] ?: ended[nonce]

    operator fun set(nonce: String, call: Call) {
        if (call.phase.hasEnded) {
            active.remove(nonce)
            ended[nonce] = call
            if (ended.size > maximumEnded) ended.remove(ended.keys.first())
        } else {
            active[nonce] = call
        }
    }
}
