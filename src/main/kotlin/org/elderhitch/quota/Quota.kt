package org.elderhitch.quota

import org.elderhitch.jobs.Resources
import org.elderhitch.settings.Team
import org.elderhitch.settings.TeamName

/**
 * What each team's tasks may be using: those stopping included, and, while it isn't settled what silent workers run,
 * [reserved] on top of every team. Room is only ever counted as free once it surely is.
 */
public class QuotaLedger(private val teams: Map<TeamName, Team>, private val reserved: Resources) {
    private val used = HashMap<TeamName, Resources>()

    public fun add(team: TeamName, need: Resources) {
        used[team] = used(team) + need
    }

    public fun remove(team: TeamName, need: Resources) {
        used[team] = used(team) - need
    }

    public fun used(team: TeamName): Resources = used[team] ?: Resources.NONE

    public fun allows(team: TeamName, need: Resources): Boolean {
        val limits = teams[team] ?: return false
        val then = used(team) + reserved + need
        return (limits.mostCpus == null || then.cpus <= limits.mostCpus + SLACK) &&
            (limits.mostGpus == null || then.gpus <= limits.mostGpus + SLACK)
    }

    /** Whether the team would still be within what it is guaranteed. */
    public fun withinGuarantee(team: TeamName, need: Resources): Boolean {
        val promised = teams[team] ?: return false
        if (promised.guaranteedCpus <= 0 && promised.guaranteedGpus <= 0) return false
        val then = used(team) + need
        return (promised.guaranteedCpus <= 0 || then.cpus <= promised.guaranteedCpus + SLACK) &&
            (promised.guaranteedGpus <= 0 || then.gpus <= promised.guaranteedGpus + SLACK)
    }

    private companion object {
        const val SLACK = 1e-6
    }
}
