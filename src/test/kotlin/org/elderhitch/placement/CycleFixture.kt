package org.elderhitch.placement

import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.jobs.TaskId
import org.elderhitch.quota.QuotaLedger
import org.elderhitch.settings.Team
import org.elderhitch.settings.TeamName
import org.elderhitch.settings.Zone
import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Builds input of scheduling cycles for tests: a single team, and machines of the same size. */
internal object CycleFixture {
    /** The total resources of every machine, regardless of its type. */
    val machineCapacity = Resources(48.0, 8.0, 384.0)

    /** The default request of a task. */
    val taskRequest = Resources(4.0, 1.0, 30.0)

    /** A request for nearly a whole machine. */
    val wholeMachineRequest = Resources(43.0, 8.0, 230.0)
    val team = TeamName("team")

    fun spec(
        id: Int,
        kind: JobKind = JobKind.ARRAY,
        tasks: Int = 1,
        priority: Priority = Priority.NORMAL,
        resources: Resources = taskRequest,
        spread: Boolean = false,
        oneZone: Boolean = false,
        spot: Boolean = true,
        zone: Zone? = null,
        types: Set<MachineType>? = null,
        image: String = "img",
        imageGb: Double = 1.0,
    ) = JobSpec(
        JobId("req-$id"),
        "class", team, kind, priority, tasks, resources, types, zone, oneZone, spread, spot, Image(image), imageGb,
        10.seconds, Duration.ZERO, Duration.ZERO, null,
    )

    /** A service of production priority that runs on on-demand machines only. */
    fun productionService(id: Int, tasks: Int = 1, imageGb: Double = 1.0) =
        spec(id, JobKind.SERVICE, tasks, Priority.PRODUCTION, spot = false, imageGb = imageGb)

    fun machine(
        id: String,
        zone: String = "a",
        spot: Boolean = false,
        free: Resources = machineCapacity,
        type: String = "g8",
        images: Set<Image> = emptySet(),
        preemptible: List<PreemptionCandidate> = emptyList(),
        serviceWeight: Double = 0.0,
        releasing: Resources = Resources.NONE,
        remainingFetchGb: Map<Image, Double> = emptyMap(),
        fetchGbPerS: Double = 1.0,
    ) = MachineView(
        MachineId(id),
        MachineType(type),
        Zone(zone),
        spot,
        machineCapacity,
        MachineImages(images, fetchGbPerS, remainingFetchGb),
        MachineLoad(free, releasing, preemptible, serviceWeight, isEmpty = free == machineCapacity),
    )

    /** Preemptible tasks of a single job. */
    fun preemptible(
        count: Int,
        priority: Priority,
        request: Resources = taskRequest,
        job: String = "req-9",
    ): List<PreemptionCandidate> = List(count) { PreemptionCandidate(TaskId(JobId(job), it), priority, request) }

    fun quota(maxGpus: Double? = null, reserved: Resources = Resources.NONE) =
        QuotaLedger(mapOf(team to Team(team, 0.0, 0.0, null, maxGpus)), reserved)

    fun job(
        spec: JobSpec,
        revision: Long = 1,
        tasksPerZone: Map<Zone, Int> = emptyMap(),
        dueAt: MonotonicInstant = MonotonicInstant.FOREVER,
        isProbe: Boolean = false,
    ) = JobView(spec, Revision(revision), (0 until spec.tasks).toList(), tasksPerZone, null, dueAt, isProbe)

    fun decide(machines: List<MachineView>, jobs: List<JobView>, quota: QuotaLedger = quota()) =
        SchedulingCycle(CycleInput(machines, jobs, quota)).decide()
}
