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

/**
 * Everything outside the scheduler that it depends on, grouped by concern. No call waits: what takes time runs in the
 * background, and its result comes back as a [SchedulerMessage].
 */
public interface SchedulerPorts :
    PeerActorPort,
    WorkerPort,
    JobRecordPort,
    StatusPort,
    ConnectivityPort

/** Messages to the other actors of this node. */
public interface PeerActorPort {
    public fun fleet(message: FleetMessage)

    public fun leadership(message: LeadershipMessage)
}

/** Requests to workers at their own addresses. */
public interface WorkerPort {
    /** Sends commands to a worker. The outcome comes back as [SchedulerMessage.CommandsDelivered]. */
    public fun sendCommands(
        leader: LeadershipState.Leader,
        address: Address,
        machine: MachineId,
        agentEpoch: Long,
        commands: List<Command>,
    )

    /**
     * Asks a worker for its state and tells it the current term. The outcome comes back as
     * [SchedulerMessage.ProbeCompleted].
     */
    public fun probe(leader: LeadershipState.Leader, address: Address, machine: MachineId)
}

/** What the scheduler writes to the state service about jobs, each write on condition of the leader's term. */
public interface JobRecordPort {
    /** Records completed tasks. The outcome comes back as [SchedulerMessage.CompletionsRecorded]. */
    public fun recordCompletions(leader: LeadershipState.Leader, batches: List<CompletionBatch>)

    /** Deletes the completion [blocks] of a job that has reached its terminal state. */
    public fun deleteCompletions(leader: LeadershipState.Leader, job: JobId, blocks: Set<Int>)

    /**
     * Records [hold] for a job of version [version], replacing what its key holds at revision [replaces]. The outcome
     * comes back as [SchedulerMessage.HoldWritten].
     */
    public fun writeHold(
        leader: LeadershipState.Leader,
        job: JobId,
        version: Revision,
        replaces: Revision,
        hold: JobHold,
    )

    /** Deletes the hold of a job that has reached its terminal state. */
    public fun deleteHold(leader: LeadershipState.Leader, job: JobId)

    /** Stores which images are on which machines (in GB), as hints for a later term. */
    public fun saveImageHints(leader: LeadershipState.Leader, images: Map<MachineId, Map<Image, Double>>)
}

/** Figures for `/status` and for clients that watch jobs. */
public interface StatusPort {
    /** Publishes how many tasks of each job run. */
    public fun publishRunningCounts(counts: Map<JobId, Int>)

    /** Publishes this term's reconciliation statistics and action counts. */
    public fun publishStatistics(counts: Map<String, Any?>)
}

/** What this node knows about its own connections. */
public interface ConnectivityPort {
    /** Whether this node reaches neither [leader] nor the state service. */
    public fun isCutOffFrom(leader: NodeName): Boolean
}
