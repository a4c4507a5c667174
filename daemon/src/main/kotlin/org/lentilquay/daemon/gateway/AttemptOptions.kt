/*
 * What one attempt of a request may do.
 */
package org.lentilquay.daemon.gateway

internal class AttemptOptions(
    /**
     * Whether another attempt may follow or run beside this one, so that an error response is returned and not passed
     * on.
     */
    val mayRetry: Boolean,
    val watch: AttemptWatch,
    /** Called when the server has sent the first event of a stream. */
    val onFirstEvent: () -> Unit,
)
