package org.elderhitch.app

import org.elderhitch.fleet.FleetMessage
import org.elderhitch.fleet.MachineId
import org.elderhitch.fleet.ProvisioningActor
import org.elderhitch.heartbeat.DirectCommands
import org.elderhitch.http.Address
import org.elderhitch.jobs.CompletionBatch
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobHold
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobMessage
import org.elderhitch.jobs.JobRegistry
import org.elderhitch.leadership.Leadership
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.scheduler.SchedulerPorts
import org.elderhitch.settings.NodeName
import org.elderhitch.store.Revision

/** Connects the scheduler to the other components of a controller. None of its functions waits for a result. */
internal class SchedulerWiring(
    private val jobRegistry: JobRegistry,
    private val leadership: Leadership,
    private val provisioning: () -> ProvisioningActor,
    private val stateWriter: SchedulerStateWriter,
    private val workerCommands: WorkerCommandSender,
    private val isIsolated: (NodeName) -> Boolean,
) : SchedulerPorts {
    /** The number of running tasks of each job, by the leader's latest count. */
    var runningTasks: Map<JobId, Int> = emptyMap()
        private set

    /** Counts of the actions that this controller requested of workers in its latest term as leader, for `/status`. */
    var workerActionCounts: Map<String, Any?> = emptyMap()
        private set

    /** The highest term that the scheduler has published as respected by its answers to workers. */
    var respectedTerm: Term = Term.NONE
        private set

    override fun publishRespectedTerm(term: Term) {
        respectedTerm = maxOf(respectedTerm, term)
    }

    override fun publishStatistics(counts: Map<String, Any?>) {
        workerActionCounts = counts
    }

    override fun publishRunningCounts(counts: Map<JobId, Int>) {
        runningTasks = counts
        jobRegistry.tell(JobMessage.RunningCounts(counts))
    }

    override fun fleet(message: FleetMessage) = provisioning().tell(message)

    override fun leadership(message: LeadershipMessage) = leadership.tell(message)

    override fun recordCompletions(leader: LeadershipState.Leader, batches: List<CompletionBatch>) =
        stateWriter.recordCompletions(leader, batches)

    override fun deleteCompletions(leader: LeadershipState.Leader, job: JobId, blocks: Set<Int>) =
        stateWriter.deleteCompletions(leader, job, blocks)

    override fun writeHold(
        leader: LeadershipState.Leader,
        job: JobId,
        version: Revision,
        replaces: Revision,
        hold: JobHold,
    ) = stateWriter.writeHold(leader, job, version, replaces, hold)

    override fun deleteHold(leader: LeadershipState.Leader, job: JobId) = stateWriter.deleteHold(leader, job)

    override fun saveImageHints(leader: LeadershipState.Leader, images: Map<MachineId, Map<Image, Double>>) =
        stateWriter.writeImageHints(leader, images)

    override fun probe(leader: LeadershipState.Leader, address: Address, machine: MachineId) =
        workerCommands.probe(leader, address, machine)

    override fun sendCommands(leader: LeadershipState.Leader, request: DirectCommands) =
        workerCommands.send(leader, request)

    override fun isIsolatedFrom(leader: NodeName): Boolean = isIsolated(leader)
}
