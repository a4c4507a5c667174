/*
 * Wire types of the platform, JSON over HTTP: a transactional key-value service (the table service), an object store
 * and an eventually consistent list of VMs. Docs: docs/design.md, section 5.3.
 */
package org.lentilquay.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An item of the table service. [version] starts at 1 and increases by one with each write of the key. */
@Serializable
data class TableItem(val key: String, val value: String, val version: Long)

/** One operation of a transaction. */
@Serializable
sealed interface TableOperation {
    val key: String

    /** Writes [value] if the item has [expectedVersion]; 0 means that it must not exist, null allows any version. */
    @Serializable
    @SerialName("put")
    data class Put(
        override val key: String,
        val value: String,
        @SerialName("expected_version") val expectedVersion: Long? = null,
    ) : TableOperation

    /** Deletes the item if it has [expectedVersion]; null allows any version. */
    @Serializable
    @SerialName("delete")
    data class Delete(
        override val key: String,
        @SerialName("expected_version") val expectedVersion: Long? = null,
    ) : TableOperation

    /** A condition without a write: the item must have [expectedVersion]; 0 means that it must not exist. */
    @Serializable
    @SerialName("check")
    data class Check(
        override val key: String,
        @SerialName("expected_version") val expectedVersion: Long,
    ) : TableOperation
}

/** Body of `POST /table/transact`. The operations are applied atomically. */
@Serializable
data class TableTransaction(val operations: List<TableOperation>)

/** Response of `POST /table/transact`: 200 with the new versions, or 409 with the keys whose version differed. */
@Serializable
data class TransactionAnswer(
    val committed: Boolean,
    val versions: Map<String, Long> = emptyMap(),
    val conflicts: List<String> = emptyList(),
)

/** Response of `GET /table/scan`. [next] is the key to pass as `after`, or null on the last page. */
@Serializable
data class ScanAnswer(val items: List<TableItem>, val next: String? = null)

/** An entry of the platform's VM list. */
@Serializable
data class ListedVm(
    val id: String,
    val address: String,
    /** The failure domain. */
    val domain: String,
    val kind: ListedVmKind,
    val state: ListedVmState,
)

/** What a listed VM runs. */
@Serializable
enum class ListedVmKind {
    /** A VM of the serving layer. */
    @SerialName("vm")
    VM,

    /** A VM that runs a backend server; its id is the id of the server. */
    @SerialName("backend")
    BACKEND,
}

/** The state of a listed VM. */
@Serializable
enum class ListedVmState {
    @SerialName("live")
    LIVE,

    /** The VM is about to stop. */
    @SerialName("leaving")
    LEAVING,
}

/** Response of `GET /vms`. */
@Serializable
data class VmList(val vms: List<ListedVm>)

/** Services of the platform that can fail independently. */
@Serializable
enum class PlatformPart {
    @SerialName("table")
    TABLE,

    @SerialName("objects")
    OBJECTS,

    @SerialName("list")
    LIST,

    @SerialName("weights")
    WEIGHTS,
}

/** How the platform fails requests during an outage. */
@Serializable
enum class OutageMode {
    /** Every request gets status 503. */
    @SerialName("refuse")
    REFUSE,

    /** Requests get no response. */
    @SerialName("hang")
    HANG,
}

/** Body of `POST /control` of the platform stand-in, which injects faults. Absent fields are left unchanged. */
@Serializable
data class PlatformControl(
    val outage: Boolean? = null,
    @SerialName("outage_mode") val outageMode: OutageMode? = null,
    /** The services that an outage or a cut-off affects; initially all. */
    @SerialName("outage_of") val outageOf: Set<PlatformPart>? = null,
    /** Delay of every response, in milliseconds. */
    @SerialName("delay_ms") val delayMillis: Long? = null,
    /** The number of subsequent writes that take effect while their responses are lost. */
    @SerialName("lose_answers") val loseAnswers: Int? = null,
    /** How far the VM list lags behind, in milliseconds. */
    @SerialName("list_lag_ms") val listLagMillis: Long? = null,
    /** VMs, by the `X-Vm-Id` header, whose requests are refused. */
    @SerialName("cut_off") val cutOff: Set<String>? = null,
    /** Staleness of table reads, in milliseconds. */
    @SerialName("stale_reads_ms") val staleReadsMillis: Long? = null,
)
