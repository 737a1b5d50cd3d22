package org.elderhitch.jobs

import org.elderhitch.settings.Team
import org.elderhitch.settings.TeamName

/** The machine types that exist in principle. */
public fun interface MachineCatalogView {
    /** Whether a task of [spec] fits some machine type that the job permits; null: the types are not known yet. */
    public fun canEverRun(spec: JobSpec): Boolean?
}

/** What a deployment accepts: its teams, its rules by job class, its machine types and its bounds of memory. */
public class SubmissionPolicy(
    private val teams: Map<TeamName, Team>,
    private val catalog: MachineCatalogView,
    /** The most bytes of a stored job. */
    internal val maxValueBytes: Int,
    private val rules: ClassRules = ClassRules.NONE,
    private val admission: Admission? = null,
) {
    /** Whether one more job may be open while [open] is taken. */
    internal fun admits(open: Footprint, spec: JobSpec): Boolean = admission?.admits(open, spec) != false

    /** Why the job can't run in this deployment, or why that isn't known yet; null: it can. */
    internal fun refusal(spec: JobSpec): JobResponse? {
        val repeatDenial = rules.repeatDenial(spec)
        val team = teams[spec.team]
        return when {
            repeatDenial != null -> JobResponse.NeverRuns(repeatDenial)
            team == null -> JobResponse.NeverRuns("desk: unknown team")
            exceedsLimit(team, spec) -> JobResponse.NeverRuns("more than the team's limit")
            else -> machineTypeRefusal(spec)
        }
    }

    /** Whether the tasks that must run at the same time exceed the team's limit. */
    private fun exceedsLimit(team: Team, spec: JobSpec): Boolean {
        val concurrentTasks = if (spec.kind == JobKind.ARRAY) 1 else spec.tasks
        val concurrent = spec.resources * concurrentTasks
        val exceedsCpus = team.mostCpus != null && concurrent.cpus > team.mostCpus
        val exceedsGpus = team.mostGpus != null && concurrent.gpus > team.mostGpus
        return exceedsCpus || exceedsGpus
    }

    private fun machineTypeRefusal(spec: JobSpec): JobResponse? = when (catalog.canEverRun(spec)) {
        true -> null
        false -> JobResponse.NeverRuns("a task fits no allowed machine type")
        null -> JobResponse.NotNow("machine types not known yet")
    }
}
