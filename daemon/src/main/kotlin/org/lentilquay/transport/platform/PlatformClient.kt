/*
 * The client of the platform: table service, object store and VM list, as JSON over HTTP. Every call has a time bound
 * in milliseconds and is sent once. The number of calls at once is bounded, so that a slow platform does not pile up
 * connections; a call that finds no room in time is unavailable with certainly no effect. Docs: docs/design.md, 5.3.
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

/** Names the calling VM to the platform. */
const val VM_ID_HEADER: String = "X-Vm-Id"

private const val DEFAULT_TIMEOUT_MILLIS = 1_000L
private const val DEFAULT_CONCURRENCY = 32
private const val DEFAULT_PAGE_SIZE = 500
private const val MAXIMUM_ANSWER_BYTES = 64 shl 20
private const val CLIENT_ERRORS = 400
private const val SERVER_ERRORS = 500

private val JSON_CONTENT = "Content-Type" to "application/json"
private val BINARY_CONTENT = "Content-Type" to "application/octet-stream"
private val json = Json { ignoreUnknownKeys = true }

/** The bounds of a [PlatformClient]. */
data class PlatformOptions(
    val timeoutMillis: Long = DEFAULT_TIMEOUT_MILLIS,
    /** Shorter than [timeoutMillis], so that an unreachable platform gives a certain answer. */
    val connectMillis: Long = DEFAULT_TIMEOUT_MILLIS / 2,
    val concurrentCalls: Int = DEFAULT_CONCURRENCY,
)

/** Calls the platform at `ip:port` [address] as [vm]. */
class PlatformClient(
    private val address: String,
    vm: VmId,
    private val options: PlatformOptions = PlatformOptions(),
) : TableService, AutoCloseable {
    private val headers = listOf(VM_ID_HEADER to vm.text)
    private val exchanges = UnpooledHttpClient(options.connectMillis)
    private val places = Semaphore(options.concurrentCalls)
    private val readCount = LongAdder()
    private val writeCount = LongAdder()

    /** Table and object reads and list reads since the start, including failed ones. */
    val reads: Long get() = readCount.sum()

    /** Table and object writes since the start, including failed ones. */
    val writes: Long get() = writeCount.sum()

    override suspend fun transact(operations: List<TableOperation>): TransactResult {
        writeCount.increment()
        val body = json.encodeToString(TableTransaction.serializer(), TableTransaction(operations)).encodeToByteArray()
        val request = HttpRequest("POST", "/table/transact", headers + JSON_CONTENT, body)
        return when (val reply = send(request)) {
            is Reply.NoEffect -> TransactResult.Unavailable(reply.reason)
            is Reply.Unknown -> TransactResult.OutcomeUnknown(reply.reason)
            is Reply.Whole -> transactResult(reply)
        }
    }

    override suspend fun item(key: String): ReadResult<TableItem?> {
        readCount.increment()
        return read(get("/table/item", "key" to key)) { decode(TableItem.serializer().nullable, it) }
    }

    /** One page of the items whose keys start with [prefix] and come after [after], at most [limit]. */
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
            // A service that returned the same key for ever would otherwise hold the caller in this loop.
            if (page.next != null && page.next == after) return ReadResult.Unavailable("scan made no progress")
            after = page.next
        } while (after != null)
        return ReadResult.Read(items)
    }

    /** Writes the object; slashes in [name] stay slashes in the path. */
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

    /** The platform's list of live and leaving VMs, which lags behind. */
    suspend fun vmList(): ReadResult<List<ListedVm>> {
        readCount.increment()
        return required(read(get("/vms")) { decode(VmList.serializer(), it).vms })
    }

    override fun close() = exchanges.close()

    private suspend fun write(request: HttpRequest): ObjectWriteResult {
        writeCount.increment()
        return when (val reply = send(request)) {
            is Reply.NoEffect -> ObjectWriteResult.Unavailable(reply.reason)
            is Reply.Unknown -> ObjectWriteResult.OutcomeUnknown(reply.reason)
            is Reply.Whole -> when {
                reply.isSuccess || isAbsentDelete(request, reply) -> ObjectWriteResult.Written
                reply.hadNoEffect -> ObjectWriteResult.Unavailable("status ${reply.status}")
                else -> ObjectWriteResult.OutcomeUnknown("status ${reply.status}")
            }
        }
    }

    private suspend fun <T> read(request: HttpRequest, decode: (ByteArray) -> T): ReadResult<T?> =
        when (val reply = send(request)) {
            is Reply.NoEffect -> ReadResult.Unavailable(reply.reason)
            is Reply.Unknown -> ReadResult.Unavailable(reply.reason)
            is Reply.Whole -> when {
                reply.isSuccess -> decoded(reply.body, decode)
                reply.status == HttpStatusCode.NotFound.value -> ReadResult.Read(null)
                else -> ReadResult.Unavailable("status ${reply.status}")
            }
        }

    private suspend fun send(request: HttpRequest): Reply {
        withTimeoutOrNull(options.timeoutMillis) { places.acquire() }
            ?: return Reply.NoEffect("${options.concurrentCalls} calls already in progress")
        return try {
            when (val exchange = exchanges.open(address, request, options.timeoutMillis)) {
                is UnpooledExchange.NotWritten -> Reply.NoEffect(exchange.reason)
                is UnpooledExchange.Lost -> Reply.Unknown(exchange.reason)
                is UnpooledExchange.Answered -> exchange.use { reply(it) }
            }
        } finally {
            places.release()
        }
    }

    private suspend fun reply(answer: UnpooledExchange.Answered): Reply {
        val status = answer.status
        return when (val body = answer.readFully(MAXIMUM_ANSWER_BYTES, options.timeoutMillis)) {
            is BodyReadResult.Complete -> Reply.Whole(status, body.bytes)
            is BodyReadResult.TooLarge -> Reply.Unknown("answer larger than ${body.maximumBytes} bytes")
            is BodyReadResult.Lost -> Reply.Unknown(body.reason)
        }
    }

    /** A read of [path]; parameters without a value are left out. */
    private fun get(path: String, vararg parameters: Pair<String, String?>): HttpRequest {
        val given = parameters.filter { it.second != null }
            .joinToString("&") { (name, value) -> "$name=${value.orEmpty().encodeURLParameter()}" }
        return HttpRequest("GET", if (given.isEmpty()) path else "$path?$given", headers)
    }
}

