/*
 * What an inference run is given, and the events that it returns.
 */
package org.lentilquay.daemon.requests

import org.lentilquay.coordination.quota.Charge
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.Failure
import org.lentilquay.state.Route
import org.lentilquay.state.TeamId
import org.lentilquay.transport.engine.EngineClient

/** An event of the run. */
sealed interface RunEvent {
    /** The next chunk of the response; [data] is the event as a streaming caller gets it. */
    data class Part(val data: String, val chunk: EngineChunk) : RunEvent

    /** The response is complete. */
    data object Done : RunEvent

    /** The response cannot be completed. */
    data class Failed(val failure: Failure) : RunEvent
}

/** A request that passed the checks and was charged. */
data class AdmittedInference(
    val requestId: String,
    val request: InferenceRequest,
    val route: Route,
    val team: TeamId,
    val baseModel: String,
    val adapter: AdapterVersion,
    val fingerprint: String,
    val isSuspect: Boolean,
    val charge: Charge,
)

/** The dependencies of the daemon that a run uses. */
class InferenceDependencies(
    val reservations: ReservationClient,
    val engines: EngineClient,
    val suspects: SuspectRequests,
    val now: () -> Long,
)
