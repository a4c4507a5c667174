/*
 * What the parts of the control side share: the control thread, the time, the clients, and the scope of the process.
 */
package org.lentilquay.daemon.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.job
import org.lentilquay.daemon.metrics.Metrics
import org.lentilquay.daemon.settings.TimingSettings
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.daemon.timer.Timer
import org.lentilquay.state.Configuration
import org.lentilquay.state.TeamId
import org.lentilquay.transport.engine.EngineClient

class ControlContext(
    val control: ControlThread,
    val timer: Timer,
    val timing: TimingSettings,
    val engines: EngineClient,
    val metrics: Metrics,
    private val configuration: () -> Configuration,
) {
    val now: Long get() = timer.now()

    /** The relative shares of teams that compete for a backend server. */
    fun teamWeights(): Map<TeamId, Int> = configuration().teams.mapValues { it.value.weight }

    /** A scope that ends with [parent] and in which one failure does not end the rest. */
    fun childScope(parent: CoroutineScope): CoroutineScope =
        CoroutineScope(parent.coroutineContext + SupervisorJob(parent.coroutineContext.job))
}
