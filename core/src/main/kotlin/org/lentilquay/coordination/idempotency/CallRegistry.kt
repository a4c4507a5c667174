/*
 * The non-repeatable calls that this VM has recorded in the table service, by nonce. Calls that have not ended are
 * always kept. Ended calls are kept up to a limit, then the oldest are dropped; a dropped call counts as UNKNOWN, which
 * never leads to another run.
 */
package org.lentilquay.coordination.idempotency

/** The maximum number of ended calls that a VM keeps; about 200 bytes each. */
const val MAXIMUM_ENDED_CALLS: Int = 20_000

/** The phase of a call on the VM that recorded it. */
internal enum class CallPhase(val hasEnded: Boolean) {
    RECORDING(false),
    RUNNING(false),
    FINISHED(true),
    OUTCOME_UNKNOWN(true),

    /** Not dispatched, or refused by the service before it ran. Final, because other VMs rely on it. */
    NOT_RUN(true),
}

internal data class Call(
    val key: CallKey,
    val fingerprint: String,
    val phase: CallPhase,
    /** The version that the write of this call expects, then the version of its record. */
    val version: Long,
)

internal class CallRegistry(private val maximumEnded: Int) {
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
