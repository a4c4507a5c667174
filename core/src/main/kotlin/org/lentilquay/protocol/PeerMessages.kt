/*
 * The messages between VMs, version 1. They travel as CBOR in length-prefixed frames over TCP. Every request has one
 * answer; the correlation number of the frame ties them together. Times are durations in milliseconds: no message
 * carries a wall-clock or monotonic time, because clocks of different VMs are never compared.
 */
package org.lentilquay.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.DomainId
import org.lentilquay.state.Failure
import org.lentilquay.state.Incarnation
import org.lentilquay.state.ServerId
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.AdapterName

/** The version of the protocol between VMs that this build speaks. */
const val PEER_PROTOCOL_VERSION: Int = 1

/** The largest frame, in bytes, that a VM sends or accepts. */
const val MAXIMUM_PEER_FRAME_BYTES: Int = 1 shl 20

/** One frame: a request or its answer. */
@Serializable
data class PeerFrame(val correlation: Long, val request: PeerRequest? = null, val answer: PeerAnswer? = null)

/** What a VM knows about another VM; it rides on probes. */
@Serializable
data class MemberUpdate(
    val vm: VmId,
    val incarnation: Incarnation,
    /** Rises when the member refutes a suspicion. */
    val refutation: Long,
    val state: MemberState,
    val address: String,
    val domain: DomainId,
    /** Whether the member accepts requests from callers. */
    val ready: Boolean = true,
)

/** The state of a member as its peers see it. */
@Serializable
enum class MemberState { ALIVE, SUSPECT, DEAD, LEFT }

/** How important a request is inside its team. */
@Serializable
enum class Priority { SHORT, LONG }

/** Why a reservation ended. */
@Serializable
enum class RunOutcome {
    COMPLETED,

    /** The grant was not used. */
    NOT_STARTED,

    /** The caller left and the run was cancelled. */
    CANCELLED,

    /** The server said that the adapter is not loaded; the request did not run. */
    ADAPTER_MISSING,

    /** The server said that it has no room; the request did not run. */
    SERVER_OVERLOADED,

    /** The connection to the server was lost. */
    CONNECTION_LOST,

    /** The server answered for another adapter or request, or with an error. */
    WRONG_ANSWER,
}

@Serializable
sealed interface PeerRequest {
    /** Asks whether the receiver lives and exchanges membership, revision and reachability of the table service. */
    @Serializable
    @SerialName("probe")
    data class Probe(
        val updates: List<MemberUpdate>,
        val revision: Long,
        val tableReachable: Boolean,
        val ready: Boolean,
        val list: VmListDigest? = null,
    ) : PeerRequest

    /** Asks the receiver to probe [target] on behalf of the sender. */
    @Serializable
    @SerialName("probe-via")
    data class ProbeVia(val target: VmId, val address: String) : PeerRequest

    /** Tells that [revision] is in force, so that the receiver fetches it. */
    @Serializable
    @SerialName("revision-notice")
    data class RevisionNotice(val revision: Long) : PeerRequest

    /** Asks for the log entries after [afterRevision], or a snapshot page when they are no longer kept. */
    @Serializable
    @SerialName("fetch-configuration")
    data class FetchConfiguration(
        val afterRevision: Long,
        /** The page of a snapshot to send next, and the revision of that snapshot; 0 for the first page. */
        val page: Int = 0,
        val snapshotRevision: Long = 0,
    ) : PeerRequest

    /** Asks the owner of [server] for a place to run one request. Repeated with the same [requestId] while queued. */
    @Serializable
    @SerialName("reserve")
    data class Reserve(
        val requestId: String,
        val server: ServerId,
        val adapter: AdapterVersion?,
        val team: TeamId,
        val estimatedTokens: Long,
        val priority: Priority,
        /** The longest time the request may still wait at this server. */
        val waitMillis: Long,
        /** Expected wait above which the owner answers busy instead of queueing. */
        val spillMillis: Long,
        /** Set for a request that was running when a server was lost. */
        val suspectFingerprint: String? = null,
        /** Identifies the request content for the exclusion of suspects. */
        val fingerprint: String,
    ) : PeerRequest

    /** Ends a reservation or takes the request out of the queue. Idempotent. */
    @Serializable
    @SerialName("release")
    data class Release(
        val requestId: String,
        val server: ServerId,
        val outcome: RunOutcome,
        /** The incarnation that the server's answer carried, if it answered. */
        val serverIncarnation: Long? = null,
    ) : PeerRequest

