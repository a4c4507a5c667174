/*
 * The settings of one VM, read once at the start from a JSON file with comments. Everything that operators can change
 * at runtime is configuration instead. Property names are the names in the file. Times are in milliseconds, sizes in
 * bytes. The defaults are those of docs/design.md, section 4.
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
    /** The shared secret with which the VMs authenticate each other and sign plans. */
    val fleetSecret: SecretReference,
    /** Initial members: VMs that are probed at the start, before the platform's VM list has been read. */
    val seeds: List<SeedSettings> = emptyList(),
    val operators: List<OperatorSettings>,
    val limits: LimitSettings = LimitSettings(),
    /**
     * The number of quota seats: equal shares into which the token bucket of every team is divided. It must be the same
     * on every VM.
     */
    val quotaSeats: Int = 16,
    val timing: TimingSettings = TimingSettings(),
    val weightStore: WeightStoreSettings,
    val log: LogSettings = LogSettings(),
    /** For experiments only; omit it in production. */
    val placement: PlacementSettings = PlacementSettings(),
)

/** The address to which a listener binds, as `ip:port`. */
@Serializable
data class ListenerSettings(val listen: String)

/** The listener for other VMs and the address at which they reach it. */
@Serializable
data class PeerSettings(
    val listen: String,
    /** The address that is sent to other VMs; null means [listen]. */
    val advertise: String? = null,
) {
    /** The address at which other VMs reach this VM. */
    val advertisedAddress: String get() = advertise ?: listen
}

/** The client of the platform's services. */
@Serializable
data class PlatformSettings(
    val address: String,
    /** The timeout of one call. */
    val timeoutMillis: Long = 1_000,
    /** The limit of concurrent calls. */
    val concurrentCalls: Int = 32,
)

/** An initial member of the fleet. */
@Serializable
data class SeedSettings(val vm: VmId, val address: String, val failureDomain: DomainId)

/** An operator with the SHA-256 of the operator's token, in hexadecimal. */
@Serializable
data class OperatorSettings(val name: String, val tokenSha256: String)

/** Limits on requests of callers. */
@Serializable
data class LimitSettings(
    /** The maximum size of a request body. */
    val bodyBytes: Int = 1_048_576,
    /** The maximum total size of the request headers. */
    val headerBytes: Int = 16_384,
    /** The maximum number of concurrent requests on this VM. */
    val concurrentRequests: Int = 2_048,
    /** The maximum number of callers' connections; null means as many as descriptors and heap allow. */
    val connections: Int? = null,
    /** The time within which the head of a request must arrive. */
    val headerMillis: Long = 10_000,
    /** The time after which a connection without a request is closed, and the longest pause within a body. */
    val idleMillis: Long = 45_000,
)

/** Intervals, timeouts and validity times, in milliseconds. */
@Serializable
data class TimingSettings(
    /** The lease of a VM has expired when its session record has not changed for this long plus [leaseMarginMillis]. */
    val leaseMillis: Long = 3_000,
    /** The safety margin of [leaseMillis]. */
    val leaseMarginMillis: Long = 1_000,
    /** The interval between renewals of the session record. */
    val renewMillis: Long = 1_000,
    /** The interval between ownership claims, by which an owner proves its fencing number to its engines. */
    val claimMillis: Long = 1_000,
    /** How long an ownership claim is valid after it was sent. */
    val claimValidityMillis: Long = 2_000,
    /** How long a granted reservation may be used after the poll that received it was sent. */
    val grantValidityMillis: Long = 1_500,
    /** The maximum time until an owner answers a poll of a reservation. */
    val reservePollMillis: Long = 400,
    /** The network delay that [newOwnerWaitMillis] allows for. */
    val networkMarginMillis: Long = 1_000,
    /** The interval between reads of the head revision of the configuration. */
    val headPollMillis: Long = 2_000,
    /** The freshness limit: how long a confirmation of the head revision keeps a VM current. */
    val freshnessMillis: Long = 3_000,
    /** The interval between probes of members. */
    val probeMillis: Long = 400,
    /** How long a member is suspect before it is declared dead, unless it refutes the suspicion. */
    val suspicionMillis: Long = 2_000,
    /** How long after a transfer request its tokens are still accepted. */
    val tokenTransferMillis: Long = 500,
    /** How long a plan can be confirmed. */
    val planValidityMillis: Long = 600_000,
    /** The maximum wait of a duplicate for the response of the call in progress. */
    val duplicateWaitMillis: Long = 10_000,
    /** How long suspect requests are refused. */
    val quarantineMillis: Long = 600_000,
    /** The interval between reads of the load report of an engine. */
    val loadReportMillis: Long = 500,
    /** The maximum time between two events of an engine's stream. */
    val streamIdleMillis: Long = 30_000,
    /** The maximum time that a planned stop waits for active requests. */
    val drainMillis: Long = 120_000,
) {
    /**
     * How long a new owner evicts no adapters: until the claims and the granted reservations of the former owner are no
     * longer valid, plus the network margin.
     */
    val newOwnerWaitMillis: Long get() = claimValidityMillis + grantValidityMillis + networkMarginMillis
}

/** The weight store from which engines load adapters. [loadsPerSecond] and [parallelLoads] limit loads of the fleet. */
@Serializable
data class WeightStoreSettings(val name: String, val loadsPerSecond: Double, val parallelLoads: Int = 2)

/** The placement of inference requests on engines, the same on every VM. For experiments only. */
@Serializable
data class PlacementSettings(val order: PlacementOrder = PlacementOrder.HOME_FIRST)

/** The order in which engines are considered for a request. */
@Serializable
enum class PlacementOrder {
    /** The first engine in the adapter's rendezvous ranking, then the next two if the expected wait is long. */
    @SerialName("home-first")
    HOME_FIRST,

    /** Baseline: only the first engine in the adapter's rendezvous ranking. */
    @SerialName("consistent-hashing")
    CONSISTENT_HASHING,

    /** Baseline: a random engine. */
    @SerialName("random")
    RANDOM,

    /** Baseline: the engine with the fewest active requests of this VM. */
    @SerialName("least-outstanding")
    LEAST_OUTSTANDING,
}

/** The format of the log. */
@Serializable
data class LogSettings(val format: LogFormat = LogFormat.JSON)

/** One JSON object per line, or logfmt key-value pairs. */
@Serializable
enum class LogFormat {
    @SerialName("json")
    JSON,

    @SerialName("logfmt")
    LOGFMT,
}

/** The location of a secret: a file or an environment variable. The secret itself is never in the settings. */
@Serializable
data class SecretReference(val file: String? = null, val environment: String? = null)
