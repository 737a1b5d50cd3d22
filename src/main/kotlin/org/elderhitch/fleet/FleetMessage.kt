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

/** What the [ProvisioningActor] is told. Messages that carry a term are ignored once another term has begun. */
public sealed interface FleetMessage {
    /** All provisioning intents that the state service holds. */
    public data class Snapshot(val entries: List<Entry>) : FleetMessage

    /** Changes of keys of the state service; those that are no provisioning intents are ignored. */
    public data class Changed(val changes: List<Change>) : FleetMessage

    public data class LeadershipChanged(val leadershipState: LeadershipState) : FleetMessage

    /** The provisioning intents of all earlier terms are known. */
    public data class IntentsLoaded(val term: Term) : FleetMessage

    public data class JobOpened(val spec: JobSpec) : FleetMessage

    /** What the scheduling cycle could not place, and how the machines are used. */
    public data class DemandChanged(
        val unplaced: List<UnplacedTasks>,
        val uses: List<MachineUse>,
        /** The services that are not complete. */
        val services: List<JobSpec>,
        /** Whether the takeover is over: it is known what runs on every machine of earlier terms. */
        val settled: Boolean,
        /** Zones that this node can't reach: no machines are provisioned there. */
        val cutZones: Set<Zone> = emptySet(),
        /** The sets of types that some work is confined to while other work could run elsewhere. */
        val scarce: List<Set<MachineType>> = emptyList(),
    ) : FleetMessage

    /** A worker sends heartbeats from a machine that is in no provisioning intent of this term. */
    public data class OrphanDetected(val heartbeat: Heartbeat) : FleetMessage

    /** Machines to give back to the cloud, as soon as its request rate allows. */
    public data class TerminateMachines(val machines: List<MachineId>, val reason: TerminationReason) : FleetMessage

    /** The scheduler's answer to a request to cordon idle machines. */
    public data class MachinesCordoned(
        /** Still empty: nothing is placed there any more. */
        val empty: List<MachineId>,
        /** Something runs there by now: they stay in use. */
        val inUse: List<MachineId>,
    ) : FleetMessage

    /** A machine whose termination was requested sends heartbeats. */
    public data class HeartbeatReceived(val machine: MachineId) : FleetMessage

    public data class CatalogChanged(val catalog: Catalog) : FleetMessage

    /** The first heartbeat of a provisioned machine: it may be given tasks as soon as that is recorded. */
    public data class MachineUp(val machine: MachineId) : FleetMessage

    /** The outcome of recording that [machines] of the intent [name] are up. */
    public data class MachineUpRecorded(
        val term: Term,
        val name: String,
        val machines: Set<MachineId>,
        val recorded: Boolean,
    ) : FleetMessage

    /** The cloud's answer to the provisioning request of the intent [name]. */
    public data class ProvisioningCompleted(val term: Term, val name: String, val outcome: ProvisioningOutcome) :
        FleetMessage

    /** The intent [name] was written with that [version]; null: the write did not succeed as far as is known. */
    public data class IntentRecorded(val term: Term, val name: String, val version: Revision?) : FleetMessage

    /** The cloud's answer to a termination request; [done]: the machines are surely gone. */
    public data class MachinesTerminated(val term: Term, val machines: List<MachineId>, val done: Boolean) :
        FleetMessage

    /** The cloud's list of machines, requested at [requestedAt]; null: it was unavailable. */
    public data class MachinesListed(
        val term: Term,
        val machines: List<ListedMachine>?,
        val requestedAt: MonotonicInstant,
    ) : FleetMessage

    /** Sent periodically by the actor to itself. */
    public data object Tick : FleetMessage
}
