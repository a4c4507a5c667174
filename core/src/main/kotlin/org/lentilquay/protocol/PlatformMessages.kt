/*
 * The wire types of the platform: a transactional table service, an object store and the lagging list of VMs, as JSON
 * over HTTP. Docs: docs/design.md, section 5.3.
 */
package org.lentilquay.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An item of the table service. [version] rises by one with each write of the key and starts at 1. */
@Serializable
data class TableItem(val key: String, val value: String, val version: Long)

/** One operation of a transaction. */
@Serializable
sealed interface TableOperation {
    val key: String

    /** Writes [value] if the item has [expectedVersion]; 0 stands for absent, null for any version. */
    @Serializable
    @SerialName("put")
    data class Put(
        override val key: String,
        val value: String,
        @SerialName("expected_version") val expectedVersion: Long? = null,
    ) : TableOperation

    /** Removes the item if it has [expectedVersion]; null stands for any version. */
    @Serializable
    @SerialName("delete")
    data class Delete(
        override val key: String,
        @SerialName("expected_version") val expectedVersion: Long? = null,
    ) : TableOperation

    /** Holds if the item has [expectedVersion]; 0 stands for absent. */
    @Serializable
    @SerialName("check")
    data class Check(
        override val key: String,
        @SerialName("expected_version") val expectedVersion: Long,
    ) : TableOperation
}

/** Body of `POST /table/transact`; all operations take effect or none. */
@Serializable
data class TableTransaction(val operations: List<TableOperation>)

/** Answer of `POST /table/transact`: 200 with the new versions, or 409 with the keys whose version differed. */
@Serializable
data class TransactionAnswer(
    val committed: Boolean,
    val versions: Map<String, Long> = emptyMap(),
    val conflicts: List<String> = emptyList(),
)

/** Answer of `GET /table/scan`; [next] is the key to pass as `after`, or null at the end. */
@Serializable
data class ScanAnswer(val items: List<TableItem>, val next: String? = null)

/** One line of `GET /vms`. */
@Serializable
data class ListedVm(
    val id: String,
    val address: String,
    val domain: String,
    val kind: ListedVmKind,
    val state: ListedVmState,
)

@Serializable
enum class ListedVmKind {
    /** A VM of the system. */
    @SerialName("vm")
    VM,

    /** A VM that runs a backend server; its id is the server's id. */
    @SerialName("backend")
    BACKEND,
}

@Serializable
enum class ListedVmState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}

/** Answer of `GET /vms`. */
@Serializable
data class VmList(val vms: List<ListedVm>)

/** Parts of the platform that can have an outage of their own. */
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

/** How the platform treats requests in an outage. */
@Serializable
enum class OutageMode {
    /** Requests are answered with status 503. */
    @SerialName("refuse")
    REFUSE,

    /** Requests get no answer. */
    @SerialName("hang")
    HANG,
}

/** Body of `POST /control` of the platform stand-in; absent fields stay as they are. */
@Serializable
data class PlatformControl(
    val outage: Boolean? = null,
    @SerialName("outage_mode") val outageMode: OutageMode? = null,
    /** The parts that an outage or a cut-off concerns; initially all. */
    @SerialName("outage_of") val outageOf: Set<PlatformPart>? = null,
    @SerialName("delay_ms") val delayMillis: Long? = null,
    /** The next this many writes take effect but their answers are lost. */
    @SerialName("lose_answers") val loseAnswers: Int? = null,
    @SerialName("list_lag_ms") val listLagMillis: Long? = null,
    /** Callers, by the `X-Vm-Id` header, whose requests are refused. */
    @SerialName("cut_off") val cutOff: Set<String>? = null,
    /** Reads of the table show the state of this long ago. */
    @SerialName("stale_reads_ms") val staleReadsMillis: Long? = null,
)
