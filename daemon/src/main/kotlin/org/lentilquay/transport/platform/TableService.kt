/*
 * The operations of the platform's transactional table service that the coordination of the VMs uses.
 */
package org.lentilquay.transport.platform

import org.lentilquay.protocol.TableItem
import org.lentilquay.protocol.TableOperation

/**
 * A key-value table with versioned items and transactions. A service that can return from a copy of its data numbers
 * its eras; after a return, versions are assigned again. Eras are null if the service has none.
 */
interface TableService {
    /** Applies [operations] atomically. The versions of their conditions were read in [readEra]. */
    suspend fun transact(operations: List<TableOperation>, readEra: Long? = null): TransactResult

    /** The item at [key], or null when there is none. */
    suspend fun item(key: String): ReadResult<TableItem?>

    /** All items whose keys start with [prefix], read page by page. The pages are not one consistent snapshot. */
    suspend fun scan(prefix: String): ReadResult<List<TableItem>>
}
