/*
 * What a VM knows about a transaction that it sent to the table service. An answer can be lost after the write took
 * effect, and a write can take effect after its sender gave up; both are [WriteResult.UNKNOWN].
 */
package org.lentilquay.coordination

enum class WriteResult {
    COMMITTED,

    /** The service answered that a version differed; nothing was written. */
    CONFLICT,

    /** The transaction may have taken effect, or may still do so. */
    UNKNOWN,

    /** The transaction was not sent. */
    NOT_SENT,
}
