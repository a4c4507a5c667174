/*
 * The messages of the protocol between VMs, version 1: CBOR in length-prefixed frames over TCP. Each request has one
 * answer with the same correlation number. Times are durations in milliseconds; no message carries a wall-clock or
 * monotonic timestamp, because the clocks of different VMs are never compared. Serial names of fields and types are
 * part of the protocol; the class names of requests and answers are values of the metric label `kind`.
 */
package org.lentilquay.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.DomainId
import org.lentilquay.state.Failure
import org.lentilquay.state.Incarnation
import org.lentilquay.state.ServerId
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.AdapterName

/** The version of the peer protocol that this build implements. */
const val PEER_PROTOCOL_VERSION: Int = 1

/** The maximum size of a frame, in bytes, that a VM sends or accepts. */
const val MAXIMUM_PEER_FRAME_BYTES: Int = 1 shl 20

/** One frame: a request or its answer. */
@Serializable
data class PeerFrame(val correlation: Long, val request: PeerRequest? = null, val answer: PeerAnswer? = null)

/** A membership update about one VM, piggybacked on probes and their answers. */
@Serializable
data class MemberUpdate(
    val vm: VmId,
    val incarnation: Incarnation,
    /** A counter that a suspected member increments to refute the suspicion; the higher value wins. */
    val refutation: Long,
    val state: MemberState,
    val address: String,
    val domain: DomainId,
    /** Whether the member accepts requests from callers. */
    val ready: Boolean = true,
)

/** The state of a member in the view of its peers. [LEFT] is a planned departure. */
@Serializable
enum class MemberState { ALIVE, SUSPECT, DEAD, LEFT }

/** The priority of a request among those of its team: those with few estimated tokens are [SHORT]. */
@Serializable
enum class Priority { SHORT, LONG }

/** How the request of a reservation ended. */
@Serializable
enum class RunOutcome {
    COMPLETED,

    /** The granted reservation was not used. */
    NOT_STARTED,

    /** The caller disconnected and the request was cancelled. */
    CANCELLED,

    /** The server answered that the adapter is not loaded; the request was not executed. */
    ADAPTER_MISSING,

    /** The server answered that it is at capacity; the request was not executed. */
    SERVER_OVERLOADED,

    /** The connection to the server was lost. */
    CONNECTION_LOST,

    /** The server answered with an error, or its answer belongs to another adapter or request. */
    WRONG_ANSWER,
}

/** A request from one VM to another. */
@Serializable
sealed interface PeerRequest {
    /** Probes the receiver for liveness and piggybacks the sender's membership updates and state. */
    @Serializable
    @SerialName("probe")
    data class Probe(
        val updates: List<MemberUpdate>,
        /** The configuration revision in force at the sender. */
        val revision: Long,
        /** Whether the sender reaches the table service. */
        val tableReachable: Boolean,
        /** Whether the sender accepts requests from callers. */
        val ready: Boolean,
        /** The platform's VM list as last read by the sender or received from a peer. */
        val list: VmListDigest? = null,
    ) : PeerRequest

    /** An indirect probe: asks the receiver to probe [target] for the sender. */
    @Serializable
    @SerialName("probe-via")
    data class ProbeVia(val target: VmId, val address: String) : PeerRequest

    /** Notice that [revision] is in force, so that the receiver fetches it before its next poll. */
    @Serializable
    @SerialName("revision-notice")
    data class RevisionNotice(val revision: Long) : PeerRequest

    /** Requests the log entries after [afterRevision], or a page of a snapshot if they are no longer in memory. */
    @Serializable
    @SerialName("fetch-configuration")
    data class FetchConfiguration(
        val afterRevision: Long,
        /** The number of the snapshot page to send, from 0. */
        val page: Int = 0,
        /** The revision of the snapshot whose pages are being fetched; 0 before the first page. */
        val snapshotRevision: Long = 0,
    ) : PeerRequest

