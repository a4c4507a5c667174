/*
 * Turns exceptions of the network library into results.
 */
package org.lentilquay.transport

import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive

/**
 * Runs [block] and returns an exception as a failed result, but rethrows if the calling coroutine was cancelled. Ktor
 * reports some lost connections as cancellation exceptions; those are failures here, not a cancellation of the caller.
 * A stack overflow is a failure of [block] as well, because data from outside can cause it; other errors are rethrown.
 */
internal suspend inline fun <T> runSuspendCatching(block: () -> T): Result<T> =
    runCatching(block).onFailure { failure ->
        if (failure is Error && failure !is StackOverflowError) throw failure
        currentCoroutineContext().ensureActive()
    }

/** The class name and the first line of the message of [failure]. */
internal fun describe(failure: Throwable): String =
    listOfNotNull(failure::class.simpleName, failure.message?.lineSequence()?.first()).joinToString(": ")
