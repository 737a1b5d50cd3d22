package org.elderhitch.workers

import kotlinx.coroutines.CompletableDeferred
import org.elderhitch.delegates.Grant
import org.elderhitch.delegates.Named
import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.FleetMessage
import org.elderhitch.fleet.Machine
import org.elderhitch.fleet.Market
import org.elderhitch.http.Address
import org.elderhitch.jobs.Account
import org.elderhitch.jobs.FinishedTasks
import org.elderhitch.jobs.Hold
import org.elderhitch.jobs.HoldKind
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobEvent
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.TaskId
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.Tenure
import org.elderhitch.leadership.Term
import org.elderhitch.placement.KeptFree
import org.elderhitch.settings.NodeName
import org.elderhitch.store.Revision

public sealed interface ReportAnswer {
    public data class Accepted(val term: Term, val commands: List<Command>) : ReportAnswer

    /** Another node leads; null: this node can't say which. */
    public data class Elsewhere(val leader: NodeName?) : ReportAnswer
}

public sealed interface ForemanMessage {
    /** What is known of jobs and of the term. It comes before all that waits: behind a row of reports each of these would be judged by older knowledge than there is. */
    public sealed interface Knowledge : ForemanMessage

    public data class ReportIn(val report: Report, val reply: CompletableDeferred<ReportAnswer>) : ForemanMessage
    public data class Job(val event: JobEvent) : Knowledge
    public data class TenureIs(val tenure: Tenure) : Knowledge

    /** The table of jobs holds all that was recorded before the claim. */
    public data class TableComplete(val term: Term) : Knowledge

    /** All machines that may run something of an earlier term, and those that never were given anything. */
    public data class Inventory(val term: Term, val mayRun: Collection<Machine>, val fresh: Collection<Machine>) :
        ForemanMessage

    /** A machine that is ours to use, its intent being recorded. */
    public data class MachineKnown(val machine: Machine) : ForemanMessage

    /** It is recorded that the machine may be given tasks, so a later term waits for its word. */
    public data class MachineCleared(val machine: MachineId) : ForemanMessage

    /** Surely gone, with all on it. */
    public data class MachineGone(val machine: MachineId, val proof: String) : ForemanMessage
    public data class CatalogIs(val catalog: Catalog) : ForemanMessage

    /** What an earlier leader left behind about images on machines. */
    public data class ImagesHinted(val images: Map<MachineId, Map<Image, Double>>) : ForemanMessage

    /** The run that led before has ended: its workers come by themselves. */
    public data class FormerEnded(val term: Term) : ForemanMessage

    /** The former leader has surely stopped answering workers by now. */
    public data class FormerStopped(val term: Term) : ForemanMessage

    /** Room that less important work leaves alone; [refused]: where nothing was to be rented lately. */
    public data class KeepFree(val kept: List<KeptFree>, val refused: Set<Market> = emptySet()) : ForemanMessage
    public data class Recorded(val term: Term, val finished: Map<JobId, List<Int>>) : ForemanMessage

    /** Machines that are to be returned as idle: those that are still empty get nothing more. Answered by [FleetMessage.Cordoned]. */
    public data class Cordon(val machines: List<MachineId>) : ForemanMessage

    /** A machine spoke before its return went out: it goes on. */
    public data class Spared(val machine: MachineId) : ForemanMessage

    /** A machine that could be emptied, by what the fleet needs. */
    public data class Drain(val machine: MachineId) : ForemanMessage

    /** Where the cloud says that machines are. */
    public data class MachinesListed(val where: Map<MachineId, Address?>) : ForemanMessage

    /** What a worker said that was asked at its own address. */
    public data class Asked(val term: Term, val machine: MachineId, val outcome: CommandOutcome) : ForemanMessage

    /** What became of commands sent to a worker's own address. */
    public data class Commanded(
        val term: Term,
        val machine: MachineId,
        val session: Long,
        val starts: Set<Pair<TaskId, Attempt>>,
        val outcome: CommandOutcome,
    ) : ForemanMessage

