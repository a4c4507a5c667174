/*
 * HTTP client of the platform: table service, object store and VM list. Every call has a timeout in milliseconds and is
 * sent once, without retries. The number of concurrent calls is limited, so that connections to a slow platform do not
 * pile up; a call that gets no permit in time fails as unavailable, with certainly no effect. Thread-safe. Docs:
 * docs/design.md, section 5.3.
 */
package org.lentilquay.transport.platform

import io.ktor.http.HttpStatusCode
import io.ktor.http.encodeURLParameter
import io.ktor.http.encodeURLPathPart
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.nullable
import kotlinx.serialization.json.Json
import org.lentilquay.protocol.ListedVm
import org.lentilquay.protocol.ScanAnswer
import org.lentilquay.protocol.TableItem
import org.lentilquay.protocol.TableOperation
import org.lentilquay.protocol.TableTransaction
import org.lentilquay.protocol.TransactionAnswer
import org.lentilquay.protocol.VmList
import org.lentilquay.state.VmId
import org.lentilquay.transport.http.BodyReadResult
import org.lentilquay.transport.http.HttpRequest
import org.lentilquay.transport.http.UnpooledExchange
import org.lentilquay.transport.http.UnpooledHttpClient
import org.lentilquay.transport.http.readFully
import java.util.concurrent.atomic.LongAdder

/** Request header that identifies the calling VM to the platform. */
const val VM_ID_HEADER: String = "X-Vm-Id"

private const val DEFAULT_TIMEOUT_MILLIS = 1_000L
private const val DEFAULT_CONCURRENT_CALLS = 32
private const val DEFAULT_PAGE_SIZE = 500
private const val MAXIMUM_RESPONSE_BYTES = 64 shl 20
private const val CLIENT_ERRORS = 400
private const val SERVER_ERRORS = 500

private val JSON_CONTENT = "Content-Type" to "application/json"
private val BINARY_CONTENT = "Content-Type" to "application/octet-stream"
private val json = Json { ignoreUnknownKeys = true }

/** Timeouts and limits of a [PlatformClient]. */
data class PlatformOptions(
    val timeoutMillis: Long = DEFAULT_TIMEOUT_MILLIS,
    /** Shorter than [timeoutMillis], so that calls to an unreachable platform fail with certainly no effect. */
    val connectMillis: Long = DEFAULT_TIMEOUT_MILLIS / 2,
    val concurrentCalls: Int = DEFAULT_CONCURRENT_CALLS,
)

