/*
 * Fetches the weights of an adapter from the weight store, as an engine does for a load.
 */
package org.lentilquay.standins.internal

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.statement.readRawBytes
import io.ktor.http.isSuccess
import kotlinx.io.IOException

/** [store] is the base address of the weight store; null makes every fetch of a path succeed immediately. */
internal class WeightFetcher(private val store: String?) : AutoCloseable {
    private val client = lazy { HttpClient(CIO) }

    /** Fetches [path], an address or a path below the weight store's address; returns whether that succeeded. */
    suspend fun fetch(path: String): Boolean {
        val address = when {
            path.startsWith("http://") -> path
            store == null -> return true
            else -> "${store.trimEnd('/')}/${path.trimStart('/')}"
        }
        return try {
            val answer = client.value.get(address)
            answer.readRawBytes()
            answer.status.isSuccess()
        } catch (_: IOException) {
            false
        }
    }

    override fun close() {
        if (client.isInitialized()) client.value.close()
    }
}
