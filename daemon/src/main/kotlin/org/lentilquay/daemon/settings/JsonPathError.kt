/*
 * A fault of the settings as the checks find it, before its line is looked up.
 */
package org.lentilquay.daemon.settings

/** A fault at a JSON path. */
internal data class JsonPathError(val path: String, val message: String)
