package org.elderhitch.fleet

import org.elderhitch.heartbeat.Heartbeat
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.placement.UnplacedTasks
import org.elderhitch.settings.Zone
import org.elderhitch.store.Change
import org.elderhitch.store.Entry
import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant

/** Messages to the [ProvisioningActor]. A message that carries a term is ignored once another term has begun. */
public sealed interface FleetMessage {
    /** All provisioning intents in the state service. */
    public data class Snapshot(val entries: List<Entry>) : FleetMessage

    /** Changes in the state service. Those of keys other than provisioning intents are ignored. */
    public data class Changed(val changes: List<Change>) : FleetMessage

    public data class LeadershipChanged(val leadershipState: LeadershipState) : FleetMessage

    /** The provisioning intents of all earlier terms were received. */
    public data class IntentsLoaded(val term: Term) : FleetMessage

    public data class JobOpened(val spec: JobSpec) : FleetMessage

    /** The tasks that the scheduling cycle could not place, and how the machines are used. */
    public data class DemandChanged(
        val unplaced: List<UnplacedTasks>,
        val uses: List<MachineUse>,
        /** The services that have not completed. */
        val services: List<JobSpec>,
        /** Whether the takeover has completed, so that all tasks on machines of earlier terms are known. */
        val isTakeoverSettled: Boolean,
        /** Zones that this node can't reach, in which no machines are provisioned. */
        val unreachableZones: Set<Zone> = emptySet(),
        /** Sets of machine types to which some work is confined while other work could also run elsewhere. */
        val scarceTypeSets: List<Set<MachineType>> = emptyList(),
    ) : FleetMessage

    /** A worker sent a heartbeat from a machine that no provisioning intent of this term names. */
    public data class OrphanDetected(val heartbeat: Heartbeat) : FleetMessage

    /** Requests the termination of machines, as soon as the cloud's request rate allows. */
    public data class TerminateMachines(val machines: List<MachineId>, val reason: TerminationReason) : FleetMessage

    /** The scheduler's response to a request to cordon idle machines. */
    public data class MachinesCordoned(
        /** Machines that are still empty and are now cordoned. */
        val empty: List<MachineId>,
        /** Machines that are in use by now and are not cordoned. */
        val inUse: List<MachineId>,
    ) : FleetMessage

    /** A machine whose termination may be queued sent a heartbeat. */
    public data class HeartbeatReceived(val machine: MachineId) : FleetMessage

    public data class CatalogChanged(val catalog: Catalog) : FleetMessage

    /** The first heartbeat of a provisioned machine, which may be given tasks once it is recorded as up. */
    public data class MachineUp(val machine: MachineId) : FleetMessage

    /** The outcome of recording that [machines] of the intent [name] are up. */
    public data class MachineUpRecorded(
        val term: Term,
        val name: String,
        val machines: Set<MachineId>,
        val succeeded: Boolean,
    ) : FleetMessage

    /** The outcome of the provisioning request of the intent [name]. */
    public data class ProvisioningCompleted(val term: Term, val name: String, val outcome: ProvisioningOutcome) :
        FleetMessage

    /** The intent [name] was written with revision [version]; null if the write is not known to have succeeded. */
    public data class IntentRecorded(val term: Term, val name: String, val version: Revision?) : FleetMessage

    /** The outcome of a termination request; [succeeded] means that the machines are certainly gone. */
    public data class MachinesTerminated(val term: Term, val machines: List<MachineId>, val succeeded: Boolean) :
        FleetMessage

    /** The cloud's machine list, requested at [requestedAt]; null if it was unavailable. */
    public data class MachinesListed(
        val term: Term,
        val machines: List<ListedMachine>?,
        val requestedAt: MonotonicInstant,
    ) : FleetMessage

    /** Sent periodically by the actor to itself, to perform the actions that are due. */
    public data object Tick : FleetMessage
}
