package org.elderhitch.fleet

import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.Tenure
import org.elderhitch.leadership.Term
import org.elderhitch.placement.Unplaced
import org.elderhitch.settings.Zone
import org.elderhitch.store.Change
import org.elderhitch.store.Entry
import org.elderhitch.store.Revision
import org.elderhitch.time.Moment
import org.elderhitch.workers.ForemanMessage
import org.elderhitch.workers.MachineId
import org.elderhitch.workers.Report

public sealed interface FleetMessage {
    /** All intents that the state service holds. */
    public data class Snapshot(val entries: List<Entry>) : FleetMessage
    public data class Changed(val changes: List<Change>) : FleetMessage
    public data class TenureIs(val tenure: Tenure) : FleetMessage

    /** The intents of all earlier terms are known. */
    public data class TableComplete(val term: Term) : FleetMessage
    public data class JobOpened(val spec: JobSpec) : FleetMessage
    public data class Demand(
        val unplaced: List<Unplaced>,
        val uses: List<MachineUse>,
        val services: List<JobSpec>,
        val settled: Boolean,
        /** Nothing new is rented there: it couldn't be reached. */
        val cutZones: Set<Zone> = emptySet(),
        /** The sets of types that some work is confined to while other work could run elsewhere. */
        val scarce: List<Set<MachineType>> = emptyList(),
    ) : FleetMessage

    /** A worker reports from a machine that nobody here knows. */
    public data class Stray(val report: Report) : FleetMessage
    public data class Release(val machines: List<MachineId>, val reason: ReturnReason) : FleetMessage

    /** Of machines that were to be returned as idle: those that nothing new goes to, and those that something runs on by now. */
    public data class Cordoned(val empty: List<MachineId>, val inUse: List<MachineId>) : FleetMessage

    /** A machine speaks whose return was asked for. */
    public data class Heard(val machine: MachineId) : FleetMessage

    public data class CatalogIs(val catalog: Catalog) : FleetMessage

    /** A machine of ours reports: it may be given tasks as soon as that is recorded. */
    public data class CameUp(val machine: MachineId) : FleetMessage
    public data class UpWritten(val term: Term, val name: String, val machines: Set<MachineId>, val done: Boolean) :
        FleetMessage

    public data class HireDone(val term: Term, val name: String, val outcome: HireOutcome) : FleetMessage
    public data class HireWritten(val term: Term, val name: String, val version: Revision?) : FleetMessage
    public data class Released(val term: Term, val machines: List<MachineId>, val done: Boolean) : FleetMessage
    public data class Listed(val term: Term, val machines: List<ListedMachine>?, val asked: Moment) : FleetMessage
    public data object Tick : FleetMessage
}

public interface FleetPorts {
    public fun foreman(message: ForemanMessage)

    public fun leadership(message: LeadershipMessage)

    /** Whether that term still may command, now. */
    public fun entitled(tenure: Tenure.Leading): Boolean

    /** What this term ordered of the cloud: for `/status`. */
    public fun ordered(counts: Map<String, Any?>)
}
