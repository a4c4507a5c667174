/*
 * Dependencies shared by the classes of this package: control thread, time, timing settings, engine client and metrics.
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
    /** Monotonic time in milliseconds. */
    val now: Long get() = timer.now()

    /** The relative weights of teams that compete for a backend server. */
    fun teamWeights(): Map<TeamId, Int> = configuration().teams.mapValues { it.value.weight }

    /** A scope that is cancelled with [parent] and in which the failure of one coroutine does not cancel the others. */
    fun childScope(parent: CoroutineScope): CoroutineScope =
        CoroutineScope(parent.coroutineContext + SupervisorJob(parent.coroutineContext.job))
}