    /** Tells the owner that the server began to answer, the evidence that opens the admission window. */
    @Serializable
    @SerialName("progress")
    data class Progress(val requestId: String, val server: ServerId, val serverIncarnation: Long) : PeerRequest

    /** A new owner asks for the runs that the receiver has on [server]; [fence] is the new fencing number. */
    @Serializable
    @SerialName("active-runs")
    data class ActiveRuns(val server: ServerId, val fence: Long, val owner: VmId) : PeerRequest

    /**
     * Requests a transfer of [amount] tokens of [team] from a seat holder. The answer may wait until there are
     * [minimumAmount], which one request needs.
     */
    @Serializable
    @SerialName("take-tokens")
    data class TakeTokens(
        val team: TeamId,
        val amount: Long,
        /** Age of the request that waits for the tokens; the older request goes first. */
        val waitedMillis: Long = 0,
        @SerialName("least") val minimumAmount: Long = amount,
        /** How long the answer may wait. */
        @SerialName("patienceMillis") val maximumWaitMillis: Long = 0,
    ) : PeerRequest

    /** Asks for permission to load [adapter] on [server]. Repeated with the same [loadId] while it has to wait. */
    @Serializable
    @SerialName("load-permit")
    data class LoadPermit(
        val loadId: String,
        val store: String,
        val server: ServerId,
        val adapter: AdapterVersion,
        val waitingRequests: Int,
    ) : PeerRequest

    /** Returns the permit [loadId]. */
    @Serializable
    @SerialName("load-done")
    data class LoadDone(val loadId: String, val store: String) : PeerRequest

    /** Tells that a server was lost while a request with each of [fingerprints] ran on it. */
    @Serializable
    @SerialName("suspect-notice")
    data class SuspectNotice(val server: ServerId, val serverIncarnation: Long, val fingerprints: List<String>) :
        PeerRequest

    /** Asks what the receiver did with the non-repeatable call whose record carries [nonce]. */
    @Serializable
    @SerialName("idempotency-status")
    data class IdempotencyStatus(val nonce: String) : PeerRequest

    /** Asks the VM in control of the engine [server] to make [adapter] ready in [version] or later. */
    @Serializable
    @SerialName("ensure-adapter")
    data class EnsureAdapter(
        val server: ServerId,
        val adapter: AdapterName,
        val version: Long,
        val waitMillis: Long,
        /** Whether the request may wait for a place while requests use every adapter of the engine. */
        val mayQueue: Boolean = true,
        /** The engine has just refused a request because it does not hold the adapter. */
        val wasMissing: Boolean = false,
        /** The place to claim once the adapter is ready, if one is to be claimed. */
        val claim: ClaimPlace? = null,
    ) : PeerRequest

    /**
     * Tells the VM in control of the engine [server] that the request [requestId] uses [adapter] from now, for at most
     * [forMillis], or that it has ended if that is 0.
     */
    @Serializable
    @SerialName("adapter-use")
    data class AdapterUse(
        val server: ServerId,
        val adapter: AdapterName,
        val requestId: String,
        val forMillis: Long,
    ) : PeerRequest

    /**
     * Asks the VM in control of the engine [server] whether the request [requestId] may be sent there, which then uses
     * [adapter] for at most [forMillis].
     */
    @Serializable
    @SerialName("claim-place")
    data class ClaimPlace(
        val server: ServerId,
        val adapter: AdapterName,
        val requestId: String,
        val forMillis: Long,
        /** Whether the request may wait for a place in the engine's batch. */
        val mayQueue: Boolean,
    ) : PeerRequest

    /** Asks for what the receiver knows of the watched [table], if that is newer than [afterVersion]. */
    @Serializable
    @SerialName("read-watched")
    data class ReadWatched(val table: String, val afterVersion: Long) : PeerRequest

    /**
     * Asks a reader of the store for the rows of [table] that changed after [afterVersion]. While there are none, the
     * answer waits up to [waitMillis].
     */
    @Serializable
    @SerialName("follow-table")
    data class FollowTable(val table: String, val afterVersion: Long, val waitMillis: Long) : PeerRequest
}

@Serializable
sealed interface PeerAnswer {
    @Serializable
    @SerialName("probe-answer")
    data class ProbeAnswer(
        val incarnation: Incarnation,
        val updates: List<MemberUpdate>,
        val revision: Long,
        val tableReachable: Boolean,
        /** Whether the answering VM confirmed its revision with the table service within its freshness bound. */
        val revisionCurrent: Boolean,
        val ready: Boolean,
        val list: VmListDigest? = null,
    ) : PeerAnswer

