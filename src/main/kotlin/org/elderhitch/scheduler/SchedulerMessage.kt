package org.elderhitch.scheduler

import kotlinx.coroutines.CompletableDeferred
import org.elderhitch.delegates.DelegationGrant
import org.elderhitch.delegates.DelegationOffer
import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.FleetMessage
import org.elderhitch.fleet.Machine
import org.elderhitch.fleet.MachineId
import org.elderhitch.fleet.Market
import org.elderhitch.heartbeat.Command
import org.elderhitch.heartbeat.CommandOutcome
import org.elderhitch.heartbeat.Heartbeat
import org.elderhitch.heartbeat.HeartbeatResponse
import org.elderhitch.http.Address
import org.elderhitch.jobs.HoldKind
import org.elderhitch.jobs.HoldResult
import org.elderhitch.jobs.HoldWriteResult
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobAccount
import org.elderhitch.jobs.JobEvent
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.TaskId
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.placement.CapacityReservation
import org.elderhitch.settings.NodeName

/** A message to the [SchedulerActor], with a sealed subinterface for each message handler. */
public sealed interface SchedulerMessage {
    /**
     * Changes of jobs and of the leadership, which are received ahead of all queued messages. Otherwise heartbeats
     * earlier in the queue would be evaluated against older state than this node already has.
     */
    public sealed interface Urgent : SchedulerMessage

    /** Leadership changes, and the progress of the takeover in a new term. */
    public sealed interface LeadershipUpdate : SchedulerMessage

    /** Heartbeats from workers, and outcomes of requests to workers. */
    public sealed interface WorkerUpdate : SchedulerMessage

    /** Changes of machines and of the cloud's offers. */
    public sealed interface MachineUpdate : SchedulerMessage

    /** Changes of jobs and their holds, and outcomes of the related writes. */
    public sealed interface JobUpdate : SchedulerMessage

    /** Read-only queries of the leader's state, answered through their `reply`. */
    public sealed interface Query : SchedulerMessage

    /** The periodic tick, which triggers timeouts, probes, statistics and scheduling cycles. */
    public data object Tick : SchedulerMessage

    // ---- leadership

    public data class LeadershipChanged(val leadershipState: LeadershipState) :
        LeadershipUpdate,
        Urgent

    /** The task table contains all jobs that were recorded before [term] was claimed. */
    public data class JobsLoaded(val term: Term) :
        LeadershipUpdate,
        Urgent

    /** The previous leader's process has ended, so its workers look for the new leader by themselves. */
    public data class PreviousLeaderExited(val term: Term) : LeadershipUpdate

    /** All previous leaders have certainly stopped answering heartbeats. */
    public data class PreviousLeadersStopped(val term: Term) : LeadershipUpdate

    /**
     * Controller [node], which was just heard from, asks to become the lease delegate of its zone. Answered with null
     * if that is not possible now, or if this node doesn't lead.
     */
    public data class RequestDelegation(val node: NodeName, val reply: CompletableDeferred<DelegationOffer?>) :
        LeadershipUpdate

    /** The leader has made this node a lease delegate. */
    public data class DelegationGranted(val grant: DelegationGrant) : LeadershipUpdate

    // ---- workers

    public data class HeartbeatReceived(val heartbeat: Heartbeat, val reply: CompletableDeferred<HeartbeatResponse>) :
        WorkerUpdate

    /** The outcome of commands that were sent directly to a worker's address. [starts]: the starts among them. */
    public data class CommandsDelivered(
        val term: Term,
        val machine: MachineId,
        val agentEpoch: Long,
        val starts: Set<Command.Start>,
        val outcome: CommandOutcome,
    ) : WorkerUpdate

    /** The outcome of a probe that was sent directly to a worker's address. */
    public data class ProbeCompleted(val term: Term, val machine: MachineId, val outcome: CommandOutcome) :
        WorkerUpdate

    /** The machines listed by the cloud; the address is null where the cloud doesn't know it. */
    public data class MachinesListed(val addresses: Map<MachineId, Address?>) : WorkerUpdate

    // ---- machines

    /** The machines at the start of [term]: those that may run tasks of an earlier term, and those never used. */
    public data class InventoryLoaded(
        val term: Term,
        val possiblyBusy: Collection<Machine>,
        val neverUsed: Collection<Machine>,
    ) : MachineUpdate

    /** A machine was provisioned, and its provisioning intent is recorded. */
    public data class MachineProvisioned(val machine: Machine) : MachineUpdate

    /** It is recorded that tasks may be placed on the machine, so that a later term waits for its report. */
    public data class MachineUsable(val machine: MachineId) : MachineUpdate

    /** The machine and all tasks on it are certainly gone. [proof]: how that is known, for the log. */
    public data class MachineTerminated(val machine: MachineId, val proof: String) : MachineUpdate

    public data class CatalogChanged(val catalog: Catalog) : MachineUpdate

    /** The images that an earlier leader recorded for each machine, with their sizes in GB. */
    public data class ImageHintsLoaded(val images: Map<MachineId, Map<Image, Double>>) : MachineUpdate

    /**
     * Capacity that lower-priority work must leave free. [unavailableMarkets]: markets that recently had no machine
     * available.
     */
    public data class CapacityReserved(
        val reservations: List<CapacityReservation>,
        val unavailableMarkets: Set<Market> = emptySet(),
    ) : MachineUpdate

    /**
     * Stops placing tasks on those of the [machines] that are still empty, so that they can be terminated as idle.
     * Answered with [FleetMessage.MachinesCordoned].
     */
    public data class CordonMachines(val machines: List<MachineId>) : MachineUpdate

    /** The machine reported before its termination was requested from the cloud, and remains in use. */
    public data class TerminationCancelled(val machine: MachineId) : MachineUpdate

    /** Drains a machine that the fleet doesn't need, if its tasks fit on other machines. */
    public data class DrainMachine(val machine: MachineId) : MachineUpdate

    // ---- jobs

    public data class JobChanged(val event: JobEvent) :
        JobUpdate,
        Urgent

    /** The end of a write of completed tasks. [completedTasks]: the tasks that it recorded, by job. */
    public data class CompletionsRecorded(val term: Term, val completedTasks: Map<JobId, List<Int>>) : JobUpdate

    /** A request to hold a job. The leader decides, as only it knows whether any of the job's tasks was started. */
    public data class HoldJob(
        val id: JobId,
        val kind: HoldKind,
        val reason: String,
        val reply: CompletableDeferred<HoldResult>,
    ) : JobUpdate

    /** The outcome of writing a hold. */
    public data class HoldWritten(val term: Term, val id: JobId, val outcome: HoldWriteResult) : JobUpdate

    // ---- queries

    /** Gets a job's resource usage in this term. Null if this node doesn't lead or doesn't know the job. */
    public data class GetAccount(val id: JobId, val reply: CompletableDeferred<JobAccount?>) : Query

    /** Explains the current state of a job. Null if this node doesn't lead or doesn't know the job. */
    public data class ExplainJob(val id: JobId, val reply: CompletableDeferred<List<String>?>) : Query

    /**
     * Gets the machine of each task that was sent to one, according to the task table. Null if this node doesn't lead
     * or its table is incomplete.
     */
    public data class GetPlacements(val reply: CompletableDeferred<Map<TaskId, MachineId>?>) : Query

    /** Gets the open jobs whose failures are attributed to the job itself. Null as for [GetPlacements]. */
    public data class GetFaultyJobs(val reply: CompletableDeferred<Set<JobId>?>) : Query
}
