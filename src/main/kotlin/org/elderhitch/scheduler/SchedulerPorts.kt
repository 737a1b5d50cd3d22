package org.elderhitch.scheduler

import org.elderhitch.fleet.FleetMessage
import org.elderhitch.fleet.MachineId
import org.elderhitch.heartbeat.DirectCommands
import org.elderhitch.http.Address
import org.elderhitch.jobs.CompletionBatch
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobHold
import org.elderhitch.jobs.JobId
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.settings.NodeName
import org.elderhitch.store.Revision

/**
 * The scheduler's external dependencies, grouped by concern. No call blocks: operations that take time run in the
 * background, and their results are delivered as [SchedulerMessage]s.
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

/** Requests sent directly to workers' addresses. */
public interface WorkerPort {
    /** Sends commands to a worker. The outcome is delivered as [SchedulerMessage.CommandsDelivered]. */
    public fun sendCommands(leader: LeadershipState.Leader, request: DirectCommands)

    /**
     * Asks a worker for its state and announces the current term to it. The outcome is delivered as
     * [SchedulerMessage.ProbeCompleted].
     */
    public fun probe(leader: LeadershipState.Leader, address: Address, machine: MachineId)
}

/** Writes of job records to the state service. Each is conditional on the leader's term. */
public interface JobRecordPort {
    /** Records completed tasks. The outcome is delivered as [SchedulerMessage.CompletionsRecorded]. */
    public fun recordCompletions(leader: LeadershipState.Leader, batches: List<CompletionBatch>)

    /** Deletes the completion [blocks] of a job that has reached its terminal state. */
    public fun deleteCompletions(leader: LeadershipState.Leader, job: JobId, blocks: Set<Int>)

    /**
     * Records [hold] for a job of version [version], replacing the stored value of revision [replaces]. The outcome is
     * delivered as [SchedulerMessage.HoldWritten].
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

    /** Stores the images on each machine, with their sizes in GB, as hints for a later term. */
    public fun saveImageHints(leader: LeadershipState.Leader, images: Map<MachineId, Map<Image, Double>>)
}

/** The scheduler's state for other components: statistics, and the term that its answers to workers respect. */
public interface StatusPort {
    /** From now on no worker is answered in a term before [term], neither as its leader nor as a lease delegate. */
    public fun publishRespectedTerm(term: Term)

    /** Publishes the number of running tasks of each job. */
    public fun publishRunningCounts(counts: Map<JobId, Int>)

    /** Publishes this term's reconciliation statistics and action counts. */
    public fun publishStatistics(counts: Map<String, Any?>)
}

/** The state of this node's own connections. */
public interface ConnectivityPort {
    /** Whether this node reaches neither [leader] nor the state service. */
    public fun isIsolatedFrom(leader: NodeName): Boolean
}