/** Calls the platform at [address] (`ip:port`) as [vm]. */
class PlatformClient(
    private val address: String,
    vm: VmId,
    private val options: PlatformOptions = PlatformOptions(),
) : TableService, AutoCloseable {
    private val headers = listOf(VM_ID_HEADER to vm.text)
    private val http = UnpooledHttpClient(options.connectMillis)
    private val callPermits = Semaphore(options.concurrentCalls)
    private val readCount = LongAdder()
    private val writeCount = LongAdder()

    /** Number of reads of items, objects and the VM list, including failed ones. */
    val reads: Long get() = readCount.sum()

    /** Number of table transactions and object writes, including failed ones. */
    val writes: Long get() = writeCount.sum()

    override suspend fun transact(operations: List<TableOperation>, readEra: Long?): TransactResult {
        writeCount.increment()
        val body = json.encodeToString(TableTransaction.serializer(), TableTransaction(operations)).encodeToByteArray()
        val request = HttpRequest("POST", "/table/transact", headers + JSON_CONTENT, body)
        return when (val outcome = send(request)) {
            is CallOutcome.NoEffect -> TransactResult.Unavailable(outcome.reason)
            is CallOutcome.Unknown -> TransactResult.OutcomeUnknown(outcome.reason)
            is CallOutcome.Response -> transactResult(outcome)
        }
    }

    override suspend fun item(key: String): ReadResult<TableItem?> {
        readCount.increment()
        return read(get("/table/item", "key" to key)) { decode(TableItem.serializer().nullable, it) }
    }

    /** Up to [limit] items whose keys start with [prefix] and sort after [after]. */
    suspend fun scanPage(
        prefix: String,
        after: String? = null,
        limit: Int = DEFAULT_PAGE_SIZE,
    ): ReadResult<ScanAnswer> {
        readCount.increment()
        val request = get("/table/scan", "prefix" to prefix, "after" to after, "limit" to limit.toString())
        return required(read(request) { decode(ScanAnswer.serializer(), it) })
    }

    override suspend fun scan(prefix: String): ReadResult<List<TableItem>> = scan(prefix, DEFAULT_PAGE_SIZE)

    /** All items whose keys start with [prefix], in pages of [pageSize]. */
    suspend fun scan(prefix: String, pageSize: Int): ReadResult<List<TableItem>> {
        val items = mutableListOf<TableItem>()
        var after: String? = null
        do {
            val page = when (val result = scanPage(prefix, after, pageSize)) {
                is ReadResult.Read -> result.value
                is ReadResult.Unavailable -> return result
            }
            items += page.items
            // A faulty service that always returns the same key would otherwise keep the caller in this loop.
            if (page.next != null && page.next == after) return ReadResult.Unavailable("scan made no progress")
            after = page.next
        } while (after != null)
        return ReadResult.Read(items)
    }

    /** Writes the object; slashes in [name] are path separators. */
    suspend fun putObject(name: String, content: ByteArray): ObjectWriteResult = write(
        HttpRequest("PUT", objectPath(name), headers + BINARY_CONTENT, content),
    )

    /** Deletes the object; deleting an absent object counts as written. */
    suspend fun deleteObject(name: String): ObjectWriteResult = write(HttpRequest("DELETE", objectPath(name), headers))

    /** The content of the object, or null when there is none. */
    suspend fun getObject(name: String): ReadResult<ByteArray?> {
        readCount.increment()
        return read(get(objectPath(name))) { it }
    }

    /** The platform's list of live and leaving VMs, which lags behind changes. */
    suspend fun vmList(): ReadResult<List<ListedVm>> {
        readCount.increment()
        return required(read(get("/vms")) { decode(VmList.serializer(), it).vms })
    }

    override fun close() = http.close()

    private suspend fun write(request: HttpRequest): ObjectWriteResult {
        writeCount.increment()
        return when (val outcome = send(request)) {
            is CallOutcome.NoEffect -> ObjectWriteResult.Unavailable(outcome.reason)
            is CallOutcome.Unknown -> ObjectWriteResult.OutcomeUnknown(outcome.reason)
            is CallOutcome.Response -> when {
                outcome.isSuccess || isAbsentDelete(request, outcome) -> ObjectWriteResult.Written
                outcome.hadNoEffect -> ObjectWriteResult.Unavailable("status ${outcome.status}")
                else -> ObjectWriteResult.OutcomeUnknown("status ${outcome.status}")
            }
        }
    }

    private suspend fun <T> read(request: HttpRequest, decode: (ByteArray) -> T): ReadResult<T?> =
        when (val outcome = send(request)) {
            is CallOutcome.NoEffect -> ReadResult.Unavailable(outcome.reason)
            is CallOutcome.Unknown -> ReadResult.Unavailable(outcome.reason)
            is CallOutcome.Response -> when {
                outcome.isSuccess -> decoded(outcome.body, decode)
                outcome.status == HttpStatusCode.NotFound.value -> ReadResult.Read(null)
                else -> ReadResult.Unavailable("status ${outcome.status}")
            }
        }

    private suspend fun send(request: HttpRequest): CallOutcome {
        withTimeoutOrNull(options.timeoutMillis) { callPermits.acquire() }
            ?: return CallOutcome.NoEffect("${options.concurrentCalls} calls already in progress")
        return try {
            when (val exchange = http.open(address, request, options.timeoutMillis)) {
                is UnpooledExchange.NotWritten -> CallOutcome.NoEffect(exchange.reason)
                is UnpooledExchange.Lost -> CallOutcome.Unknown(exchange.reason)
                is UnpooledExchange.Answered -> exchange.use { outcome(it) }
            }
        } finally {
            callPermits.release()
        }
    }

    private suspend fun outcome(answer: UnpooledExchange.Answered): CallOutcome {
        val status = answer.status
        return when (val body = answer.readFully(MAXIMUM_RESPONSE_BYTES, options.timeoutMillis)) {
            is BodyReadResult.Complete -> CallOutcome.Response(status, body.bytes)
            is BodyReadResult.TooLarge -> CallOutcome.Unknown("response larger than ${body.maximumBytes} bytes")
            is BodyReadResult.Lost -> CallOutcome.Unknown(body.reason)
        }
    }

    /** A GET request for [path]; parameters without a value are omitted. */
    private fun get(path: String, vararg parameters: Pair<String, String?>): HttpRequest {
        val given = parameters.filter { it.second != null }
            .joinToString("&") { (name, value) -> "$name=${value.orEmpty().encodeURLParameter()}" }
        return HttpRequest("GET", if (given.isEmpty()) path else "$path?$given", headers)
    }
}

