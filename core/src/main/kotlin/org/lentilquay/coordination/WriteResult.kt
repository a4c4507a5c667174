/*
 * The result of a transaction for the VM that sent it to the table service. An answer can be lost after the write took
 * effect, and a write can take effect after its sender timed out; both are [WriteResult.UNKNOWN].
 */
package org.lentilquay.coordination

enum class WriteResult {
    COMMITTED,

    /** A version differed from the expected one; nothing was written. */
    CONFLICT,

    /** The transaction may have taken effect, or may still do so. */
    UNKNOWN,

    /** The transaction was not sent. */
    NOT_SENT,
}
