/*
 * What one VM at a time controls by its lease: an engine, or a duty for the whole fleet.
 */
package org.lentilquay.coordination.gateway

import org.lentilquay.state.ServerId
import org.lentilquay.state.gateway.DutySubject
import org.lentilquay.state.gateway.controllerKey

/** All duties have the same order of candidates, so that one VM normally holds all of them. */
private const val DUTY_RANK_TEXT = "duties"

sealed interface ControlSubject {
    /** The key of the record that names the VM in control. */
    val recordKey: String

    /** Subjects with equal texts have the same order of candidates. */
    val rankText: String

    data class Engine(val server: ServerId) : ControlSubject {
        override val recordKey: String get() = controllerKey(server)
        override val rankText: String get() = server.text
    }

    data class Duty(val subject: DutySubject) : ControlSubject {
        override val recordKey: String get() = controllerKey(subject)
        override val rankText: String get() = DUTY_RANK_TEXT
    }
}

/** Whether the engine [server] has no live controller and it is this VM's turn to take it. */
fun ControlLease.isCandidate(server: ServerId, now: Long): Boolean = isCandidate(ControlSubject.Engine(server), now)

/** Decides about the engine [server] by its controller record, as [ControlLease.decideTakeover] does. */
fun ControlLease.decideTakeover(
    server: ServerId,
    reading: VersionedControllerRecord?,
    now: Long,
): TakeoverDecision = decideTakeover(ControlSubject.Engine(server), reading, now)
