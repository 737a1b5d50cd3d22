package org.elderhitch.quota

import org.elderhitch.jobs.Resources
import org.elderhitch.settings.Team
import org.elderhitch.settings.TeamName

/**
 * The resource usage of each team, checked against the team's limit and guarantee. Tasks that are still stopping count
 * as usage: resources are released only once it is certain that no task uses them.
 *
 * @param reserved an amount added to the usage of every team, for tasks that may be running on unresponsive workers
 */
public class QuotaLedger(private val teams: Map<TeamName, Team>, private val reserved: Resources) {
    private data class DemandKey(val team: TeamName, val constraints: PlacementConstraints)

    private val usage = HashMap<TeamName, Resources>()
    private val serviceUsage = HashMap<TeamName, Resources>()
    private val demand = HashMap<DemandKey, Resources>()

    /**
     * Adds to the usage of the team.
     *
     * @param service whether the request is for a service, which runs until its user cancels it
     */
    public fun addUsage(team: TeamName, request: Resources, service: Boolean = false) {
        usage[team] = usage(team) + request
        if (service) serviceUsage[team] = (serviceUsage[team] ?: Resources.NONE) + request
    }

    public fun remove(team: TeamName, request: Resources) {
        usage[team] = usage(team) - request
    }

    /** The team's usage without the reserved amount. */
    public fun usage(team: TeamName): Resources = usage[team] ?: Resources.NONE

    /**
     * Records a request that waits for machines, if the team's limit allows it together with all requests recorded
     * before with the same constraints.
     *
     * Machines are provisioned only for recorded requests. Otherwise machines would be provisioned for every job that
     * waits behind the last free part of a team's limit, although the limit lets no task use them. Requests with
     * different constraints are counted separately: those that no machine is available for must not use up the limit.
     *
     * @return false if the limit excludes the request, so that a machine for it would stay unused
     */
    public fun addDemand(team: TeamName, request: Resources, constraints: PlacementConstraints): Boolean {
        val key = DemandKey(team, constraints)
        val recorded = demand[key] ?: Resources.NONE
        if (!allows(team, recorded + request)) return false
        demand[key] = recorded + request
        return true
    }

    /** Whether the team's limit allows the request on top of the team's usage. */
    public fun allows(team: TeamName, request: Resources): Boolean = withinLimit(team, usage(team) + reserved + request)

    /** Whether the team's limit would allow the request if only the team's services were running. */
    public fun allowsBesideServices(team: TeamName, request: Resources): Boolean = withinLimit(
        team,
        (serviceUsage[team] ?: Resources.NONE) + reserved + request,
    )

    private fun withinLimit(team: TeamName, total: Resources): Boolean {
        val limits = teams[team] ?: return false
        return (limits.maxCpus == null || total.cpus <= limits.maxCpus + ROUNDING_TOLERANCE) &&
            (limits.maxGpus == null || total.gpus <= limits.maxGpus + ROUNDING_TOLERANCE)
    }

    /** Whether the request on top of the team's usage is within the team's guarantee. */
    public fun withinGuarantee(team: TeamName, request: Resources): Boolean {
        val guarantee = teams[team] ?: return false
        if (guarantee.guaranteedCpus <= 0 && guarantee.guaranteedGpus <= 0) return false
        val total = usage(team) + request
        return (guarantee.guaranteedCpus <= 0 || total.cpus <= guarantee.guaranteedCpus + ROUNDING_TOLERANCE) &&
            (guarantee.guaranteedGpus <= 0 || total.gpus <= guarantee.guaranteedGpus + ROUNDING_TOLERANCE)
    }

    private companion object {
        /** Tolerates floating-point rounding in sums of decimal amounts. */
        const val ROUNDING_TOLERANCE = 1e-6
    }
}
