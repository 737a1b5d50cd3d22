package org.elderhitch.quota

import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Resources
import org.elderhitch.settings.Team
import org.elderhitch.settings.TeamName
import org.elderhitch.settings.Zone

/** Where a job's tasks may go; null: any type, any zone. */
public data class Places(val types: Set<MachineType>?, val zone: Zone?, val spot: Boolean) {
    public companion object {
        public fun of(spec: JobSpec): Places = Places(spec.types, spec.zone, spec.spotAllowed)
    }
}

/**
 * What each team's tasks may be using: those stopping included, and, while it isn't settled what silent workers run,
 * [reserved] on top of every team. Room is only ever counted as free once it surely is.
 */
public class QuotaLedger(private val teams: Map<TeamName, Team>, private val reserved: Resources) {
    private val used = HashMap<TeamName, Resources>()
    private val lasting = HashMap<TeamName, Resources>()
    private val wanted = HashMap<Pair<TeamName, Places>, Resources>()

    /** [lasts]: it ends only when its user says so. */
    public fun add(team: TeamName, need: Resources, lasts: Boolean = false) {
        used[team] = used(team) + need
        if (lasts) lasting[team] = (lasting[team] ?: Resources.NONE) + need
    }

    /**
     * Counts what waits for machines, if the team's limit has room for that and all that was counted before for the
     * same places; false: machines for it would be of no use.
     * Without it all work behind a team's last free place counted as waiting for machines, and hundreds were rented
     * that its limit let nobody use. Work for other
     * places is counted apart: where nothing is to be had there, the limit's room must not be kept for it.
     */
    public fun wants(team: TeamName, need: Resources, at: Places): Boolean {
        val before = wanted[team to at] ?: Resources.NONE
        if (!allows(team, before + need)) return false
        wanted[team to at] = before + need
        return true
    }

    public fun remove(team: TeamName, need: Resources) {
        used[team] = used(team) - need
    }

    public fun used(team: TeamName): Resources = used[team] ?: Resources.NONE

    public fun allows(team: TeamName, need: Resources): Boolean = within(team, used(team) + reserved + need)

    /** Whether there would be room under the limit if all that the team runs and that ends by itself had ended. */
    public fun couldAllow(team: TeamName, need: Resources): Boolean = within(
        team,
        (lasting[team] ?: Resources.NONE) + reserved + need,
    )

    private fun within(team: TeamName, then: Resources): Boolean {
        val limits = teams[team] ?: return false
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
