/*
 * Syntax checks of names, addresses and key hashes in a configuration. No check resolves a host name or opens a socket.
 */
package org.lentilquay.state.internal

import java.net.InetAddress
import java.net.UnknownHostException

/** Maximum length of identifiers, which become part of table keys and metric labels. */
internal const val MAXIMUM_NAME_LENGTH = 64

/** Maximum length of the names of adapters, base models and services; engines use longer names for these. */
internal const val MAXIMUM_MODEL_NAME_LENGTH = 128

private const val MAXIMUM_PORT = 65_535
private const val IPV4_OCTETS = 4
private const val MAXIMUM_OCTET = 255

// A slash separates the parts of table keys, and '@' separates an adapter from its version, so names contain neither.
private val name = Regex("[A-Za-z0-9][A-Za-z0-9._-]*")
private val baseModelName = Regex("[A-Za-z0-9][A-Za-z0-9._-]*(/[A-Za-z0-9][A-Za-z0-9._-]*)?")
private val sha256 = Regex("[0-9a-f]{64}")
private val port = Regex("[1-9][0-9]{0,4}")
private val octet = Regex("0|[1-9][0-9]{0,2}")
private val ipv6 = Regex("\\[[0-9A-Fa-f:.]+]")

internal fun isName(text: String, maximumLength: Int = MAXIMUM_NAME_LENGTH): Boolean =
    text.length <= maximumLength && name.matches(text)

/** A base model may have one publisher prefix, as in `publisher/model`. */
internal fun isBaseModelName(text: String): Boolean =
    text.length <= MAXIMUM_MODEL_NAME_LENGTH && baseModelName.matches(text)

internal fun isSha256(text: String): Boolean = sha256.matches(text)

/** Whether [text] is `ip:port`, with an IPv6 address in square brackets. */
internal fun isAddress(text: String): Boolean {
    val separator = text.lastIndexOf(':')
    if (separator <= 0) return false
    val portText = text.substring(separator + 1)
    if (!port.matches(portText) || portText.toInt() > MAXIMUM_PORT) return false
    val ip = text.substring(0, separator)
    return isIpv4(ip) || isBracketedIpv6(ip)
}

private fun isIpv4(text: String): Boolean {
    val octets = text.split('.')
    return octets.size == IPV4_OCTETS && octets.all { octet.matches(it) && it.toInt() <= MAXIMUM_OCTET }
}

private fun isBracketedIpv6(text: String): Boolean =
    ipv6.matches(text) &&
        try {
            // An address in brackets is always parsed as a literal and never looked up in DNS.
            InetAddress.getByName(text)
            true
        } catch (_: UnknownHostException) {
            false
        }
