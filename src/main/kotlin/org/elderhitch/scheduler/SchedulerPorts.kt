package org.elderhitch.scheduler

import org.elderhitch.fleet.FleetMessage
import org.elderhitch.fleet.MachineId
import org.elderhitch.heartbeat.Command
import org.elderhitch.http.Address
import org.elderhitch.jobs.CompletionBatch
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobHold
import org.elderhitch.jobs.JobId
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.settings.NodeName
import org.elderhitch.store.Revision

/** What the foreman asks of others, all of it by message. */
public interface SchedulerPorts {
    public fun fleet(message: FleetMessage)

    public fun leadership(message: LeadershipMessage)

    public fun record(leadershipState: LeadershipState.Leader, finished: List<CompletionBatch>)

    /** The finished blocks of an ended job are of no more use. */
    public fun forget(leadershipState: LeadershipState.Leader, job: JobId, blocks: Set<Int>)

    /** Leaves word of the images on machines for a later term. */
    public fun hint(leadershipState: LeadershipState.Leader, images: Map<MachineId, Map<Image, Double>>)

    /**
     * Sends commands to a worker's own address; what becomes of them comes back as
     * [SchedulerMessage.CommandsDelivered].
     */
    public fun command(
        leadershipState: LeadershipState.Leader,
        to: Address,
        machine: MachineId,
        agentEpoch: Long,
        commands: List<Command>,
    )

    /**
     * Asks a worker at its own address, and tells it the term; its word comes back as
     * [SchedulerMessage.ProbeCompleted].
     */
    public fun ask(leadershipState: LeadershipState.Leader, at: Address, machine: MachineId)

    public fun running(counts: Map<JobId, Int>)

    /** What this term ordered, and how reports stood to its table: for `/status`. */
    public fun ordered(counts: Map<String, Any?>)

    /**
     * Records a hold over what stands under its key at version [before]; what becomes of it comes back as
     * [SchedulerMessage.HoldWritten].
     */
    public fun hold(
        leadershipState: LeadershipState.Leader,
        job: JobId,
        version: Revision,
        before: Revision,
        hold: JobHold,
    )

    public fun forgetHold(leadershipState: LeadershipState.Leader, job: JobId)

    /** Whether this node reaches neither the leader nor the state service. */
    public fun isCutOffFrom(leader: NodeName): Boolean
}
