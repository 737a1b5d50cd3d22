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
 * The leader's view of workers and tasks, which heartbeats and scheduling cycles change and each term rebuilds from
 * heartbeats. It follows the jobs in every role, so that a new term begins with a complete table.
 *
 * Each group of messages has a handler of its own. All of them run inside [receive], so none needs a lock.
 *
 * [onCycle] is told, after each scheduling cycle, how many machines it looked at. [openProviderJob] opens a job that a
 * provider keeps itself, for a task of it that a worker reports; null: there is no such open job.
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
                delay(SchedulerConfiguration.TICK)
                tell(SchedulerMessage.Tick)
            }
        }
    }

    override fun isUrgent(message: SchedulerMessage): Boolean = message is SchedulerMessage.Knowledge

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
