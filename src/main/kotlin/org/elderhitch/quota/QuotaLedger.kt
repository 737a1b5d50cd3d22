package org.elderhitch.quota

import org.elderhitch.jobs.Resources
import org.elderhitch.settings.Team
import org.elderhitch.settings.TeamName

/**
 * The resources that each team's tasks use, against the team's limits and guarantees. It counts tasks that are still
 * stopping, and never counts resources as free before they surely are.
 *
 * @param reserved added to the usage of every team: what unresponsive workers may run, while that isn't settled
 */
public class QuotaLedger(private val teams: Map<TeamName, Team>, private val reserved: Resources) {
    private data class DemandKey(val team: TeamName, val constraints: PlacementConstraints)

    private val usage = HashMap<TeamName, Resources>()
    private val serviceUsage = HashMap<TeamName, Resources>()
    private val demand = HashMap<DemandKey, Resources>()

    /**
     * Adds to the usage of the team.
     *
     * @param service whether a service uses it, which ends only when its user cancels it
     */
    public fun add(team: TeamName, request: Resources, service: Boolean = false) {
        usage[team] = usage(team) + request
        if (service) serviceUsage[team] = (serviceUsage[team] ?: Resources.NONE) + request
    }

    public fun remove(team: TeamName, request: Resources) {
        usage[team] = usage(team) - request
    }

    /** What the team uses, without what is reserved. */
    public fun usage(team: TeamName): Resources = usage[team] ?: Resources.NONE

    /**
     * Counts a request that waits for machines, if the team's limit allows it together with all requests that were
     * counted before with the same constraints.
     *
     * Only such requests are worth new machines: else all jobs behind a team's last free slot would have machines
     * provisioned that the limit lets nobody use. Requests with other constraints are counted apart: if no machine is
     * to be had for those, they must not use up the limit.
     *
     * @return false if the limit leaves no room for the request, so that machines for it would be of no use
     */
    public fun addDemand(team: TeamName, request: Resources, constraints: PlacementConstraints): Boolean {
        val key = DemandKey(team, constraints)
        val counted = demand[key] ?: Resources.NONE
        if (!allows(team, counted + request)) return false
        demand[key] = counted + request
        return true
    }

    /** Whether the team's limit allows the request on top of what it uses. */
    public fun allows(team: TeamName, request: Resources): Boolean = withinLimit(team, usage(team) + reserved + request)

    /** Whether the team's limit would allow the request once all its tasks but those of services had completed. */
    public fun allowsBesideServices(team: TeamName, request: Resources): Boolean = withinLimit(
        team,
        (serviceUsage[team] ?: Resources.NONE) + reserved + request,
    )

    private fun withinLimit(team: TeamName, total: Resources): Boolean {
        val limits = teams[team] ?: return false
        return (limits.mostCpus == null || total.cpus <= limits.mostCpus + ROUNDING_TOLERANCE) &&
            (limits.mostGpus == null || total.gpus <= limits.mostGpus + ROUNDING_TOLERANCE)
    }

    /** Whether the team would be within its guarantee with the request on top of what it uses. */
    public fun withinGuarantee(team: TeamName, request: Resources): Boolean {
        val guarantee = teams[team] ?: return false
        if (guarantee.guaranteedCpus <= 0 && guarantee.guaranteedGpus <= 0) return false
        val total = usage(team) + request
        return (guarantee.guaranteedCpus <= 0 || total.cpus <= guarantee.guaranteedCpus + ROUNDING_TOLERANCE) &&
            (guarantee.guaranteedGpus <= 0 || total.gpus <= guarantee.guaranteedGpus + ROUNDING_TOLERANCE)
    }

    private companion object {
        /** Sums of decimal amounts differ in the last bits. */
        const val ROUNDING_TOLERANCE = 1e-6
    }
}
