/*
 * The settings of one VM, read once at the start from a JSON file with comments. Everything that operators change
 * while the system runs is configuration and not in here. Times are in milliseconds, sizes in bytes. The defaults are
 * those of docs/design.md, section 4.
 */
package org.lentilquay.daemon.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.lentilquay.state.DomainId
import org.lentilquay.state.VmId

/** All settings of a VM. */
@Serializable
data class Settings(
    val vm: VmId,
    val failureDomain: DomainId,
    val callers: ListenerSettings,
    val administration: ListenerSettings,
    val peers: PeerSettings,
    val platform: PlatformSettings,
    /** The secret by which the VMs of the fleet know each other. */
    val fleetSecret: SecretReference,
    /** Other VMs that are asked first at the start, before the platform's list is there. */
    val seeds: List<SeedSettings> = emptyList(),
    val operators: List<OperatorSettings>,
    val limits: LimitSettings = LimitSettings(),
    /** Equal shares into which every team's rate and burst are divided; the same on every VM. */
    val quotaSeats: Int = 16,
    val timing: TimingSettings = TimingSettings(),
    val weightStore: WeightStoreSettings,
    val log: LogSettings = LogSettings(),
    /** For experiments only; leave it out in service. */
    val placement: PlacementSettings = PlacementSettings(),
)

/** Where a listener binds, as `ip:port`. */
@Serializable
data class ListenerSettings(val listen: String)

/** The listener for other VMs and the address under which they reach it. */
@Serializable
data class PeerSettings(
    val listen: String,
    /** Address that is given to other VMs; null stands for [listen]. */
    val advertise: String? = null,
) {
    val advertisedAddress: String get() = advertise ?: listen
}

@Serializable
data class PlatformSettings(
    val address: String,
    val timeoutMillis: Long = 1_000,
    val concurrentCalls: Int = 32,
)

/** Another VM of the fleet. */
@Serializable
data class SeedSettings(val vm: VmId, val address: String, val failureDomain: DomainId)

/** An operator and the SHA-256 of the operator's token in hexadecimal. */
@Serializable
data class OperatorSettings(val name: String, val tokenSha256: String)

@Serializable
data class LimitSettings(
    /** Largest body of a caller's request, in bytes. */
    val bodyBytes: Int = 1_048_576,
    /** Largest total of a request's headers, in bytes. */
    val headerBytes: Int = 16_384,
    /** Callers' requests in progress at once on this VM. */
    val concurrentRequests: Int = 2_048,
)

/** Intervals and bounds, in milliseconds. */
@Serializable
data class TimingSettings(
    /** A session record that has not changed for this long, plus [leaseMarginMillis], belongs to a dead process. */
    val leaseMillis: Long = 3_000,
    val leaseMarginMillis: Long = 1_000,
    /** Interval at which a VM renews its session record. */
    val renewMillis: Long = 1_000,
    /** Interval at which an owner shows its fencing number to each of its engines. */
    val claimMillis: Long = 1_000,
    /** A claim proves ownership for this long after it was sent. */
    val claimValidityMillis: Long = 2_000,
    /** A grant may be used until this long after the poll that got it was sent. */
    val grantValidityMillis: Long = 1_500,
    /** An owner answers a reservation within this time. */
    val reservePollMillis: Long = 400,
    /** Network margin in the waiting time of a new owner. */
    val networkMarginMillis: Long = 1_000,
    val headPollMillis: Long = 2_000,
    /** A VM counts as current for this long after it confirmed the head of the configuration. */
    val freshnessMillis: Long = 3_000,
    val probeMillis: Long = 400,
    /** A suspect member is dead after this time unless it refutes. */
    val suspicionMillis: Long = 2_000,
    /** An answer with tokens is accepted only this long after the request for them was sent. */
    val tokenTransferMillis: Long = 500,
    val planValidityMillis: Long = 600_000,
    /** A duplicate of a call in progress waits this long for its answer. */
    val duplicateWaitMillis: Long = 10_000,
    val quarantineMillis: Long = 600_000,
    val loadReportMillis: Long = 500,
    /** Longest silence of an engine between two events of a stream. */
    val streamIdleMillis: Long = 30_000,
    /** Longest time that a planned stop waits for requests in progress. */
    val drainMillis: Long = 120_000,
) {
    /** How long a new owner evicts nothing: old claim validity, then grant validity, then the network margin. */
    val newOwnerWaitMillis: Long get() = claimValidityMillis + grantValidityMillis + networkMarginMillis
}

/** The weight store from which engines load adapters, with the load that it bears. */
@Serializable
data class WeightStoreSettings(val name: String, val loadsPerSecond: Double, val parallelLoads: Int = 2)

/** How inference requests are spread over engines. Every VM of a fleet needs the same value. For experiments only. */
@Serializable
data class PlacementSettings(val order: PlacementOrder = PlacementOrder.HOME_FIRST)

@Serializable
enum class PlacementOrder {
    /** First the home of the adapter, then the next two servers in rank if the wait is long. */
    @SerialName("home-first")
    HOME_FIRST,

    /** Baseline: the home of the adapter only. */
    @SerialName("consistent-hashing")
    CONSISTENT_HASHING,

    /** Baseline: any server. */
    @SerialName("random")
    RANDOM,

    /** Baseline: the server on which this VM has the fewest requests. */
    @SerialName("least-outstanding")
    LEAST_OUTSTANDING,
}

@Serializable
data class LogSettings(val format: LogFormat = LogFormat.JSON)

@Serializable
enum class LogFormat {
    @SerialName("json")
    JSON,

    @SerialName("logfmt")
    LOGFMT,
}

/** Says where a secret is: in a file or in an environment variable. The secret itself is never in the settings. */
@Serializable
data class SecretReference(val file: String? = null, val environment: String? = null)
