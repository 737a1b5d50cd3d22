package org.elderhitch.placement

import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.Resources
import org.elderhitch.jobs.TaskId
import org.elderhitch.quota.PlacementConstraints
import org.elderhitch.quota.QuotaLedger
import org.elderhitch.settings.Zone

/** Collects the decisions of a scheduling cycle, and subtracts what is placed from machines and quota. */
internal class CycleDecisions(private val quota: QuotaLedger, private val scarcity: ScarceCapacity) {
    val placed = ArrayList<PlacementDecision>()
    val preempted = ArrayList<TaskId>()
    val unplaced = ArrayList<UnplacedTasks>()

    /** Whether the quota of the job's team allows the request. */
    fun quotaAllows(spec: JobSpec, request: Resources): Boolean = quota.allows(spec.team, request)

    /** Counts a request that no machine has capacity for; false if the quota has no room for it either. */
    fun addDemand(spec: JobSpec, request: Resources): Boolean =
        quota.addDemand(spec.team, request, PlacementConstraints.of(spec))

    /**
     * Reserves quota for a gang that must wait for it, unless it waits for services to end. Quota comes free bit by
     * bit: less important work of the team would take each bit, and the gang would never find all at once.
     */
    fun reserveQuota(spec: JobSpec, request: Resources) {
        if (quota.allowsBesideServices(spec.team, request)) quota.add(spec.team, request)
    }

    /** Places a task of the job on the machine; [zones] counts the job's tasks by zone. */
    fun place(job: JobView, taskIndex: Int, machine: RemainingCapacity, zones: MutableMap<Zone, Int>) {
        val spec = job.spec
        val isService = spec.kind == JobKind.SERVICE
        machine.free -= spec.resources
        if (machine.reserved != Resources.NONE && !scarcity.isReservedAgainst(spec, machine.view)) {
            machine.reserved = (machine.reserved - spec.resources).coerceAtLeastZero()
        }
        machine.empty = false
        if (spec.image !in machine.view.images.cached && machine.fetchingImages.add(spec.image)) {
            machine.pendingFetchGb += spec.imageGb
        }
        if (isService) machine.serviceWeight += spec.resources.weight
        zones.merge(machine.view.zone, 1, Int::plus)
        quota.add(spec.team, spec.resources, service = isService)
        placed.add(PlacementDecision(TaskId(spec.id, taskIndex), machine.view.id, job.joinAttempt))
    }
}
