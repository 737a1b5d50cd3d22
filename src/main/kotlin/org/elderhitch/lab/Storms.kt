package org.elderhitch.lab

import org.elderhitch.json.Json
import kotlin.time.Duration

/** What the schedules are drawn from: the first seed, and the same size, shape and way for each. */
internal class ScheduleOptions(val seed: Long, val machines: Int, val span: Duration, val shape: Shape, val draw: Draw)

/**
 * [count] storms drawn as [schedules] says, or only the [given] one. [share] is a node's share of a core; null: its
 * work costs nothing. With [shrink] the first schedule that fails is made smaller.
 */
internal class StormOptions(
    val schedules: ScheduleOptions,
    val count: Int,
    val share: Double?,
    val shrink: Boolean,
    val given: Schedule?,
)

/** One storm after the other; each depends on its own seed and size alone. */
internal class Storms(private val options: StormOptions, private val progress: (String) -> Unit) {
    private val drawn = options.schedules

    fun run(): LabResult {
        val schedules = options.given?.let(::listOf)
            ?: List(options.count) { n -> draw(drawn.seed + n).copy(shape = drawn.shape) }
        val outcomes = schedules.map { schedule ->
            StormLab(schedule, options.share).run().also {
                val troubles = schedule.troubles.size
                progress(
                    "seed=${schedule.seed} machines=${schedule.machines} troubles=$troubles ${it.verdict} " +
                        Json.text(it.figures),
                )
            }
        }
        val failed = outcomes.filter { it.fails }
        val first = failed.firstOrNull()
        if (first != null && options.shrink) {
            val smallest = Shrink.smallest(first.schedule, SHRINK_TRIES) { candidate ->
                StormLab(candidate, options.share).run().fails.also {
                    progress("shrinking: ${candidate.troubles.size} troubles, fails=$it")
                }
            }
            progress("smallest schedule that fails: ${smallest.encode()}")
        }
        val recovered = outcomes.mapNotNull { it.recovered }.sorted()
        val figures = linkedMapOf<String, Any?>(
            "lab" to "storm", "seed" to drawn.seed, "machines" to drawn.machines, "storms" to outcomes.size,
            "failed" to failed.map { it.schedule.seed },
            "rules_broken" to outcomes.sumOf { it.broken.size },
            "not_recovered" to outcomes.count { it.recovered == null },
            "recovered_p50_s" to recovered.getOrNull(recovered.size / 2)?.inWholeSeconds,
            "recovered_max_s" to recovered.lastOrNull()?.inWholeSeconds,
            "served_least" to outcomes.mapNotNull { it.served }.minOrNull(),
            "starts" to outcomes.sumOf { it.figures["starts"] as Int },
            "starts_withdrawn" to outcomes.sumOf { it.figures["starts_withdrawn"] as Int },
            "latest_start_ms" to outcomes.maxOfOrNull { it.figures["latest_start_ms"] as Long },
        )
        return LabResult(figures, first?.let { "seed ${it.schedule.seed}: ${it.verdict}" })
    }

    private fun draw(seed: Long): Schedule = when (drawn.draw) {
        Draw.USUAL -> ScheduleDraw.of(seed, drawn.machines, drawn.span, StormLab.leaseOf(seed))
        Draw.ENCOUNTERS -> FaultScenarios.draw(seed, drawn.machines, drawn.span, StormLab.leaseOf(seed))
    }

    private companion object {
        const val SHRINK_TRIES = 60
    }
}
