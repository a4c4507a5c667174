/*
 * The table records of ownership: who owns a resource (`owners/<resource>`), and which process runs on a VM
 * (`sessions/<vm>`), as JSON. Docs: docs/design.md, sections 4.1 and 4.2.
 */
package org.lentilquay.state

import kotlinx.serialization.Serializable

/** What an order does to an adapter on a backend server. */
@Serializable
enum class OrderKind { LOAD, UNLOAD }

/** An order that its owner may have sent, or may still send, to a server that ignores fencing numbers. */
@Serializable
data class PendingOrder(
    val kind: OrderKind,
    val adapter: AdapterVersion,
    /** The owner that wrote the order, and the fence under which it did. */
    val vm: VmId,
    val incarnation: Incarnation,
    val fence: Long,
)

@Serializable
data class OwnershipRecord(
    /** The owner, or null after a release. The record stays, so that fences and versions never restart. */
    val vm: VmId?,
    val incarnation: Incarnation,
    /** The fencing number; it rises with each change of the owner. */
    val fence: Long,
    /** The owner's own order under way. */
    val pendingOrder: PendingOrder? = null,
    /** Orders of former owners that may still take effect. */
    val inheritedOrders: List<PendingOrder> = emptyList(),
    val nonce: String,
)

@Serializable
data class SessionRecord(
    val vm: VmId,
    val incarnation: Incarnation,
    /** Rises with each renewal. */
    val counter: Long,
    val address: String,
    val domain: DomainId,
    val nonce: String,
)

/** The table key of the ownership of [resource], for example a backend server or `weight-store/<name>`. */
fun ownerKey(resource: String): String = "owners/$resource"

/** The table key of the session of [vm]. */
fun sessionKey(vm: VmId): String = "sessions/$vm"
