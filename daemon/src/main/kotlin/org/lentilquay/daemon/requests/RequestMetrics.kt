/*
 * What request handling counts. Times are in milliseconds.
 */
package org.lentilquay.daemon.requests

import org.lentilquay.daemon.metrics.RetryReason
import org.lentilquay.state.ErrorKind

/** Counts requests and their outcomes. Safe for use from several threads. */
interface RequestMetrics {
    /** The first part of an answer came [millis] after the request. */
    fun firstToken(millis: Long)

    /**
     * An inference request was answered whole, [millis] after it came. [loadWaitMillis] is the time for which it waited
     * for a load, or null.
     */
    fun finished(usage: Usage, loadWaitMillis: Long?, millis: Long)

    /** A part of an answer came [millis] after the part before it. */
    fun tokenGap(millis: Long)

    /** A request is sent to a backend server again. */
    fun retried(reason: RetryReason)

    /** A call to a plain service was answered [millis] after it came. */
    fun serviceAnswered(millis: Long)

    /** A caller got an error. */
    fun failed(kind: ErrorKind)
}
