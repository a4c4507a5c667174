/*
 * A secret in memory, wrapped so that it does not end up in logs and error messages.
 */
package org.lentilquay.transport

/** A secret whose `toString` does not show it. */
class Secret(private val bytes: ByteArray) {
    /** Calls [use] with the bytes of the secret. */
    fun <T> reveal(use: (ByteArray) -> T): T = use(bytes)

    override fun toString(): String = "(secret)"
}
