package org.elderhitch.placement

import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.jobs.TaskId
import org.elderhitch.quota.QuotaLedger
import org.elderhitch.settings.Zone
import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant

/**
 * A machine as a scheduling cycle sees it. Never changed, so that it can be kept from one scheduling cycle to the next.
 */
public class MachineView(
    public val id: MachineId,
    public val type: MachineType,
    public val zone: Zone,
    public val spot: Boolean,
    public val images: Set<Image>,
    public val free: Resources,
    /** Room that tasks told to stop will leave. */
    public val leaving: Resources,
    /** Tasks that may be stopped for more important ones. */
    public val victims: List<PreemptionCandidate>,
    /** Jobs that failed here lately go elsewhere. */
    public val shunnedBy: Set<JobId>,
    /** What services take of it: they stay, while other tasks end by themselves. */
    public val lasting: Double,
    /** All that a machine of its type has. */
    public val whole: Resources,
    /** Nothing is on it: a gang could have it whole, or it could be returned. */
    public val empty: Boolean,
    public val fetchGbPerS: Double,
    /**
     * What is still to be fetched there, by image, for tasks that are there or on their way: fetches may share the
     * rate.
     */
    public val fetching: Map<Image, Double>,
    public val tenants: List<Occupant> = emptyList(),
)

/** [unsavedSince]: all that it did since then is lost when it is stopped; null: next to nothing is. */
public class PreemptionCandidate(
    public val task: TaskId,
    public val priority: Priority,
    public val need: Resources,
    public val unsavedSince: MonotonicInstant? = null,
)

/** A job with tasks to place. */
public class JobView(
    public val spec: JobSpec,
    public val order: Revision,
    public val pending: List<Int>,
    /** Where its other tasks may be, those exiting included. */
    public val zones: Map<Zone, Int>,
    /** Gang: the attempt that waits for replacements; null: the tasks start a new attempt together. */
    public val joinAttempt: Attempt?,
    /** By when the deployment's aims want it started or done. */
    public val due: MonotonicInstant = MonotonicInstant.FOREVER,
    /** It failed wherever it was tried: it is tried where there is room, and nothing is stopped or kept for it. */
    public val probe: Boolean = false,
    /** It failed so often that it is known to be at fault itself. */
    public val atFault: Boolean = false,
    /** It missed the first of its aims, or will. */
    public val late: Boolean = false,
    /**
     * Nothing of it has begun for long, at its team's limit: its first task comes before the next ones of others that
     * are as important.
     */
    public val begins: Boolean = false,
) {
    public fun due(at: MonotonicInstant, late: Boolean): JobView =
        JobView(spec, order, pending, zones, joinAttempt, at, probe, atFault, late)

    /** Its first task apart from the rest. */
    public fun begun(): List<JobView> = listOf(
        JobView(spec, order, pending.take(1), zones, joinAttempt, due, probe, atFault, late, begins = true),
        JobView(spec, order, pending.drop(1), zones, joinAttempt, due, probe, atFault, late),
    ).filter { it.pending.isNotEmpty() }
}

/** Room that work with no time for that finds free at once, rather than have less important work stopped for it. */
public class CapacityReservation(public val spec: JobSpec, public val tasks: Int)

public class CycleInput(
    public val machines: List<MachineView>,
    public val jobs: List<JobView>,
    public val quota: QuotaLedger,
    public val keptFree: List<CapacityReservation> = emptyList(),
    /** There is work that needs machines whole, or nearly so. */
    public val wholeMachines: Boolean = false,
    /** Most of the fleet is still booting: more room is about to come up than there is. */
    public val rush: Boolean = false,
    public val now: MonotonicInstant = MonotonicInstant(0),
    /** What the open jobs' tasks take, at most, beside each accelerator that they use. */
    public val besideGpu: Resources = Resources.NONE,
    /** What arrives, by class. */
    public val expected: List<Expected> = emptyList(),
    /** Machines that boot, by type. */
    public val coming: Map<MachineType, Int> = emptyMap(),
) {
    /** Who comes before whom. */
    internal fun order(): Comparator<JobView> = compareByDescending<JobView> { it.spec.priority }
        .thenByDescending { quota.withinGuarantee(it.spec.team, it.spec.need) }
        .thenByDescending { it.begins }
        // What is fetched for longest begins first, where all begin at once.
        .thenByDescending { if (rush && it.spec.kind == JobKind.SERVICE) it.spec.imageGb else 0.0 }
        .thenBy { it.due }
        .thenBy { it.order }

    /** The least that any task here takes of each resource. */
    internal fun least(): Resources = Resources(
        jobs.minOfOrNull { it.spec.need.cpus } ?: Double.MAX_VALUE,
        jobs.minOfOrNull { it.spec.need.gpus } ?: Double.MAX_VALUE,
        jobs.minOfOrNull { it.spec.need.memoryGb } ?: Double.MAX_VALUE,
    )
}

public data class PlacementDecision(val task: TaskId, val machine: MachineId, val joinAttempt: Attempt?)

/** Tasks that found no machine, though their team may use one: what renting is for. */
public class UnplacedTasks(public val spec: JobSpec, public val count: Int, public val zones: Map<Zone, Int>)

public class CycleOutput(
    public val placed: List<PlacementDecision>,
    public val stopped: List<TaskId>,
    public val unplaced: List<UnplacedTasks>,
    /** How often a machine was looked at: what bounds the cost of a scheduling cycle, whatever the processor. */
    public val visits: Long,
    /** The sets of types that some work is confined to while other work could run elsewhere. */
    public val scarce: List<Set<MachineType>> = emptyList(),
    /** How many machines are kept for such work. */
    public val kept: Int = 0,
)
