/*
 * An error in the settings, before its line in the file is looked up.
 */
package org.lentilquay.daemon.settings

/** An error at a JSON path such as `$.seeds[2].address`. */
internal data class JsonPathError(val path: String, val message: String)
