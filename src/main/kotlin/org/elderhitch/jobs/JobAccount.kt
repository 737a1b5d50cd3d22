package org.elderhitch.jobs

import org.elderhitch.json.JsonObject
import org.elderhitch.settings.TeamName
import org.elderhitch.time.WallTime

/**
 * The resource usage of a job, stored in its [TerminalRecord]. Seconds are task-seconds as the leader observed them:
 * the end of each run is known with the precision of the interval between two heartbeats that reached a leader.
 */
public data class JobAccount(
    val team: TeamName,
    val jobClass: String,
    /** The number of attempts that were observed running on a machine. */
    val attempts: Long,
    /** The number of attempts that failed, or were lost together with their machine. */
    val lost: Long,
    val usefulSeconds: Double,
    val lostSeconds: Double,
    val firstStart: WallTime?,
    val end: WallTime,
    /**
     * Whether all figures are only lower bounds, because part of the job ran under an earlier term or was not observed
     * by the node that wrote the account.
     */
    val isLowerBound: Boolean,
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
        "least" to isLowerBound,
    ).filterValues { it != null }

    public companion object {
        private const val TENTHS = 10.0

        private fun roundToTenths(seconds: Double): Double = Math.rint(seconds * TENTHS) / TENTHS

        /**
         * Reads a stored value. Throws [org.elderhitch.json.MalformedJson]. Team and class names are interned, because
         * thousands of cached accounts share a few distinct names.
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
            isLowerBound = from.boolean("least"),
        )

        /** The account of a job whose execution this node did not observe. */
        public fun unobserved(spec: JobSpec, end: WallTime): JobAccount =
            JobAccount(spec.team, spec.jobClass, 0, 0, 0.0, 0.0, null, end, isLowerBound = true)
    }
}