    @Serializable
    @SerialName("probe-via-answer")
    data class ProbeViaAnswer(val reached: Boolean) : PeerAnswer

    /** The general positive answer. */
    @Serializable
    @SerialName("done")
    data object Done : PeerAnswer

    /** Configuration log entries, or one page of a snapshot, each as JSON text of the type in the state package. */
    @Serializable
    @SerialName("configuration-page")
    data class ConfigurationPage(
        val entries: List<String>,
        val snapshot: String? = null,
        val headRevision: Long,
        /** The revision of the snapshot, the number of this page, from 0, and the number of pages. */
        val snapshotRevision: Long = 0,
        val page: Int = 0,
        val pages: Int = 0,
    ) : PeerAnswer

    @Serializable
    @SerialName("granted")
    data class Granted(
        val requestId: String,
        val server: ServerId,
        val address: String,
        val fence: Long,
        val adapter: AdapterVersion?,
        /** Whether the request waited for a load of its adapter. */
        val waitedForLoad: Boolean,
        /** The process of the server that the owner knows, or null. */
        val incarnation: Long? = null,
    ) : PeerAnswer

    /** The request is queued; poll again. */
    @Serializable
    @SerialName("queued")
    data class Queued(val expectedWaitMillis: Long) : PeerAnswer

    /** The request is not queued, because the expected wait is over the spill bound. */
    @Serializable
    @SerialName("busy")
    data class Busy(val expectedWaitMillis: Long) : PeerAnswer

    /** The receiver does not own the server; [owner] is its best knowledge of who does. */
    @Serializable
    @SerialName("not-owner")
    data class NotOwner(val owner: VmId?) : PeerAnswer

    /** The request cannot be served at this server. */
    @Serializable
    @SerialName("refused")
    data class Refused(val failure: Failure) : PeerAnswer

    @Serializable
    @SerialName("active-runs-answer")
    data class ActiveRunsAnswer(val runs: List<ActiveRun>) : PeerAnswer

    @Serializable
    @SerialName("tokens")
    data class Tokens(
        val amount: Long,
        /** How long the holder waited before it gave them; their validity begins that much later. */
        @SerialName("heldMillis") val answerDelayMillis: Long = 0,
    ) : PeerAnswer

    @Serializable
    @SerialName("permit")
    data class Permit(val granted: Boolean, val retryAfterMillis: Long) : PeerAnswer

    @Serializable
    @SerialName("idempotency-status-answer")
    data class IdempotencyStatusAnswer(val state: RecordedCallState) : PeerAnswer

    /** The adapter can be used now. */
    @Serializable
    @SerialName("adapter-ready")
    data class AdapterReady(val version: Long) : PeerAnswer

    /** The engine can not make the adapter ready in time, or has no place for the request. */
    @Serializable
    @SerialName("adapter-unavailable")
    data class AdapterUnavailable(val reason: AdapterUnavailableReason) : PeerAnswer

    /** All rows of a watched table as of [version]; null if the receiver knows nothing newer. */
    @Serializable
    @SerialName("watched")
    data class Watched(val version: Long, val rows: Map<String, String>?) : PeerAnswer

    /** The rows that changed up to [version], read at [tableMillis] of the store's clock. */
    @Serializable
    @SerialName("table-changes")
    data class TableChanges(val version: Long, val tableMillis: Long, val rows: Map<String, RowChange>) : PeerAnswer
}

/** What a row of a table became in [version]; no [text] stands for a removed row. */
@Serializable
data class RowChange(@SerialName("t") val text: String?, @SerialName("v") val version: Long)

/** Why a request can not use an adapter on an engine. */
@Serializable
enum class AdapterUnavailableReason { NOT_CONTROLLER, NO_FREE_PLACE, NOT_IN_TIME, BATCH_FULL, NOT_HELD }

/** The platform's list as a VM knows it: a digest of its entries, and how long ago a reading showed them. */
@Serializable
data class VmListDigest(
    @SerialName("d") val digest: Long,
    @SerialName("a") val ageMillis: Long,
)

/** A run that a fronting VM has on a backend server. */
@Serializable
data class ActiveRun(
    val requestId: String,
    val adapter: AdapterVersion?,
    val fingerprint: String,
    /** Whether the server began to answer; a run without an answer counts against the cold limit. */
    val answered: Boolean = true,
)

/** What a VM knows of a non-repeatable call that it recorded. */
@Serializable
enum class RecordedCallState { NEVER_DISPATCHED, RUNNING, FINISHED, UNKNOWN }
