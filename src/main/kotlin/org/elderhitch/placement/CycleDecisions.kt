package org.elderhitch.placement

import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.Resources
import org.elderhitch.jobs.TaskId
import org.elderhitch.quota.PlacementConstraints
import org.elderhitch.quota.QuotaLedger
import org.elderhitch.settings.Zone

/** Collects the decisions of a scheduling cycle, and deducts placed tasks from machine capacity and team quota. */
internal class CycleDecisions(private val quota: QuotaLedger, private val scarcity: ScarceCapacity) {
    val placed = ArrayList<PlacementDecision>()
    val preempted = ArrayList<TaskId>()
    val unplaced = ArrayList<UnplacedTasks>()

    /** Whether the limit of the job's team allows the request on top of the team's usage. */
    fun quotaAllows(spec: JobSpec, request: Resources): Boolean = quota.allows(spec.team, request)

    /** Records a request that no machine has capacity for; returns false if the team's limit excludes it as well. */
    fun addDemand(spec: JobSpec, request: Resources): Boolean =
        quota.addDemand(spec.team, request, PlacementConstraints.of(spec))

    /**
     * Reserves quota for a gang that exceeds its team's limit, unless the limit would exclude it even with only the
     * team's services running. Quota is released a task at a time: without the reservation, lower-ranked jobs of the
     * team would use each released part, and the gang would never get all that it needs at once.
     */
    fun reserveQuota(spec: JobSpec, request: Resources) {
        if (quota.allowsBesideServices(spec.team, request)) quota.addUsage(spec.team, request)
    }

    /** Places a task of the job on the machine, and adds it to [tasksPerZone]. */
    fun place(job: JobView, taskIndex: Int, machine: RemainingCapacity, tasksPerZone: MutableMap<Zone, Int>) {
        val spec = job.spec
        val isService = spec.kind == JobKind.SERVICE
        machine.free -= spec.resources
        if (machine.reserved != Resources.NONE && !scarcity.isReservedForOthers(spec, machine.view)) {
            machine.reserved = (machine.reserved - spec.resources).coerceAtLeastZero()
        }
        machine.isEmpty = false
        if (spec.image !in machine.view.images.cached && machine.fetchingImages.add(spec.image)) {
            machine.pendingFetchGb += spec.imageGb
        }
        if (isService) machine.serviceWeight += spec.resources.weight
        tasksPerZone.merge(machine.view.zone, 1, Int::plus)
        quota.addUsage(spec.team, spec.resources, service = isService)
        placed.add(PlacementDecision(TaskId(spec.id, taskIndex), machine.view.id, job.joinAttempt))
    }
}
