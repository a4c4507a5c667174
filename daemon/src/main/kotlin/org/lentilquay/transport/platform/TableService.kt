/*
 * The transactional table service as the coordination of the VMs uses it.
 */
package org.lentilquay.transport.platform

import org.lentilquay.protocol.TableItem
import org.lentilquay.protocol.TableOperation

/** A table of versioned items with transactions. */
interface TableService {
    /** Applies all of [operations] or none. */
    suspend fun transact(operations: List<TableOperation>): TransactResult

    /** The item at [key], or null when there is none. */
    suspend fun item(key: String): ReadResult<TableItem?>

    /** All items whose keys start with [prefix], page by page. The pages are not one consistent view. */
    suspend fun scan(prefix: String): ReadResult<List<TableItem>>
}
