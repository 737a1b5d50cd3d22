package org.elderhitch.lab

import org.elderhitch.json.Json
import kotlin.time.Duration

/** One storm after the other; each depends on its own seed and size alone. */
internal class Storms(
    private val seed: Long,
    private val machines: Int,
    private val count: Int,
    private val span: Duration,
    private val shape: Shape,
    private val draw: Draw,
    private val share: Double?,
    private val shrink: Boolean,
    private val given: Schedule?,
    private val progress: (String) -> Unit,
) {
    fun run(): LabResult {
        val schedules = given?.let(::listOf) ?: List(count) { n -> drawn(seed + n).copy(shape = shape) }
        val outcomes = schedules.map { schedule ->
            StormLab(schedule, share).run().also {
                val troubles = schedule.troubles.size
                progress(
                    "seed=${schedule.seed} machines=${schedule.machines} troubles=$troubles ${it.verdict} " +
                        Json.text(it.figures),
                )
            }
        }
        val failed = outcomes.filter { it.fails }
        val first = failed.firstOrNull()
        if (first != null && shrink) {
            val smallest = Shrink.smallest(first.schedule, SHRINK_TRIES) { candidate ->
                StormLab(candidate, share).run().fails.also {
                    progress("shrinking: ${candidate.troubles.size} troubles, fails=$it")
                }
            }
            progress("smallest schedule that fails: ${smallest.encode()}")
        }
        val recovered = outcomes.mapNotNull { it.recovered }.sorted()
        val figures = linkedMapOf<String, Any?>(
            "lab" to "storm", "seed" to seed, "machines" to machines, "storms" to outcomes.size,
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

    private fun drawn(seed: Long): Schedule = when (draw) {
        Draw.USUAL -> ScheduleDraw.of(seed, machines, span, StormLab.leaseOf(seed))
        Draw.ENCOUNTERS -> FaultScenarios.draw(seed, machines, span, StormLab.leaseOf(seed))
    }

    private companion object {
        const val SHRINK_TRIES = 60
    }
}
