/*
 * Parses socket addresses. Addresses in settings, tables and messages have the form `ip:port`, with IPv6 addresses in
 * brackets. Host names are not resolved, so that the system does not depend on a name service.
 */
package org.lentilquay.transport.http

import java.net.InetAddress

private const val MAXIMUM_PORT = 65_535
private const val MAXIMUM_OCTET = 255
private val IPV4 = Regex("""(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3})""")
private val IPV6 = Regex("""[0-9a-fA-F:.]*:[0-9a-fA-F:.]*""")

/** An IP address without brackets, and a port. A server that listens at port 0 gets a free port from the system. */
data class IpAddress(val ip: String, val port: Int) {
    override fun toString(): String = if (':' in ip) "[$ip]:$port" else "$ip:$port"
}

/** Parses `ip:port` or `[ipv6]:port`; null for any other text, including host names. */
fun ipAddressOf(text: String): IpAddress? {
    val separator = text.lastIndexOf(':')
    val port = text.substring(separator + 1).takeIf { digits -> digits.all { it in '0'..'9' } }?.toIntOrNull()
    if (separator <= 0 || port == null || port > MAXIMUM_PORT) return null
    val host = text.substring(0, separator)
    val bracketed = host.startsWith('[') && host.endsWith(']')
    return when {
        bracketed && isIpv6(host) -> IpAddress(host.drop(1).dropLast(1), port)
        !bracketed && isIpv4(host) -> IpAddress(host, port)
        else -> null
    }
}

private fun isIpv4(host: String): Boolean =
    IPV4.matchEntire(host)?.destructured?.toList()?.all { it.toInt() <= MAXIMUM_OCTET } ?: false

/** Whether the bracketed [host] is an IPv6 address. The name service is not asked about text in brackets. */
private fun isIpv6(host: String): Boolean =
    IPV6.matches(host.drop(1).dropLast(1)) && runCatching { InetAddress.getByName(host) }.isSuccess
