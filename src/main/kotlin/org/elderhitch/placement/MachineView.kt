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
 * A machine as a scheduling cycle sees it. Immutable, so that it can be reused by the next cycles until something
 * changes on the machine.
 *
 * @property capacity all resources of a machine of its type
 * @property avoidedBy jobs that failed here lately and are placed elsewhere
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
    /** Whether tasks of the job may run here, whatever the load. */
    internal fun allows(spec: JobSpec): Boolean = spec.permitsMachine(type, zone, spot) && spec.id !in avoidedBy
}

/**
 * The images of a machine.
 *
 * @property cached the images that are on the machine
 * @property fetchGbPerS the rate of fetches in GB per second, which concurrent fetches may share
 * @property fetching what is still to be fetched, in GB by image, for tasks that are there or on their way
 */
public class MachineImages(
    public val cached: Set<Image>,
    public val fetchGbPerS: Double,
    public val fetching: Map<Image, Double>,
)

/**
 * What the tasks on a machine use and leave of it.
 *
 * @property free resources that no task holds
 * @property releasing resources that stopping tasks will release
 * @property preemptible tasks that may be stopped for more important ones
 * @property serviceWeight what services use, as [Resources.weight]; services stay, while other tasks complete
 * @property empty whether no task is there: a gang could use the whole machine, or it could be terminated
 * @property occupants all tasks that are there or on their way
 */
public class MachineLoad(
    public val free: Resources,
    public val releasing: Resources,
    public val preemptible: List<PreemptionCandidate>,
    public val serviceWeight: Double,
    public val empty: Boolean,
    public val occupants: List<Occupant> = emptyList(),
)

/**
 * A task that may be stopped for a more important one.
 *
 * @property unsavedSince the work since then is lost if the task is stopped; null: next to nothing is lost
 */
public class PreemptionCandidate(
    public val task: TaskId,
    public val priority: Priority,
    public val request: Resources,
    public val unsavedSince: MonotonicInstant? = null,
)

/**
 * A task that is on a machine or on its way there.
 *
 * @property until when the task is expected to complete
 */
public class Occupant(public val spec: JobSpec, public val until: MonotonicInstant)
