/*
 * Secrets in memory. The type keeps them out of logs and messages.
 */
package org.lentilquay.transport

/** A secret that shows itself in no text. */
class Secret(private val bytes: ByteArray) {
    /** Runs [use] with the bytes of the secret. */
    fun <T> reveal(use: (ByteArray) -> T): T = use(bytes)

    override fun toString(): String = "(secret)"
}
