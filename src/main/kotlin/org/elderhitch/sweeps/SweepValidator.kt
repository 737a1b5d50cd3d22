package org.elderhitch.sweeps

import kotlinx.coroutines.yield
import org.elderhitch.jobs.CompletedTasks
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobResponse
import org.elderhitch.jobs.JobService
import org.elderhitch.jobs.JobSpec
import kotlin.time.DurationUnit

/** A malformed point as reported to the user. [row] counts from 1, like the rows of the user's own table. */
internal class MalformedPoint(val point: Int, val column: String, val reason: String) {
    val row: Int get() = point + 1
}

/** The result of validating all points of a sweep. */
internal sealed interface ValidationResult {
    class Valid(
        val skipped: CompletedTasks,
        val malformed: List<MalformedPoint>,
        val malformedCount: Int,
        val firstJob: JobSpec,
        val taskSeconds: Double,
        val tasks: Long,
    ) : ValidationResult
    class Refused(val malformed: List<MalformedPoint>, val malformedCount: Int, val reason: String) : ValidationResult
    class Unavailable(val reason: String) : ValidationResult
}

/** Validates every point of a sweep before any of it is accepted: one malformed point can get the sweep refused. */
internal class SweepValidator(private val jobService: JobService) {
    suspend fun check(id: SweepId, description: Description): ValidationResult {
        val points = description.points.count
        val skipped = CompletedTasks(points)
        val malformed = ArrayList<MalformedPoint>()
        var malformedCount = 0
        var firstJob: JobSpec? = null
        var taskSeconds = 0.0
        var tasks = 0L
        val pointsByHash = HashMap<Long, Int>()
        for (point in 0 until points) {
            // Ten thousand points take some seconds on a small share of a core, so other coroutines get turns between.
            if (point % POINTS_PER_YIELD == 0) yield()
            try {
                val spec = description.job(id, point)
                when (val refusal = refusal(spec, firstJob) ?: jobService.refusal(spec)) {
                    null -> Unit
                    is JobResponse.NotNow -> return ValidationResult.Unavailable(refusal.reason)
                    is JobResponse.NeverRuns -> throw BadPoint("job", refusal.reason)
                    else -> throw BadPoint("job", "$refusal")
                }
                duplicateOf(description, point, pointsByHash)?.let {
                    throw BadPoint("row", "has the same values as row ${it + 1}")
                }
                firstJob = firstJob ?: spec
                tasks += spec.tasks
                taskSeconds += spec.tasks * spec.estimate.toDouble(DurationUnit.SECONDS)
            } catch (e: BadPoint) {
                skipped.add(point)
                if (malformedCount++ < MAX_REPORTED) malformed.add(MalformedPoint(point, e.column, e.reason))
            }
        }
        val validJob =
            firstJob ?: return ValidationResult.Refused(malformed, malformedCount, "all points are malformed")
        if (malformedCount > 0 && description.onBad == OnBad.REFUSE) {
            return ValidationResult.Refused(
                malformed,
                malformedCount,
                "$malformedCount of $points points are malformed",
            )
        }
        return ValidationResult.Valid(skipped, malformed, malformedCount, validJob, taskSeconds, tasks)
    }

    private fun refusal(spec: JobSpec, firstJob: JobSpec?): JobResponse? {
        if (spec.kind == JobKind.SERVICE) {
            throw BadPoint(
                "lotKind",
                "a sweep can't contain services: a service never ends, so later points would never start",
            )
        }
        if (firstJob == null) return null
        if (spec.team != firstJob.team) {
            throw BadPoint("desk", "all points must belong to one team; the first point belongs to ${firstJob.team}")
        }
        if (spec.jobClass != firstJob.jobClass) {
            throw BadPoint("lotClass", "all points must have one job class; the first point has ${firstJob.jobClass}")
        }
        return null
    }

    /** The earlier point with the same values, found by a 64-bit hash and confirmed by comparing the values. */
    private fun duplicateOf(description: Description, point: Int, pointsByHash: HashMap<Long, Int>): Int? {
        val values = values(description, point).entries.sortedBy {
            it.key
        }.joinToString("\u0001") { "${it.key}\u0002${it.value}" }
        val earlier =
            pointsByHash.putIfAbsent(com.dynatrace.hash4j.hashing.Hashing.xxh3_64().hashCharsToLong(values), point)
                ?: return null
        return earlier.takeIf { values(description, it) == values(description, point) }
    }

    private fun values(description: Description, point: Int): Map<String, Any> =
        description.template.values(description.points.values(point))

    /** The skipped points of each block, in the form that the manifest stores. Blocks without any are left out. */
    fun packSkipped(skipped: CompletedTasks): Map<Int, String> =
        (0..(skipped.tasks - 1) / Block.SIZE).associateWith { skipped.pack(it) }.filterValues {
            it.isNotEmpty() &&
                it != "b"
        }

    private companion object {
        const val POINTS_PER_YIELD = 20
        const val MAX_REPORTED = 50
    }
}
