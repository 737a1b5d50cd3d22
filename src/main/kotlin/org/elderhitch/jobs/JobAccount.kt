package org.elderhitch.jobs

import org.elderhitch.json.JsonObject
import org.elderhitch.settings.TeamName
import org.elderhitch.time.WallTime

/**
 * What became of a job's work, written with its ending. Seconds are task-seconds as the leader saw them: each end of a
 * run to within the time between two reports that reached a leader. [lowerBound]: part of it happened under an earlier
 * term, or unseen by the node that
 * wrote this, so there was at least as much of everything.
 */
public data class JobAccount(
    val team: TeamName,
    val jobClass: String,
    /** Starts that were seen on a machine. */
    val attempts: Long,
    /** Attempts that failed, or vanished with their machine. */
    val lost: Long,
    val usefulS: Double,
    val lostS: Double,
    val firstStart: WallTime?,
    val end: WallTime,
    val lowerBound: Boolean,
) {
    public fun encode(): Map<String, Any?> = linkedMapOf(
        "team" to team.text, "class" to jobClass, "tries" to attempts, "lost" to lost,
        "useful" to tenths(usefulS), "wasted" to tenths(lostS), "first" to firstStart?.ms, "end" to end.ms,
        "least" to lowerBound,
    ).filterValues { it != null }

    public companion object {
        private const val TENTHS = 10.0

        private fun tenths(seconds: Double): Double = Math.rint(seconds * TENTHS) / TENTHS

        /**
         * Throws [org.elderhitch.json.MalformedJson]. Thousands are remembered, of few teams and classes: these are
         * kept once.
         */
        public fun decode(from: JsonObject): JobAccount = JobAccount(
            TeamName(
                from.string("team").intern(),
            ),
            from.string("class").intern(), from.count("tries"), from.count("lost"),
            from.amount(
                "useful",
            ),
            from.amount("wasted"), from.longOrNull("first")?.let(::WallTime), WallTime(from.long("end")),
            from.boolean("least"),
        )

        /** Of a job whose work this node did not see. */
        public fun unseen(spec: JobSpec, end: WallTime): JobAccount =
            JobAccount(spec.team, spec.jobClass, 0, 0, 0.0, 0.0, null, end, lowerBound = true)
    }
}
