package org.elderhitch.scheduler

import kotlinx.coroutines.CompletableDeferred
import org.elderhitch.delegates.DelegationGrant
import org.elderhitch.delegates.DelegationOffer
import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.FleetMessage
import org.elderhitch.fleet.Machine
import org.elderhitch.fleet.MachineId
import org.elderhitch.fleet.Market
import org.elderhitch.heartbeat.CommandOutcome
import org.elderhitch.heartbeat.Heartbeat
import org.elderhitch.heartbeat.HeartbeatResponse
import org.elderhitch.http.Address
import org.elderhitch.jobs.Attempt
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

public sealed interface SchedulerMessage {
    /**
     * What is known of jobs and of the term. It comes before all that waits: behind a row of reports each of these
     * would be judged by older knowledge than there is.
     */
    public sealed interface Knowledge : SchedulerMessage

    public data class HeartbeatReceived(val report: Heartbeat, val reply: CompletableDeferred<HeartbeatResponse>) :
        SchedulerMessage
    public data class JobChanged(val event: JobEvent) : Knowledge
    public data class LeadershipChanged(val leadershipState: LeadershipState) : Knowledge

    /** The table of jobs holds all that was recorded before the claim. */
    public data class JobsLoaded(val term: Term) : Knowledge

    /** All machines that may run something of an earlier term, and those that never were given anything. */
    public data class InventoryLoaded(val term: Term, val mayRun: Collection<Machine>, val fresh: Collection<Machine>) :
        SchedulerMessage

    /** A machine that is ours to use, its intent being recorded. */
    public data class MachineProvisioned(val machine: Machine) : SchedulerMessage

    /** It is recorded that the machine may be given tasks, so a later term waits for its word. */
    public data class MachineUsable(val machine: MachineId) : SchedulerMessage

    /** Surely gone, with all on it. */
    public data class MachineTerminated(val machine: MachineId, val proof: String) : SchedulerMessage
    public data class CatalogChanged(val catalog: Catalog) : SchedulerMessage

    /** What an earlier leader left behind about images on machines. */
    public data class ImageHintsLoaded(val images: Map<MachineId, Map<Image, Double>>) : SchedulerMessage

    /** The run that led before has ended: its workers come by themselves. */
    public data class PreviousLeaderEnded(val term: Term) : SchedulerMessage

    /** The former leader has surely stopped answering workers by now. */
    public data class PreviousLeadersStopped(val term: Term) : SchedulerMessage

    /** Room that less important work leaves alone; [refused]: where nothing was to be rented lately. */
    public data class CapacityReserved(val kept: List<CapacityReservation>, val refused: Set<Market> = emptySet()) :
        SchedulerMessage
    public data class CompletionsRecorded(val term: Term, val finished: Map<JobId, List<Int>>) : SchedulerMessage

    /**
     * Machines that are to be returned as idle: those that are still empty get nothing more. Answered by
     * [FleetMessage.MachinesCordoned].
     */
    public data class CordonMachines(val machines: List<MachineId>) : SchedulerMessage

    /** A machine spoke before its return went out: it goes on. */
    public data class TerminationCancelled(val machine: MachineId) : SchedulerMessage

    /** A machine that could be emptied, by what the fleet needs. */
    public data class DrainMachine(val machine: MachineId) : SchedulerMessage

    /** Where the cloud says that machines are. */
    public data class MachinesListed(val where: Map<MachineId, Address?>) : SchedulerMessage

    /** What a worker said that was asked at its own address. */
    public data class ProbeCompleted(val term: Term, val machine: MachineId, val outcome: CommandOutcome) :
        SchedulerMessage

    /** What became of commands sent to a worker's own address. */
    public data class CommandsDelivered(
        val term: Term,
        val machine: MachineId,
        val agentEpoch: Long,
        val starts: Set<Pair<TaskId, Attempt>>,
        val outcome: CommandOutcome,
    ) : SchedulerMessage

    /** The wish to hold a job: only the leader knows whether something of it was started. */
    public data class HoldJob(
        val id: JobId,
        val kind: HoldKind,
        val reason: String,
        val reply: CompletableDeferred<HoldResult>,
    ) : SchedulerMessage
    public data class HoldWritten(val term: Term, val id: JobId, val outcome: HoldWriteResult) : SchedulerMessage

    /** What this term has seen of a job's work; null: this node doesn't lead, or doesn't know the job. */
    public data class GetAccount(val id: JobId, val reply: CompletableDeferred<JobAccount?>) : SchedulerMessage

    /** Why a job stands as it does; null as for [AccountOf]. */
    public data class ExplainJob(val id: JobId, val reply: CompletableDeferred<List<String>?>) : SchedulerMessage

    /**
     * Which machine each task is on or was sent to, by the leader's table; null: this node doesn't lead, or its table
     * isn't complete.
     */
    public data class GetPlacements(val reply: CompletableDeferred<Map<TaskId, MachineId>?>) : SchedulerMessage

    /** Open jobs that failed wherever they were tried; null: as for [Survey]. */
    public data class GetFaultyJobs(val reply: CompletableDeferred<Set<JobId>?>) : SchedulerMessage

    /**
     * Another controller, just heard, wants to be lease delegate of its zone; null: not now, or this node doesn't lead.
     */
    public data class RequestDelegation(val node: NodeName, val reply: CompletableDeferred<DelegationOffer?>) :
        SchedulerMessage

    /** The leader has named this node. */
    public data class DelegationGranted(val grant: DelegationGrant) : SchedulerMessage
    public data object Tick : SchedulerMessage
}
