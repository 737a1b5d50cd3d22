package org.elderhitch.fleet

import org.elderhitch.heartbeat.Heartbeat
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.placement.UnplacedTasks
import org.elderhitch.scheduler.SchedulerMessage
import org.elderhitch.settings.Zone
import org.elderhitch.store.Change
import org.elderhitch.store.Entry
import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant

public sealed interface FleetMessage {
    /** All intents that the state service holds. */
    public data class Snapshot(val entries: List<Entry>) : FleetMessage
    public data class Changed(val changes: List<Change>) : FleetMessage
    public data class LeadershipChanged(val leadershipState: LeadershipState) : FleetMessage

    /** The intents of all earlier terms are known. */
    public data class IntentsLoaded(val term: Term) : FleetMessage
    public data class JobOpened(val spec: JobSpec) : FleetMessage
    public data class DemandChanged(
        val unplaced: List<UnplacedTasks>,
        val uses: List<MachineUse>,
        val services: List<JobSpec>,
        val settled: Boolean,
        /** Nothing new is rented there: it couldn't be reached. */
        val cutZones: Set<Zone> = emptySet(),
        /** The sets of types that some work is confined to while other work could run elsewhere. */
        val scarce: List<Set<MachineType>> = emptyList(),
    ) : FleetMessage

    /** A worker reports from a machine that nobody here knows. */
    public data class OrphanDetected(val report: Heartbeat) : FleetMessage
    public data class TerminateMachines(val machines: List<MachineId>, val reason: TerminationReason) : FleetMessage

    /**
     * Of machines that were to be returned as idle: those that nothing new goes to, and those that something runs on by
     * now.
     */
    public data class MachinesCordoned(val empty: List<MachineId>, val inUse: List<MachineId>) : FleetMessage

    /** A machine speaks whose return was asked for. */
    public data class HeartbeatReceived(val machine: MachineId) : FleetMessage

    public data class CatalogChanged(val catalog: Catalog) : FleetMessage

    /** A machine of ours reports: it may be given tasks as soon as that is recorded. */
    public data class MachineUp(val machine: MachineId) : FleetMessage
    public data class MachineUpRecorded(
        val term: Term,
        val name: String,
        val machines: Set<MachineId>,
        val done: Boolean,
    ) : FleetMessage

    public data class ProvisioningCompleted(val term: Term, val name: String, val outcome: ProvisioningOutcome) :
        FleetMessage
    public data class IntentRecorded(val term: Term, val name: String, val version: Revision?) : FleetMessage
    public data class MachinesTerminated(val term: Term, val machines: List<MachineId>, val done: Boolean) :
        FleetMessage
    public data class MachinesListed(val term: Term, val machines: List<ListedMachine>?, val asked: MonotonicInstant) :
        FleetMessage
    public data object Tick : FleetMessage
}

public interface FleetPorts {
    public fun scheduler(message: SchedulerMessage)

    public fun leadership(message: LeadershipMessage)

    /** Whether that term still may command, now. */
    public fun entitled(leadershipState: LeadershipState.Leader): Boolean

    /** What this term ordered of the cloud: for `/status`. */
    public fun ordered(counts: Map<String, Any?>)
}
