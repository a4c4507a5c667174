/*
 * The metrics of request handling. Times are in milliseconds.
 */
package org.lentilquay.daemon.requests

import org.lentilquay.daemon.metrics.RetryReason
import org.lentilquay.state.ErrorKind

/** Counts requests and their outcomes. Safe for use from several threads. */
interface RequestMetrics {
    /** The first chunk of a response arrived [millis] after the request. */
    fun firstToken(millis: Long)

    /**
     * An inference request was answered completely, [millis] after it arrived. [loadWaitMillis] is the time for which
     * it waited for its adapter to be loaded, or null.
     */
    fun finished(usage: Usage, loadWaitMillis: Long?, millis: Long)

    /** A chunk of a response arrived [millis] after the chunk before it. */
    fun tokenGap(millis: Long)

    /** A request is sent again, to the same or another backend server. */
    fun retried(reason: RetryReason)

    /** A call to a plain service was answered [millis] after it arrived. */
    fun serviceAnswered(millis: Long)

    /** A request failed with an error. */
    fun failed(kind: ErrorKind)
}
