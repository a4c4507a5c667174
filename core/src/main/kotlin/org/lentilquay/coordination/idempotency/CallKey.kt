/*
 * The table key of a non-repeatable call. An idempotency key is scoped to a team and a route and has 1 to 255 visible
 * ASCII characters. Team, route and key are percent-encoded, so that a separator in one of them cannot lead to the
 * record of another team or route.
 */
package org.lentilquay.coordination.idempotency

import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Outcome
import org.lentilquay.state.RouteId
import org.lentilquay.state.TeamId
import org.lentilquay.state.failed

/** The maximum length of an idempotency key in characters. */
const val MAXIMUM_IDEMPOTENCY_KEY_LENGTH: Int = 255

private const val BYTE_MASK = 0xFF
private const val HEXADECIMAL = 16
private val PLAIN_CHARACTERS = (('a'..'z') + ('A'..'Z') + ('0'..'9') + '-' + '_').toSet()

/** The table key of a non-repeatable call, built by [callKeyOf]. */
@JvmInline
value class CallKey internal constructor(val tableKey: String)

/** Validates the `Idempotency-Key` header [key], null if absent, and returns the key of the call. */
fun callKeyOf(team: TeamId, route: RouteId, key: String?): Outcome<CallKey> = when {
    key.isNullOrEmpty() ->
        failed(ErrorKind.IDEMPOTENCY_KEY_REQUIRED, "this call needs the header Idempotency-Key")
    key.length > MAXIMUM_IDEMPOTENCY_KEY_LENGTH ->
        failed(ErrorKind.MALFORMED_REQUEST, "Idempotency-Key is longer than $MAXIMUM_IDEMPOTENCY_KEY_LENGTH characters")
    key.any { it !in '!'..'~' } ->
        failed(ErrorKind.MALFORMED_REQUEST, "Idempotency-Key has characters other than visible ASCII")
    else -> Outcome.Success(CallKey("idempotency/${team.text.encoded()}/${route.text.encoded()}/${key.encoded()}"))
}

private fun String.encoded(): String = buildString {
    for (byte in this@encoded.encodeToByteArray()) {
        val character = byte.toInt().toChar()
        if (character in PLAIN_CHARACTERS) {
            append(character)
        } else {
            append('%').append((byte.toInt() and BYTE_MASK).toString(HEXADECIMAL).uppercase().padStart(2, '0'))
        }
    }
}
