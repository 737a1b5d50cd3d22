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

/** A message to the [SchedulerActor]; one sealed sub-interface for each part that handles messages. */
public sealed interface SchedulerMessage {
    /**
     * What is known of jobs and of the term. Received before all messages that wait: heartbeats ahead of it in the
     * queue would otherwise be judged by older knowledge than this node has.
     */
    public sealed interface Knowledge : SchedulerMessage

    /** Who leads, and the progress of a new term's takeover. */
    public sealed interface LeadershipUpdate : SchedulerMessage

    /** Heartbeats, and the outcomes of requests to workers. */
    public sealed interface WorkerUpdate : SchedulerMessage

    /** What becomes of machines, and what the cloud offers. */
    public sealed interface MachineUpdate : SchedulerMessage

    /** Changes of jobs and their holds, and outcomes of writes about them. */
    public sealed interface JobUpdate : SchedulerMessage

    /** Questions about the leader's state; each is answered through its `reply` and changes nothing. */
    public sealed interface Query : SchedulerMessage

    /** The regular tick: timeouts, probes, periodic figures and scheduling cycles. */
    public data object Tick : SchedulerMessage

    // ---- leadership

    public data class LeadershipChanged(val leadershipState: LeadershipState) :
        LeadershipUpdate,
        Knowledge

    /** The task table holds all jobs that were recorded before [term] was claimed. */
    public data class JobsLoaded(val term: Term) :
        LeadershipUpdate,
        Knowledge

    /** The process that led before has ended, so its workers come to the new leader by themselves. */
    public data class PreviousLeaderEnded(val term: Term) : LeadershipUpdate

    /** The previous leader has certainly stopped answering heartbeats by now. */
    public data class PreviousLeadersStopped(val term: Term) : LeadershipUpdate

    /**
     * Another controller, just heard from, asks to be the lease delegate of its zone. Answered with null if it can't
     * be now, or if this node doesn't lead.
     */
    public data class RequestDelegation(val node: NodeName, val reply: CompletableDeferred<DelegationOffer?>) :
        LeadershipUpdate

    /** The leader has made this node a lease delegate. */
    public data class DelegationGranted(val grant: DelegationGrant) : LeadershipUpdate

    // ---- workers

    public data class HeartbeatReceived(val heartbeat: Heartbeat, val reply: CompletableDeferred<HeartbeatResponse>) :
        WorkerUpdate

    /** The outcome of commands that were sent to a worker's own address; [starts]: the starts among them. */
    public data class CommandsDelivered(
        val term: Term,
        val machine: MachineId,
        val agentEpoch: Long,
        val starts: Set<Command.Start>,
        val outcome: CommandOutcome,
    ) : WorkerUpdate

    /** The outcome of asking a worker at its own address. */
    public data class ProbeCompleted(val term: Term, val machine: MachineId, val outcome: CommandOutcome) :
        WorkerUpdate

    /** The cloud's list of machines, with their addresses where it knows them. */
    public data class MachinesListed(val addresses: Map<MachineId, Address?>) : WorkerUpdate

    // ---- machines

    /** At the start of [term]: machines that may run tasks of an earlier term, and machines that were never used. */
    public data class InventoryLoaded(
        val term: Term,
        val possiblyBusy: Collection<Machine>,
        val neverUsed: Collection<Machine>,
    ) : MachineUpdate

    /** A machine was provisioned, and its provisioning intent is recorded. */
    public data class MachineProvisioned(val machine: Machine) : MachineUpdate

    /** It is recorded that the machine may be given tasks, so that a later term waits to hear from it. */
    public data class MachineUsable(val machine: MachineId) : MachineUpdate

    /** The machine is certainly gone, with all tasks on it; [proof] says how that is known. */
    public data class MachineTerminated(val machine: MachineId, val proof: String) : MachineUpdate

    public data class CatalogChanged(val catalog: Catalog) : MachineUpdate

    /** Which images an earlier leader knew to be on which machines (in GB). */
    public data class ImageHintsLoaded(val images: Map<MachineId, Map<Image, Double>>) : MachineUpdate

    /**
     * Capacity that less important work leaves free. [unavailableMarkets]: where the cloud had no machine to offer
     * lately.
     */
    public data class CapacityReserved(
        val reservations: List<CapacityReservation>,
        val unavailableMarkets: Set<Market> = emptySet(),
    ) : MachineUpdate

    /**
     * Machines that are to be terminated as idle: those that are still empty are given no more tasks. Answered by
     * [FleetMessage.MachinesCordoned].
     */
    public data class CordonMachines(val machines: List<MachineId>) : MachineUpdate

    /** A machine was heard from before its termination went out, and stays in use. */
    public data class TerminationCancelled(val machine: MachineId) : MachineUpdate

    /** A machine that the fleet could do without, to be emptied if its tasks fit elsewhere. */
    public data class DrainMachine(val machine: MachineId) : MachineUpdate

    // ---- jobs

    public data class JobChanged(val event: JobEvent) :
        JobUpdate,
        Knowledge

    /** A write of completed tasks is over; [completedTasks]: what was recorded, by job. */
    public data class CompletionsRecorded(val term: Term, val completedTasks: Map<JobId, List<Int>>) : JobUpdate

    /** A request to hold a job: only the leader knows whether any of its tasks was started. */
    public data class HoldJob(
        val id: JobId,
        val kind: HoldKind,
        val reason: String,
        val reply: CompletableDeferred<HoldResult>,
    ) : JobUpdate

    /** The outcome of writing a hold. */
    public data class HoldWritten(val term: Term, val id: JobId, val outcome: HoldWriteResult) : JobUpdate

    // ---- queries

    /** What this term has seen of a job's work. Null: this node doesn't lead, or doesn't know the job. */
    public data class GetAccount(val id: JobId, val reply: CompletableDeferred<JobAccount?>) : Query

    /** Why a job is in its present state. Null: this node doesn't lead, or doesn't know the job. */
    public data class ExplainJob(val id: JobId, val reply: CompletableDeferred<List<String>?>) : Query

    /**
     * Which machine each task is on or was sent to, by the leader's table. Null: this node doesn't lead, or its table
     * isn't complete.
     */
    public data class GetPlacements(val reply: CompletableDeferred<Map<TaskId, MachineId>?>) : Query

    /** Open jobs that failed on every machine where they were tried. Null: as for [GetPlacements]. */
    public data class GetFaultyJobs(val reply: CompletableDeferred<Set<JobId>?>) : Query
}
