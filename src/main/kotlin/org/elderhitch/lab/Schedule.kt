package org.elderhitch.lab

import org.elderhitch.json.Json
import org.elderhitch.json.MalformedJson
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The machine types and workload of a storm, with the value in schedule files. */
internal enum class Shape(val word: String) {
    /** One machine type, with accelerators; services, arrays and gangs; teams with quotas. */
    ACCELERATORS("accelerators"),

    /**
     * Many small machines and few large ones, a job class that fits only the large ones, no accelerators, no quotas.
     */
    TYPES("types"),
}

/** All that a storm depends on: its seed, size, shape and faults. */
internal data class Schedule(
    val seed: Long,
    val machines: Int,
    val span: Duration,
    val faults: List<Fault>,
    val shape: Shape = Shape.ACCELERATORS,
    /** Factor of the team quotas; with a small one the teams are always at their quotas. */
    val quotaScale: Double = 1.0,
) {
    fun encode(): String = Json.text(
        linkedMapOf(
            "seed" to seed,
            "machines" to machines,
            "span_s" to span.inWholeSeconds,
            "shape" to shape.word,
            "room" to quotaScale,
            "troubles" to faults.map { it.encode() },
        ),
    )

    companion object {
        const val ZONES = 3
        const val NODES = 3

        fun decode(text: ByteArray): Schedule {
            val body = Json.parseObject(text)
            val shape = body.stringOrNull("shape")?.let { word ->
                Shape.entries.firstOrNull { it.word == word }
                    ?: throw MalformedJson("shape: $word is unknown")
            }
            if (body.count("machines") == 0L) throw MalformedJson("machines: none")
            val quotaScale = body.amountOrNull("room") ?: 1.0
            if (quotaScale <= 0.0 || quotaScale > 1.0) throw MalformedJson("room: $quotaScale is out of range")
            return Schedule(
                body.count("seed"),
                body.count("machines").toInt(),
                body.count("span_s").toInt().seconds,
                body.objects("troubles").map(Fault::decode),
                shape ?: Shape.ACCELERATORS,
                quotaScale,
            )
        }
    }
}
