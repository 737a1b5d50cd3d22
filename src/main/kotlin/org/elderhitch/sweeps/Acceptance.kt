package org.elderhitch.sweeps

import kotlinx.coroutines.yield
import org.elderhitch.jobs.CompletedTasks
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobResponse
import org.elderhitch.jobs.JobService
import org.elderhitch.jobs.JobSpec
import kotlin.time.DurationUnit

/** One malformed point, as its user is told. [row]: from 1, as in the user's own table. */
internal class Malformed(val point: Int, val column: String, val reason: String) {
    val row: Int get() = point + 1
}

/** What the check of all points came to. */
internal sealed interface Checked {
    class Fine(
        val skipped: CompletedTasks,
        val bad: List<Malformed>,
        val badCount: Int,
        val first: JobSpec,
        val taskSeconds: Double,
        val tasks: Long,
    ) : Checked
    class Refused(val bad: List<Malformed>, val badCount: Int, val reason: String) : Checked
    class NotNow(val reason: String) : Checked
}

/** Looks at each point of a sweep before anything of it is accepted: all of it is as good as its worst point. */
internal class Acceptance(private val jobService: JobService) {
    suspend fun check(id: SweepId, description: Description): Checked {
        val points = description.points.count
        val skipped = CompletedTasks(points)
        val bad = ArrayList<Malformed>()
        var badCount = 0
        var first: JobSpec? = null
        var seconds = 0.0
        var tasks = 0L
        val seen = HashMap<Long, Int>()
        for (point in 0 until points) {
            // Ten thousand points are some seconds' work for a small share of a core: others come between.
            if (point % AT_A_TIME == 0) yield()
            try {
                val spec = description.job(id, point)
                when (val refused = refusal(spec, first) ?: jobService.refusal(spec)) {
                    null -> Unit
                    is JobResponse.NotNow -> return Checked.NotNow(refused.reason)
                    is JobResponse.NeverRuns -> throw BadPoint("job", refused.reason)
                    else -> throw BadPoint("job", "$refused")
                }
                twin(description, point, seen)?.let { throw BadPoint("row", "the same values as row ${it + 1}") }
                first = first ?: spec
                tasks += spec.tasks
                seconds += spec.tasks * spec.estimate.toDouble(DurationUnit.SECONDS)
            } catch (e: BadPoint) {
                skipped.add(point)
                if (badCount++ < SHOWN) bad.add(Malformed(point, e.column, e.reason))
            }
        }
        val good = first ?: return Checked.Refused(bad, badCount, "no point is well-formed")
        if (badCount > 0 && description.onBad == OnBad.REFUSE) {
            return Checked.Refused(bad, badCount, "$badCount of $points points are malformed")
        }
        return Checked.Fine(skipped, bad, badCount, good, seconds, tasks)
    }

    private fun refusal(spec: JobSpec, first: JobSpec?): JobResponse? {
        if (spec.kind == JobKind.SERVICE) {
            throw BadPoint("lotKind", "a service never ends, so the points after it would never start")
        }
        if (first == null) return null
        if (spec.team != first.team) {
            throw BadPoint("desk", "a sweep is one team's, and its first point is ${first.team}'s")
        }
        if (spec.jobClass != first.jobClass) {
            throw BadPoint("lotClass", "a sweep is of one class, and its first point of ${first.jobClass}")
        }
        return null
    }

    /** The earlier point with the same values, told by a hash of 64 bits and then by the values. */
    private fun twin(description: Description, point: Int, seen: HashMap<Long, Int>): Int? {
        val values = values(description, point).entries.sortedBy {
            it.key
        }.joinToString("\u0001") { "${it.key}\u0002${it.value}" }
        val earlier =
            seen.putIfAbsent(com.dynatrace.hash4j.hashing.Hashing.xxh3_64().hashCharsToLong(values), point)
                ?: return null
        return earlier.takeIf { values(description, it) == values(description, point) }
    }

    private fun values(description: Description, point: Int): Map<String, Any> =
        description.template.values(description.points.values(point))

    /** Of each block what is skipped, as the manifest keeps it. */
    fun packed(skipped: CompletedTasks): Map<Int, String> =
        (0..(skipped.tasks - 1) / Block.SIZE).associateWith { skipped.pack(it) }.filterValues {
            it.isNotEmpty() &&
                it != "b"
        }

    private companion object {
        const val AT_A_TIME = 20
        const val SHOWN = 50
    }
}