/** What came back for one request. */
private sealed interface Reply {
    data class NoEffect(val reason: String) : Reply

    data class Unknown(val reason: String) : Reply

    class Whole(val status: Int, val body: ByteArray) : Reply {
        val isSuccess get() = status in HttpStatusCode.OK.value until HttpStatusCode.MultipleChoices.value

        /** A refusal in the 400 range, or 503, is given before anything takes effect. Other failures say nothing. */
        val hadNoEffect
            get() = status in CLIENT_ERRORS until SERVER_ERRORS || status == HttpStatusCode.ServiceUnavailable.value
    }
}

private fun transactResult(reply: Reply.Whole): TransactResult {
    val isConflict = reply.status == HttpStatusCode.Conflict.value
    if (!isConflict && reply.hadNoEffect) return TransactResult.Unavailable("status ${reply.status}")
    if (!isConflict && !reply.isSuccess) return TransactResult.OutcomeUnknown("status ${reply.status}")
    return when (val answer = decoded(reply.body) { decode(TransactionAnswer.serializer(), it) }) {
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

/** Slashes in the name of an object are part of the path; everything else that is not plain is encoded. */
private fun objectPath(name: String) = "/objects/" + name.split('/').joinToString("/") { it.encodeURLPathPart() }

private fun isAbsentDelete(request: HttpRequest, reply: Reply.Whole): Boolean =
    request.method == "DELETE" && reply.status == HttpStatusCode.NotFound.value

private fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray): T =
    json.decodeFromString(serializer, bytes.decodeToString())

private fun <T> decoded(bytes: ByteArray, decode: (ByteArray) -> T): ReadResult<T> =
    try {
        ReadResult.Read(decode(bytes))
    } catch (failure: SerializationException) {
        ReadResult.Unavailable("unreadable answer: ${failure.message?.lineSequence()?.first()}")
    }

/** A read for which "absent" is not a possible answer. */
private fun <T : Any> required(result: ReadResult<T?>): ReadResult<T> = when (result) {
    is ReadResult.Read -> result.value?.let { ReadResult.Read(it) } ?: ReadResult.Unavailable("status 404")
    is ReadResult.Unavailable -> result
}
