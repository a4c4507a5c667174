/*
 * The record of one quota seat, stored as JSON in the table service under `seats/<n>`. A quota seat is one of the equal
 * shares into which the token bucket of every team is divided; one VM holds it. Docs: docs/design.md, section 4.4.
 */
package org.lentilquay.state

import kotlinx.serialization.Serializable

/**
 * The seat holder, the process [incarnation] of [vm]. The record of a released seat is kept with a null [vm], so that
 * the version of the key never restarts.
 */
@Serializable
data class QuotaSeatRecord(
    val vm: VmId?,
    val incarnation: Incarnation,
    /** Identifies the write, so that its writer recognizes it when the response was lost. */
    val nonce: String,
    /** The era of the table service in which the record was written; null if it has no eras. */
    val era: Long? = null,
)

/** The table key of seat [number]. */
fun quotaSeatKey(number: Int): String = "seats/$number"
