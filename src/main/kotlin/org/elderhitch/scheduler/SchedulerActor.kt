package org.elderhitch.scheduler

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.actor.Actor
import org.elderhitch.jobs.JobEvent
import org.elderhitch.jobs.JobId
import org.elderhitch.time.SteadyClock
import org.elderhitch.time.WallClock

/**
 * Owns the scheduler's state of jobs, workers and tasks. On the leader, heartbeats and scheduling cycles update workers
 * and tasks, which each term rebuilds from heartbeats. Jobs are tracked on followers too, so that a new term starts
 * with a complete table.
 *
 * Each group of messages has its own handler. All handlers run within [receive], so they need no locks.
 *
 * [onCycle] is called after each scheduling cycle with the number of machines that it examined. [openProviderJob] looks
 * up a provider-owned job when a worker reports a task of it, and returns null if there is no such open job.
 */
public class SchedulerActor(
    scope: CoroutineScope,
    configuration: SchedulerConfiguration,
    clock: SteadyClock,
    wallClock: WallClock,
    ports: SchedulerPorts,
    onCycle: (machineVisits: Long) -> Unit = {},
    openProviderJob: (JobId) -> JobEvent.Opened? = { null },
) : Actor<SchedulerMessage>(scope) {
    private val services = SchedulerServices(configuration, clock, wallClock, ports, openProviderJob)
    private val cycles = CycleRunner(services, onCycle)
    private val leadershipUpdates = LeadershipUpdateHandler(services)
    private val workerUpdates = WorkerUpdateHandler(services, cycles)
    private val machineUpdates = MachineUpdateHandler(services)
    private val jobUpdates = JobUpdateHandler(services)
    private val queries = QueryHandler(services)
    private val ticks = TickHandler(services, cycles)

    override fun start() {
        super.start()
        services.table.onTaskLost = jobUpdates::onTaskLost
        services.table.onTaskCompleted = jobUpdates::onTaskCompleted
        scope.launch {
            while (true) {
                delay(SchedulerConfiguration.TICK_INTERVAL)
                tell(SchedulerMessage.Tick)
            }
        }
    }

    override fun isUrgent(message: SchedulerMessage): Boolean = message is SchedulerMessage.Urgent

    override fun receive(message: SchedulerMessage) {
        when (message) {
            is SchedulerMessage.LeadershipUpdate -> leadershipUpdates.handle(message)
            is SchedulerMessage.WorkerUpdate -> workerUpdates.handle(message)
            is SchedulerMessage.MachineUpdate -> machineUpdates.handle(message)
            is SchedulerMessage.JobUpdate -> jobUpdates.handle(message)
            is SchedulerMessage.Query -> queries.handle(message)
            SchedulerMessage.Tick -> ticks.tick()
        }
    }
}
