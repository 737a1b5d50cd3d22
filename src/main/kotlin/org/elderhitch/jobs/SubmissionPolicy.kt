package org.elderhitch.jobs

import org.elderhitch.settings.Team
import org.elderhitch.settings.TeamName

/** The machine types in the cloud's catalog, whether available at the moment or not. */
public fun interface MachineCatalogView {
    /** Whether a task of [spec] fits any machine type that the job permits; null if the types are not known yet. */
    public fun canEverRun(spec: JobSpec): Boolean?
}

/** Decides which jobs a deployment accepts, by its teams, job class rules, machine types and memory bounds. */
public class SubmissionPolicy(
    private val teams: Map<TeamName, Team>,
    private val catalog: MachineCatalogView,
    /** The maximum size of a stored job in bytes. */
    internal val maxValueBytes: Int,
    private val rules: ClassRules = ClassRules.NONE,
    private val admission: Admission? = null,
) {
    /** Whether [spec] may be accepted while the open jobs occupy [open]. */
    internal fun admits(open: Footprint, spec: JobSpec): Boolean = admission?.admits(open, spec) != false

    /** Why the job can't run in this deployment, or why that isn't known yet; null if it can run. */
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

    /** Whether the tasks that must run concurrently exceed the team's limits. */
    private fun exceedsLimit(team: Team, spec: JobSpec): Boolean {
        val concurrentTasks = if (spec.kind == JobKind.ARRAY) 1 else spec.tasks
        val concurrent = spec.resources * concurrentTasks
        val exceedsCpus = team.maxCpus != null && concurrent.cpus > team.maxCpus
        val exceedsGpus = team.maxGpus != null && concurrent.gpus > team.maxGpus
        return exceedsCpus || exceedsGpus
    }

    private fun machineTypeRefusal(spec: JobSpec): JobResponse? = when (catalog.canEverRun(spec)) {
        true -> null
        false -> JobResponse.NeverRuns("a task fits no allowed machine type")
        null -> JobResponse.NotNow("machine types not known yet")
    }
}
