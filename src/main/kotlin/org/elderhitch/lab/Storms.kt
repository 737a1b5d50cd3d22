package org.elderhitch.lab

import org.elderhitch.json.Json
import kotlin.time.Duration

/** What schedules are generated from: the first seed, and the size, shape and mode of all. */
internal class ScheduleOptions(
    val seed: Long,
    val machines: Int,
    val span: Duration,
    val shape: Shape,
    val mode: ScheduleMode,
)

/**
 * [count] storms generated from [schedules], or only the [given] one. [share] is a node's share of a core; null: its
 * work costs no time. With [shrink] the first failing schedule is reduced.
 */
internal class StormOptions(
    val schedules: ScheduleOptions,
    val count: Int,
    val share: Double?,
    val shrink: Boolean,
    val given: Schedule?,
)

/** Runs storms one after the other. Each depends only on its own schedule. */
internal class Storms(private val options: StormOptions, private val progress: (String) -> Unit) {
    private val scheduleOptions = options.schedules

    fun run(): LabResult {
        val schedules = options.given?.let(::listOf)
            ?: List(options.count) { n -> generate(scheduleOptions.seed + n).copy(shape = scheduleOptions.shape) }
        val outcomes = schedules.map { schedule ->
            StormLab(schedule, options.share).run().also {
                val faults = schedule.faults.size
                progress(
                    "seed=${schedule.seed} machines=${schedule.machines} troubles=$faults ${it.verdict} " +
                        Json.text(it.figures),
                )
            }
        }
        val failed = outcomes.filter { it.fails }
        val first = failed.firstOrNull()
        if (first != null && options.shrink) {
            val smallest = ScheduleShrinker.smallest(first.schedule, MAX_SHRINK_ATTEMPTS) { candidate ->
                StormLab(candidate, options.share).run().fails.also {
                    progress("shrinking: ${candidate.faults.size} faults, fails=$it")
                }
            }
            progress("smallest failing schedule: ${smallest.encode()}")
        }
        val recovered = outcomes.mapNotNull { it.recovered }.sorted()
        val figures = linkedMapOf<String, Any?>(
            "lab" to "storm", "seed" to scheduleOptions.seed, "machines" to scheduleOptions.machines,
            "storms" to outcomes.size,
            "failed" to failed.map { it.schedule.seed },
            "rules_broken" to outcomes.sumOf { it.violations.size },
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

    private fun generate(seed: Long): Schedule = when (scheduleOptions.mode) {
        ScheduleMode.USUAL -> FaultScenarios.withRepeats(
            ScheduleGenerator.of(
                seed,
                scheduleOptions.machines,
                scheduleOptions.span,
                StormLab.leaseOf(seed),
            ),
        )
        ScheduleMode.ENCOUNTERS -> FaultScenarios.generate(
            seed,
            scheduleOptions.machines,
            scheduleOptions.span,
            StormLab.leaseOf(seed),
        )
    }

    private companion object {
        const val MAX_SHRINK_ATTEMPTS = 60
    }
}