    /** The wish to hold a job: only the leader knows whether something of it was started. */
    public data class HoldJob(
        val id: JobId,
        val kind: HoldKind,
        val reason: String,
        val reply: CompletableDeferred<HoldAnswer>,
    ) : ForemanMessage
    public data class HoldWritten(val term: Term, val id: JobId, val outcome: HoldWrite) : ForemanMessage

    /** What this term has seen of a job's work; null: this node doesn't lead, or doesn't know the job. */
    public data class AccountOf(val id: JobId, val reply: CompletableDeferred<Account?>) : ForemanMessage

    /** Why a job stands as it does; null as for [AccountOf]. */
    public data class Explain(val id: JobId, val reply: CompletableDeferred<List<String>?>) : ForemanMessage

    /** Which machine each task is on or was sent to, by the leader's table; null: this node doesn't lead, or its table isn't complete. */
    public data class Survey(val reply: CompletableDeferred<Map<TaskId, MachineId>?>) : ForemanMessage

    /** Open jobs that failed wherever they were tried; null: as for [Survey]. */
    public data class AtFault(val reply: CompletableDeferred<Set<JobId>?>) : ForemanMessage

    /** Another controller, just heard, wants to be lease delegate of its zone; null: not now, or this node doesn't lead. */
    public data class NameDelegate(val node: NodeName, val reply: CompletableDeferred<Named?>) : ForemanMessage

    /** The leader has named this node. */
    public data class DelegateNamed(val grant: Grant) : ForemanMessage
    public data object Tick : ForemanMessage
}

/** What the foreman asks of others, all of it by message. */
public interface ForemanPorts {
    public fun fleet(message: FleetMessage)

    public fun leadership(message: LeadershipMessage)

    public fun record(tenure: Tenure.Leading, finished: List<FinishedBatch>)

    /** The finished blocks of an ended job are of no more use. */
    public fun forget(tenure: Tenure.Leading, job: JobId, blocks: Set<Int>)

    /** Leaves word of the images on machines for a later term. */
    public fun hint(tenure: Tenure.Leading, images: Map<MachineId, Map<Image, Double>>)

    /** Sends commands to a worker's own address; what becomes of them comes back as [ForemanMessage.Commanded]. */
    public fun command(tenure: Tenure.Leading, to: Address, machine: MachineId, session: Long, commands: List<Command>)

    /** Asks a worker at its own address, and tells it the term; its word comes back as [ForemanMessage.Asked]. */
    public fun ask(tenure: Tenure.Leading, at: Address, machine: MachineId)

    public fun running(counts: Map<JobId, Int>)

    /** What this term ordered, and how reports stood to its table: for `/status`. */
    public fun ordered(counts: Map<String, Any?>)

    /** Records a hold over what stands under its key at version [before]; what becomes of it comes back as [ForemanMessage.HoldWritten]. */
    public fun hold(tenure: Tenure.Leading, job: JobId, version: Revision, before: Revision, hold: Hold)

    public fun forgetHold(tenure: Tenure.Leading, job: JobId)

    /** Whether this node reaches neither the leader nor the state service. */
    public fun cutOff(leader: NodeName): Boolean
}

/** Newly finished tasks of one job, to be recorded in the state service. */
public class FinishedBatch(
    public val job: JobId,
    public val version: Revision,
    finished: FinishedTasks,
    public val fresh: List<Int>,
    /** Of a job that is complete. */
    public val account: Account? = null,
    public val held: Boolean = false,
    /** Of the blocks that are recorded already. */
    public val blockVersions: Map<Int, Revision> = emptyMap(),
    /** By a [org.elderhitch.jobs.JobKeeper]. */
    public val kept: Boolean = false,
) {
    /**
     * As it was when the batch was made: a task that completes before it is recorded belongs to the next one. While this was the live set, such a last task
     * ended its job without an account (`docs/incidents/endings-without-account.md`).
     */
    public val state: FinishedTasks = finished.copy()
}