    /**
     * Asks the owner of [server] to reserve a batch slot for one request. Sent again with the same [requestId] while
     * the request is queued.
     */
    @Serializable
    @SerialName("reserve")
    data class Reserve(
        val requestId: String,
        val server: ServerId,
        val adapter: AdapterVersion?,
        val team: TeamId,
        /** Estimated number of prompt and output tokens. */
        val estimatedTokens: Long,
        val priority: Priority,
        /** The remaining maximum wait of the request at this server. */
        val waitMillis: Long,
        /** If the expected wait is longer, the owner answers [PeerAnswer.Busy] and does not queue the request. */
        val spillMillis: Long,
        /** Set for a request that was running on a server when that server was lost, and may have crashed it. */
        val suspectFingerprint: String? = null,
        /** Hash of the request content, by which suspect requests are recognized. */
        val fingerprint: String,
    ) : PeerRequest

    /** Ends a reservation or removes the request from the queue. Idempotent. */
    @Serializable
    @SerialName("release")
    data class Release(
        val requestId: String,
        val server: ServerId,
        val outcome: RunOutcome,
        /** The incarnation in the server's response, if it responded. */
        val serverIncarnation: Long? = null,
    ) : PeerRequest

    /** Notice to the owner that the server began to respond, which lets the owner widen its admission window. */
    @Serializable
    @SerialName("progress")
    data class Progress(val requestId: String, val server: ServerId, val serverIncarnation: Long) : PeerRequest

    /** Notice to the owner of what an answer said of [server]: that it is leaving, or takes no requests for a time. */
    @Serializable
    @SerialName("server-notice")
    data class ServerNotice(
        val server: ServerId,
        val serverIncarnation: Long,
        val isLeaving: Boolean,
        /** How long the server takes no requests, in milliseconds; 0 if it did not ask for a pause. */
        val pauseMillis: Long = 0,
    ) : PeerRequest

    /** A new owner requests the receiver's active requests on [server]; [fence] is the new fencing number. */
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
        /** How long the request that needs the tokens has waited; the oldest request is served first. */
        val waitedMillis: Long = 0,
        @SerialName("least") val minimumAmount: Long = amount,
        /** How long the answer may be delayed until the tokens are available; 0 for an immediate answer. */
        @SerialName("patienceMillis") val maximumWaitMillis: Long = 0,
        /**
         * The id of a transfer whose tokens are used, except [returned], which the requester no longer uses. Such a
         * message asks for no tokens.
         */
        val ended: String? = null,
        val returned: Long = 0,
    ) : PeerRequest

    /**
     * Asks the owner of the weight store [store] for a permit to load [adapter] on [server]. Sent again with the
     * same [loadId] until the permit is granted.
     */
    @Serializable
    @SerialName("load-permit")
    data class LoadPermit(
        val loadId: String,
        val store: String,
        val server: ServerId,
        val adapter: AdapterVersion,
        /** Requests that wait for the adapter. */
        val waitingRequests: Int,
    ) : PeerRequest

    /** Returns the permit [loadId]. */
    @Serializable
    @SerialName("load-done")
    data class LoadDone(val loadId: String, val store: String) : PeerRequest

    /**
     * Notice that a server was lost while requests with these [fingerprints] ran on it, so that they are suspect.
     * Without fingerprints it reports no crash, only parts of prompts that are clear; earlier builds ignore it then,
     * whereas a message of a type that they do not know would close the connection.
     */
    @Serializable
    @SerialName("suspect-notice")
    data class SuspectNotice(
        val server: ServerId,
        val serverIncarnation: Long,
        val fingerprints: List<String>,
        /** How long ago the connections to the server were lost. */
        val ageMillis: Long = 0,
        /** The shared prompt parts of each request that had not begun to be answered. */
        @SerialName("parts") val promptParts: List<Set<String>> = emptyList(),
        /** Prompt parts of requests that were answered, each with the time since that request was sent. */
        @SerialName("cleared") val clearedAgeMillis: Map<String, Long> = emptyMap(),
    ) : PeerRequest

    /** Asks for the state of the non-repeatable call whose idempotency record carries [nonce]. */
    @Serializable
    @SerialName("idempotency-status")
    data class IdempotencyStatus(val nonce: String) : PeerRequest

    /** Asks the controller of the engine [server] to load [adapter] in [version] or a later version. */
    @Serializable
    @SerialName("ensure-adapter")
    data class EnsureAdapter(
        val server: ServerId,
        val adapter: AdapterName,
        val version: Long,
        val waitMillis: Long,
        /** Whether the request may wait for an adapter slot while requests use every adapter on the engine. */
        val mayQueue: Boolean = true,
        /** Whether the engine has just refused a request because it does not hold the adapter. */
        val wasMissing: Boolean = false,
        /** The batch slot reservation to make once the adapter is ready, or null for none. */
        val claim: ClaimPlace? = null,
    ) : PeerRequest

    /**
     * Notice to the controller of the engine [server] that the request [requestId] uses [adapter] for at most
     * [forMillis] from now; 0 means that the request has ended. An adapter in use is not evicted.
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
     * Asks the controller of the engine [server] to reserve a batch slot for the request [requestId], which will use
     * [adapter] for at most [forMillis].
     */
    @Serializable
    @SerialName("claim-place")
    data class ClaimPlace(
        val server: ServerId,
        val adapter: AdapterName,
        val requestId: String,
        val forMillis: Long,
        /** Whether the request may wait in the engine's queue when every batch slot is taken. */
        val mayQueue: Boolean,
    ) : PeerRequest

    /** Requests the receiver's copy of the watched [table], if it is newer than [afterVersion]. */
    @Serializable
    @SerialName("read-watched")
    data class ReadWatched(
        val table: String,
        val afterVersion: Long,
        /** The era of [afterVersion]; null if the table service has no eras, and from older builds. */
        val era: Long? = null,
    ) : PeerRequest

    /**
     * A follower's long poll: asks a reader of the table service for the rows of [table] that changed after
     * [afterVersion]. While there are none, the answer is delayed by up to [waitMillis].
     */
    @Serializable
    @SerialName("follow-table")
    data class FollowTable(
        val table: String,
        val afterVersion: Long,
        val waitMillis: Long,
        /** Whether the answer may have [PeerAnswer.TableChanges.deflatedRows]; older builds do not read them. */
        val mayDeflate: Boolean = false,
        /** The era of [afterVersion]; null if the table service has no eras, and from older builds. */
        val era: Long? = null,
    ) : PeerRequest
}

