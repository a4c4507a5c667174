/*
 * One time limit of a [TimedInput], which begins when it is created, and the bytes that may be taken after its end.
 */
package org.lentilquay.transport

private const val NANOS_PER_MILLI = 1_000_000L

internal class InputLimit(private val millis: () -> Long, private var lateBytes: Long) {
    private val startedAt = System.nanoTime()

    /** Time to the end of the limit as it is now; not positive once it has passed. */
    fun remainingMillis(): Long = millis() - (System.nanoTime() - startedAt) / NANOS_PER_MILLI

    /** Counts [bytes] that were taken; throws if the limit has passed and they are too many. */
    fun taken(bytes: Long) {
        if (bytes == 0L || remainingMillis() > 0) return
        lateBytes -= bytes
        if (lateBytes < 0) throw timeout()
    }

    fun timeout() = InputTimeoutException(millis(), -remainingMillis())
}
