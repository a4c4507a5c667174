/*
 * The table record of one quota seat, kept under `seats/<n>` as JSON. A seat is an equal share of the rate and burst of
 * every team. Docs: docs/design.md, section 4.4.
 */
package org.lentilquay.state

import kotlinx.serialization.Serializable

/** Who holds a seat. A released seat keeps its record with no [vm], so that the version of the key never restarts. */
@Serializable
data class QuotaSeatRecord(
    val vm: VmId?,
    val incarnation: Incarnation,
    /** Identifies the write, so that its writer recognizes it after a lost answer. */
    val nonce: String,
)

/** The table key of seat [number]. */
fun quotaSeatKey(number: Int): String = "seats/$number"
