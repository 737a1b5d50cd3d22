package org.elderhitch.jobs

import org.elderhitch.json.JsonObject
import org.elderhitch.settings.TeamName
import org.elderhitch.time.WallTime

/**
 * The usage account of a job, written with its [TerminalRecord]. Seconds are task-seconds as the leader observed them:
 * each end of a run is known to within the time between two heartbeats that reached a leader. [lowerBound]: part of it
 * happened under an earlier term, or unseen by the node that wrote this, so all figures are lower bounds.
 */
public data class JobAccount(
    val team: TeamName,
    val jobClass: String,
    /** Attempts that were seen running on a machine. */
    val attempts: Long,
    /** Attempts that failed, or were lost with their machine. */
    val lost: Long,
    val usefulSeconds: Double,
    val lostSeconds: Double,
    val firstStart: WallTime?,
    val end: WallTime,
    val lowerBound: Boolean,
) {
    /** The stored value. */
    public fun encode(): Map<String, Any?> = linkedMapOf(
        "team" to team.text,
        "class" to jobClass,
        "tries" to attempts,
        "lost" to lost,
        "useful" to roundToTenths(usefulSeconds),
        "wasted" to roundToTenths(lostSeconds),
        "first" to firstStart?.ms,
        "end" to end.ms,
        "least" to lowerBound,
    ).filterValues { it != null }

    public companion object {
        private const val TENTHS = 10.0

        private fun roundToTenths(seconds: Double): Double = Math.rint(seconds * TENTHS) / TENTHS

        /**
         * Reads a stored value. Throws [org.elderhitch.json.MalformedJson]. Names of teams and classes are interned:
         * thousands of accounts are cached, of few teams and classes.
         */
        public fun decode(from: JsonObject): JobAccount = JobAccount(
            team = TeamName(from.string("team").intern()),
            jobClass = from.string("class").intern(),
            attempts = from.count("tries"),
            lost = from.count("lost"),
            usefulSeconds = from.amount("useful"),
            lostSeconds = from.amount("wasted"),
            firstStart = from.longOrNull("first")?.let(::WallTime),
            end = WallTime(from.long("end")),
            lowerBound = from.boolean("least"),
        )

        /** The account of a job whose work this node did not observe. */
        public fun unobserved(spec: JobSpec, end: WallTime): JobAccount =
            JobAccount(spec.team, spec.jobClass, 0, 0, 0.0, 0.0, null, end, lowerBound = true)
    }
}
