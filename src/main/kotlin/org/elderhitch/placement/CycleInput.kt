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
 * The input of a [SchedulingCycle].
 *
 * @property quota the resource usage of the teams; the cycle adds what it places
 * @property reservations capacity that only jobs of at least the same priority may use
 * @property wholeMachinesNeeded whether some job needs whole machines, or nearly whole ones
 * @property mostlyBooting whether more machines are booting than are up
 * @property hostResourcesPerGpu the most CPUs and memory that any open job requests for each GPU
 * @property expectedArrivals tasks that are expected to be submitted, by job class
 * @property bootingMachines the number of booting machines by type
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
    /** The order in which jobs are placed; see [SchedulingCycle]. */
    internal fun placementOrder(): Comparator<JobView> = compareByDescending<JobView> { it.spec.priority }
        .thenByDescending { quota.withinGuarantee(it.spec.team, it.spec.resources) }
        .thenByDescending { it.isStarved }
        // During a cold start all services start at once: the ones with the largest images fetch first.
        .thenByDescending { if (mostlyBooting && it.spec.kind == JobKind.SERVICE) it.spec.imageGb else 0.0 }
        .thenBy { it.dueAt }
        .thenBy { it.revision }

    /** The component-wise minimum of all requests: a machine with less free of any resource fits no pending task. */
    internal fun minimumRequest(): Resources = Resources(
        jobs.minOfOrNull { it.spec.resources.cpus } ?: Double.MAX_VALUE,
        jobs.minOfOrNull { it.spec.resources.gpus } ?: Double.MAX_VALUE,
        jobs.minOfOrNull { it.spec.resources.memoryGb } ?: Double.MAX_VALUE,
        jobs.minOfOrNull { it.spec.resources.taskSlots } ?: Int.MAX_VALUE,
    )

    /**
     * Whether no machine is left that the job may be retried on. A machine is then provisioned for the job although it
     * failed everywhere: otherwise a job that failed on all existing machines would wait forever once those are
     * terminated.
     */
    internal fun hasNoMachineToRetryOn(job: JobView): Boolean = machines.none {
        job.spec.permitsMachine(it.type, it.zone, it.spot) && (job.isFaulty || job.spec.id !in it.avoidedBy)
    }
}

/**
 * A job with tasks to place.
 *
 * @property revision the store revision of the job's submission: older jobs have lower revisions
 * @property pending the indices of the tasks to place
 * @property tasksPerZone how many other tasks of the job may be running in each zone, including those that are stopping
 * @property joinAttempt for a gang, the attempt that needs replacement tasks; null if the tasks start a new attempt
 * @property dueAt when the job must start or complete to meet its service-level objectives
 * @property isProbe whether the job failed wherever it ran: it is retried where capacity is free, but nothing is
 *   preempted or reserved for it
 * @property isFaulty whether the job failed on so many machines that the job itself is considered faulty
 * @property isLate whether the job has missed its first objective, or will miss it
 * @property isStarved whether the job has waited long without starting any task while its team is at its limit: its
 *   first task is placed before further tasks of jobs with the same priority
 */
public class JobView(
    public val spec: JobSpec,
    public val revision: Revision,
    public val pending: Collection<Int>,
    public val tasksPerZone: Map<Zone, Int>,
    public val joinAttempt: Attempt?,
    public val dueAt: MonotonicInstant = MonotonicInstant.FOREVER,
    public val isProbe: Boolean = false,
    public val isFaulty: Boolean = false,
    public val isLate: Boolean = false,
    public val isStarved: Boolean = false,
) {
    public fun withDueTime(dueAt: MonotonicInstant, isLate: Boolean): JobView =
        JobView(spec, revision, pending, tasksPerZone, joinAttempt, dueAt, isProbe, isFaulty, isLate)

    /** Splits a starved job into a view of its first task, marked as starved, and a view of the remaining tasks. */
    public fun splitOffFirstTask(): List<JobView> = listOf(
        JobView(
            spec, revision, pending.take(1), tasksPerZone, joinAttempt, dueAt, isProbe, isFaulty, isLate,
            isStarved = true,
        ),
        JobView(spec, revision, pending.drop(1), tasksPerZone, joinAttempt, dueAt, isProbe, isFaulty, isLate),
    ).filter { it.pending.isNotEmpty() }
}

/** Capacity that is kept free for [tasks] tasks like those of [spec], so that they can start without preemption. */
public class CapacityReservation(public val spec: JobSpec, public val tasks: Int)

/**
 * The rate at which tasks of a job class were submitted recently.
 *
 * @property spec the most recent job of the class
 */
public class ExpectedArrivals(public val spec: JobSpec, public val tasksPerS: Double)
