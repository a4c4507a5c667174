/*
 * Identifiers of configured items and of the processes that serve them. Each is a value class over the text that
 * appears in settings, tables and messages, so that the compiler keeps the kinds of identifier apart.
 */
package org.lentilquay.state

import kotlinx.serialization.Serializable

/** Identifies a VM of the system. It stays the same when the process on the VM restarts. */
@Serializable
@JvmInline
value class VmId(val text: String) : Comparable<VmId> {
    override fun compareTo(other: VmId): Int = text.compareTo(other.text)
    override fun toString(): String = text
}

/** The number of the current process of a VM or backend server; a later process has a higher number. */
@Serializable
@JvmInline
value class Incarnation(val number: Long) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = number.compareTo(other.number)
    override fun toString(): String = number.toString()
}

/** Identifies a backend server: a model engine or a plain service. */
@Serializable
@JvmInline
value class ServerId(val text: String) : Comparable<ServerId> {
    override fun compareTo(other: ServerId): Int = text.compareTo(other.text)
    override fun toString(): String = text
}

/** Identifies a failure domain. */
@Serializable
@JvmInline
value class DomainId(val text: String) : Comparable<DomainId> {
    override fun compareTo(other: DomainId): Int = text.compareTo(other.text)
    override fun toString(): String = text
}

/** Identifies a team. */
@Serializable
@JvmInline
value class TeamId(val text: String) : Comparable<TeamId> {
    override fun compareTo(other: TeamId): Int = text.compareTo(other.text)
    override fun toString(): String = text
}

/** Identifies an API key without revealing it; only the hash of the key itself is stored. */
@Serializable
@JvmInline
value class KeyId(val text: String) : Comparable<KeyId> {
    override fun compareTo(other: KeyId): Int = text.compareTo(other.text)
    override fun toString(): String = text
}

/** Identifies a route by the name that callers use. */
@Serializable
@JvmInline
value class RouteId(val text: String) : Comparable<RouteId> {
    override fun compareTo(other: RouteId): Int = text.compareTo(other.text)
    override fun toString(): String = text
}

/** One version of an adapter. */
@Serializable
data class AdapterVersion(val adapter: String, val version: Int) : Comparable<AdapterVersion> {
    /** The model name under which an engine loads and serves this version. */
    val engineName: String get() = "$adapter@$version"

    override fun compareTo(other: AdapterVersion): Int =
        compareValuesBy(this, other, AdapterVersion::adapter, AdapterVersion::version)

    override fun toString(): String = engineName
}

/** Parses an [AdapterVersion.engineName]; returns null if the text is not one. */
fun adapterVersionOf(engineName: String): AdapterVersion? {
    val separator = engineName.lastIndexOf('@')
    val version = engineName.substring(separator + 1).toIntOrNull()
    return if (separator <= 0 || version == null) null else AdapterVersion(engineName.substring(0, separator), version)
}