/** The result of sending one request. */
private sealed interface CallOutcome {
    data class NoEffect(val reason: String) : CallOutcome

    data class Unknown(val reason: String) : CallOutcome

    class Response(val status: Int, val body: ByteArray) : CallOutcome {
        val isSuccess get() = status in HttpStatusCode.OK.value until HttpStatusCode.MultipleChoices.value

        /** The platform sends a 4xx status or 503 only if nothing took effect. After others the outcome is unknown. */
        val hadNoEffect
            get() = status in CLIENT_ERRORS until SERVER_ERRORS || status == HttpStatusCode.ServiceUnavailable.value
    }
}

private fun transactResult(outcome: CallOutcome.Response): TransactResult {
    val isConflict = outcome.status == HttpStatusCode.Conflict.value
    if (!isConflict && outcome.hadNoEffect) return TransactResult.Unavailable("status ${outcome.status}")
    if (!isConflict && !outcome.isSuccess) return TransactResult.OutcomeUnknown("status ${outcome.status}")
    return when (val answer = decoded(outcome.body) { decode(TransactionAnswer.serializer(), it) }) {
        is ReadResult.Read ->
            if (isConflict || !answer.value.committed) {
                TransactResult.Conflict(answer.value.conflicts)
            } else {
                TransactResult.Committed(answer.value.versions)
            }
        is ReadResult.Unavailable ->
            if (isConflict) TransactResult.Conflict(emptyList()) else TransactResult.OutcomeUnknown(answer.reason)
    }
}

/** The path of an object. Slashes in [name] separate path segments; other special characters are encoded. */
private fun objectPath(name: String) = "/objects/" + name.split('/').joinToString("/") { it.encodeURLPathPart() }

private fun isAbsentDelete(request: HttpRequest, outcome: CallOutcome.Response): Boolean =
    request.method == "DELETE" && outcome.status == HttpStatusCode.NotFound.value

private fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray): T =
    json.decodeFromString(serializer, bytes.decodeToString())

private fun <T> decoded(bytes: ByteArray, decode: (ByteArray) -> T): ReadResult<T> =
    try {
        ReadResult.Read(decode(bytes))
    } catch (failure: SerializationException) {
        ReadResult.Unavailable("response is not valid: ${failure.message?.lineSequence()?.first()}")
    }

/** Turns status 404 into a failure, for reads whose target always exists. */
private fun <T : Any> required(result: ReadResult<T?>): ReadResult<T> = when (result) {
    is ReadResult.Read -> result.value?.let { ReadResult.Read(it) } ?: ReadResult.Unavailable("status 404")
    is ReadResult.Unavailable -> result
}