/** The answer to a [PeerRequest]. */
@Serializable
sealed interface PeerAnswer {
    /** The receiver is alive; the fields have the meanings of those in [PeerRequest.Probe]. */
    @Serializable
    @SerialName("probe-answer")
    data class ProbeAnswer(
        val incarnation: Incarnation,
        val updates: List<MemberUpdate>,
        val revision: Long,
        val tableReachable: Boolean,
        /** Whether the answering VM confirmed its revision with the table service within the freshness bound. */
        val revisionCurrent: Boolean,
        val ready: Boolean,
        val list: VmListDigest? = null,
    ) : PeerAnswer

    /** [reached] is whether the target answered the indirect probe. */
    @Serializable
    @SerialName("probe-via-answer")
    data class ProbeViaAnswer(val reached: Boolean) : PeerAnswer

    /** A positive acknowledgement without data. */
    @Serializable
    @SerialName("done")
    data object Done : PeerAnswer

    /** Configuration log entries or one page of a snapshot, as JSON text. */
    @Serializable
    @SerialName("configuration-page")
    data class ConfigurationPage(
        val entries: List<String>,
        /** A part of the snapshot's JSON text, or null if [entries] are sent. */
        val snapshot: String? = null,
        /** The revision in force at the sender. */
        val headRevision: Long,
        val snapshotRevision: Long = 0,
        /** The number of this page of the snapshot, from 0. */
        val page: Int = 0,
        /** The number of pages of the snapshot. */
        val pages: Int = 0,
    ) : PeerAnswer

    /** The request may be sent to [server] at [address]. */
    @Serializable
    @SerialName("granted")
    data class Granted(
        val requestId: String,
        val server: ServerId,
        val address: String,
        /** The fencing number of the owner. */
        val fence: Long,
        val adapter: AdapterVersion?,
        /** Whether the request waited for a load of its adapter. */
        val waitedForLoad: Boolean,
        /** The server's incarnation in the owner's view, or null if it is unknown. */
        val incarnation: Long? = null,
    ) : PeerAnswer

    /** The request is queued; the fronting VM polls again. */
    @Serializable
    @SerialName("queued")
    data class Queued(val expectedWaitMillis: Long) : PeerAnswer

