package org.elderhitch.placement

import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.jobs.TaskId
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant

/**
 * A snapshot of a machine for scheduling cycles. Immutable, so that later cycles can reuse it until something on the
 * machine changes.
 *
 * @property capacity the total resources of a machine of this type
 * @property avoidedBy jobs that failed on the machine recently and must be placed elsewhere
 */
public class MachineView(
    public val id: MachineId,
    public val type: MachineType,
    public val zone: Zone,
    public val spot: Boolean,
    public val capacity: Resources,
    public val images: MachineImages,
    public val load: MachineLoad,
    public val avoidedBy: Set<JobId> = emptySet(),
) {
    /** Whether tasks of the job may run on the machine, regardless of its load. */
    internal fun permits(spec: JobSpec): Boolean = spec.permitsMachine(type, zone, spot) && spec.id !in avoidedBy
}

/**
 * The images of a machine.
 *
 * @property cached the images that are present on the machine
 * @property fetchGbPerS the rate at which images are fetched, in GB per second; concurrent fetches may share it
 * @property remainingFetchGb the images that are being fetched, or are to be fetched for assigned tasks, with the
 *   remaining GB
 */
public class MachineImages(
    public val cached: Set<Image>,
    public val fetchGbPerS: Double,
    public val remainingFetchGb: Map<Image, Double>,
)

/**
 * The use of a machine's resources by its tasks.
 *
 * @property free the resources that no task holds
 * @property releasing the resources that stopping tasks will release
 * @property preemptible the tasks that may be stopped for tasks of higher priority
 * @property serviceWeight the [Resources.weight] of the services on the machine, which run until they are cancelled
 * @property isEmpty whether the machine has no task: a gang could use all of it, or the machine could be terminated
 * @property occupants all tasks that are on the machine or assigned to it
 */
public class MachineLoad(
    public val free: Resources,
    public val releasing: Resources,
    public val preemptible: List<PreemptionCandidate>,
    public val serviceWeight: Double,
    public val isEmpty: Boolean,
    public val occupants: List<Occupant> = emptyList(),
)

/**
 * A task that may be stopped for a task of higher priority.
 *
 * @property unsavedSince the start of the work that is lost if the task is stopped; null if the task can checkpoint and
 *   loses next to nothing
 */
public class PreemptionCandidate(
    public val task: TaskId,
    public val priority: Priority,
    public val request: Resources,
    public val unsavedSince: MonotonicInstant? = null,
)

/**
 * A task that is on a machine or assigned to it.
 *
 * @property expectedEnd when the task is expected to complete
 */
public class Occupant(public val spec: JobSpec, public val expectedEnd: MonotonicInstant)
