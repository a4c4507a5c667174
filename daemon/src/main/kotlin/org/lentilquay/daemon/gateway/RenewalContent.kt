/*
 * What duties add to the renewals of the member record of this VM. Called on the control thread.
 */
package org.lentilquay.daemon.gateway

import org.lentilquay.protocol.TableOperation

class RenewalContent(
    /** Whether the member record carries the offset of the wall clock. */
    val hasWallOffset: () -> Boolean = { false },
    /** Writes that share the transaction of the renewal, so that they need no further call. */
    val additionalWrites: () -> List<TableOperation> = { emptyList() },
)
