package org.elderhitch.placement

import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Resources
import org.elderhitch.quota.QuotaLedger
import org.elderhitch.settings.Zone
import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant

/**
 * All that a [SchedulingCycle] decides from.
 *
 * @property quota the usage of the teams; the cycle adds what it places
 * @property reservations capacity that only work of at least the same priority may use
 * @property wholeMachinesNeeded whether some job needs whole machines, or nearly so
 * @property mostlyBooting whether most of the fleet still boots: more capacity will come up than there is
 * @property hostResourcesPerGpu the most that open jobs' tasks use of the other resources per accelerator
 * @property expectedArrivals tasks that are expected to arrive, by class
 * @property bootingMachines how many machines boot, by type
 */
public class CycleInput(
    public val machines: List<MachineView>,
    public val jobs: List<JobView>,
    public val quota: QuotaLedger,
    public val reservations: List<CapacityReservation> = emptyList(),
    public val wholeMachinesNeeded: Boolean = false,
    public val mostlyBooting: Boolean = false,
    public val now: MonotonicInstant = MonotonicInstant(0),
    public val hostResourcesPerGpu: Resources = Resources.NONE,
    public val expectedArrivals: List<ExpectedArrivals> = emptyList(),
    public val bootingMachines: Map<MachineType, Int> = emptyMap(),
) {
    /** The order in which jobs are placed. */
    internal fun jobOrder(): Comparator<JobView> = compareByDescending<JobView> { it.spec.priority }
        .thenByDescending { quota.withinGuarantee(it.spec.team, it.spec.resources) }
        .thenByDescending { it.starved }
        // Where all services start at once, those with the longest fetch start first.
        .thenByDescending { if (mostlyBooting && it.spec.kind == JobKind.SERVICE) it.spec.imageGb else 0.0 }
        .thenBy { it.due }
        .thenBy { it.revision }

    /** The least that any task here requests, of each resource by itself. */
    internal fun smallestRequest(): Resources = Resources(
        jobs.minOfOrNull { it.spec.resources.cpus } ?: Double.MAX_VALUE,
        jobs.minOfOrNull { it.spec.resources.gpus } ?: Double.MAX_VALUE,
        jobs.minOfOrNull { it.spec.resources.memoryGb } ?: Double.MAX_VALUE,
    )

    /**
     * Whether no machine is left to try the job on, so that one is provisioned for it although it failed everywhere.
     * Without that, a job that failed on the only machines there were would wait for ever once they are terminated.
     */
    internal fun hasNoMachineToTry(job: JobView): Boolean = machines.none {
        job.spec.permitsMachine(it.type, it.zone, it.spot) && (job.atFault || job.spec.id !in it.avoidedBy)
    }
}

/**
 * A job with tasks to place.
 *
 * @property revision the revision of the store that the job was submitted with: older jobs have lower ones
 * @property pending the indices of the tasks to place
 * @property zones how many of its other tasks may be in each zone, those exiting included
 * @property joinAttempt of a gang: the attempt that waits for replacements; null: the tasks start a new attempt
 * @property due by when the service-level objectives want it started or completed
 * @property probe whether it failed wherever it was tried: it is tried where there is capacity, and nothing is
 *   preempted or reserved for it
 * @property atFault whether it failed so often that the fault is known to be its own
 * @property late whether it missed the first of its objectives, or will
 * @property starved whether none of its tasks has started for long, at its team's limit: its first task is placed
 *   before the next ones of others of the same priority
 */
public class JobView(
    public val spec: JobSpec,
    public val revision: Revision,
    public val pending: List<Int>,
    public val zones: Map<Zone, Int>,
    public val joinAttempt: Attempt?,
    public val due: MonotonicInstant = MonotonicInstant.FOREVER,
    public val probe: Boolean = false,
    public val atFault: Boolean = false,
    public val late: Boolean = false,
    public val starved: Boolean = false,
) {
    public fun withDue(due: MonotonicInstant, late: Boolean): JobView =
        JobView(spec, revision, pending, zones, joinAttempt, due, probe, atFault, late)

    /** Splits off the first task of a starved job, so that it is placed before the rest. */
    public fun withFirstTaskApart(): List<JobView> = listOf(
        JobView(spec, revision, pending.take(1), zones, joinAttempt, due, probe, atFault, late, starved = true),
        JobView(spec, revision, pending.drop(1), zones, joinAttempt, due, probe, atFault, late),
    ).filter { it.pending.isNotEmpty() }
}

/** Capacity for [tasks] tasks that urgent work finds free at once, rather than have less important work preempted. */
public class CapacityReservation(public val spec: JobSpec, public val tasks: Int)

/**
 * The rate at which tasks of a class arrived lately.
 *
 * @property spec the latest job of the class
 */
public class ExpectedArrivals(public val spec: JobSpec, public val tasksPerS: Double)
