/*
 * Failures of calls into the network library as results.
 */
package org.lentilquay.transport

import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive

/**
 * Runs [block] and returns its failure as a result, unless the calling coroutine itself was cancelled. Ktor reports
 * some lost connections as cancellation exceptions, which must not be mistaken for the cancellation of the caller.
 */
internal suspend inline fun <T> runSuspendCatching(block: () -> T): Result<T> =
    runCatching(block).onFailure { failure ->
        if (failure is Error) throw failure
        currentCoroutineContext().ensureActive()
    }

/** The class and message of [failure] on one line. */
internal fun describe(failure: Throwable): String =
    listOfNotNull(failure::class.simpleName, failure.message?.lineSequence()?.first()).joinToString(": ")
