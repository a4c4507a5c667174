/*
 * Ownership records and session records, stored as JSON in the table service: the owner of a resource under
 * `owners/<resource>`, and the process that runs on a VM under `sessions/<vm>`. Docs: docs/design.md, sections 4.1
 * and 4.2.
 */
package org.lentilquay.state

import kotlinx.serialization.Serializable

/** Whether an order loads or unloads an adapter on a backend server. */
@Serializable
enum class OrderKind { LOAD, UNLOAD }

/**
 * An order that may have been sent, or may still be sent, to a server that does not check fencing numbers. It is
 * recorded before it is sent, so that the next owner takes its possible effect into account.
 */
@Serializable
data class PendingOrder(
    val kind: OrderKind,
    val adapter: AdapterVersion,
    /** The process that recorded the order; [fence] is its fencing number. */
    val vm: VmId,
    val incarnation: Incarnation,
    val fence: Long,
)

/** The ownership of one resource. */
@Serializable
data class OwnershipRecord(
    /** The owner, or null after a release. The record is kept, so that fencing numbers and versions never restart. */
    val vm: VmId?,
    val incarnation: Incarnation,
    /** The fencing number; it rises with each change of owner. */
    val fence: Long,
    /** The order of the current owner that is in progress. */
    val pendingOrder: PendingOrder? = null,
    /** Orders of former owners that may still take effect on the server. */
    val inheritedOrders: List<PendingOrder> = emptyList(),
    /** Identifies the write, so that its writer recognizes it when the response was lost. */
    val nonce: String,
)

/** The heartbeat of a VM: its lease has expired when [counter] has not changed for the lease time. */
@Serializable
data class SessionRecord(
    val vm: VmId,
    val incarnation: Incarnation,
    /** Increases with each renewal. */
    val counter: Long,
    val address: String,
    val domain: DomainId,
    val nonce: String,
)

/** The table key of the ownership record of [resource], for example a backend server or `weight-store/<name>`. */
fun ownerKey(resource: String): String = "owners/$resource"

/** The table key of the session record of [vm]. */
fun sessionKey(vm: VmId): String = "sessions/$vm"