    /** The request is not queued, because the expected wait exceeds [PeerRequest.Reserve.spillMillis]. */
    @Serializable
    @SerialName("busy")
    data class Busy(val expectedWaitMillis: Long) : PeerAnswer

    /** The receiver does not own the server; [owner] is the owner in its view, or null. */
    @Serializable
    @SerialName("not-owner")
    data class NotOwner(val owner: VmId?) : PeerAnswer

    /** The request cannot be served at this server. */
    @Serializable
    @SerialName("refused")
    data class Refused(val failure: Failure) : PeerAnswer

    /** The receiver's active requests on the server of [PeerRequest.ActiveRuns]. */
    @Serializable
    @SerialName("active-runs-answer")
    data class ActiveRunsAnswer(val runs: List<ActiveRun>) : PeerAnswer

    /** A transfer of [amount] tokens from a seat holder; 0 if it has none to spare. */
    @Serializable
    @SerialName("tokens")
    data class Tokens(
        val amount: Long,
        /**
         * How long the seat holder delayed its answer. The tokens are valid for a fixed time from this long after the
         * requester sent its request.
         */
        @SerialName("heldMillis") val answerDelayMillis: Long = 0,
        /** The id of the transfer, for [PeerRequest.TakeTokens.ended]; null from earlier builds. */
        val transfer: String? = null,
    ) : PeerAnswer

    /** The answer to [PeerRequest.LoadPermit]; if it is not [granted], ask again after [retryAfterMillis]. */
    @Serializable
    @SerialName("permit")
    data class Permit(val granted: Boolean, val retryAfterMillis: Long) : PeerAnswer

    /** The state of a recorded call in the answering VM. */
    @Serializable
    @SerialName("idempotency-status-answer")
    data class IdempotencyStatusAnswer(val state: RecordedCallState) : PeerAnswer

    /** The adapter is loaded in [version]. */
    @Serializable
    @SerialName("adapter-ready")
    data class AdapterReady(val version: Long) : PeerAnswer

    /** The request cannot use the adapter on this engine, for [reason]. */
    @Serializable
    @SerialName("adapter-unavailable")
    data class AdapterUnavailable(val reason: AdapterUnavailableReason) : PeerAnswer

    /** All rows of a watched table as of [version]; null if the receiver has no newer copy. */
    @Serializable
    @SerialName("watched")
    data class Watched(val version: Long, val rows: Map<String, String>?, val era: Long? = null) : PeerAnswer

    /** The rows that changed up to [version], read when the table service's clock showed [tableMillis]. */
    @Serializable
    @SerialName("table-changes")
    data class TableChanges(
        val version: Long,
        val tableMillis: Long,
        val rows: Map<String, RowChange>,
        /** The rows in place of [rows], as deflated CBOR; null if [rows] holds them. */
        @ByteString val deflatedRows: ByteArray? = null,
        val era: Long? = null,
    ) : PeerAnswer
}

/** The new content of a changed row; a null [text] means that the row was removed. */
@Serializable
data class RowChange(@SerialName("t") val text: String?, @SerialName("v") val version: Long)

/** Why a request cannot use an adapter on an engine. */
@Serializable
enum class AdapterUnavailableReason {
    /** The receiver is not the controller of the engine. */
    NOT_CONTROLLER,

    /** No adapter slot is free, and the request may not wait for one. */
    NO_FREE_PLACE,

    /** The adapter was not loaded within the time that the request allows. */
    NOT_IN_TIME,

    /** No batch slot is free. */
    BATCH_FULL,

    /** The engine does not hold the adapter. */
    NOT_HELD,
}

/** A digest of the platform's VM list, and the time since the sending of the last read that returned that list. */
@Serializable
data class VmListDigest(
    @SerialName("d") val digest: Long,
    @SerialName("a") val ageMillis: Long,
)

/** A request that a fronting VM has sent to a backend server and that has not ended. */
@Serializable
data class ActiveRun(
    val requestId: String,
    val adapter: AdapterVersion?,
    val fingerprint: String,
    /** Whether the server began to respond; a request without a response counts against the cold start limit. */
    val answered: Boolean = true,
)

/** The state of a non-repeatable call in the VM that wrote its idempotency record. */
@Serializable
enum class RecordedCallState { NEVER_DISPATCHED, RUNNING, FINISHED, UNKNOWN }
