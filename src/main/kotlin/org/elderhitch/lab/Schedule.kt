package org.elderhitch.lab

import org.elderhitch.json.Json
import org.elderhitch.json.MalformedJson
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What a storm's machines and users are like, by the words of schedule files. */
internal enum class Shape(val word: String) {
    /** One type with accelerators; services, arrays and gangs, teams with limits. */
    ACCELERATORS("accelerators"),

    /** Many small machines and few large ones, a class that fits only these, no accelerators and no limits. */
    TYPES("types"),
}

/** A world's size, shape and seed, and its troubles: all that a storm depends on. */
internal data class Schedule(
    val seed: Long,
    val machines: Int,
    val span: Duration,
    val troubles: List<Trouble>,
    val shape: Shape = Shape.ACCELERATORS,
    /** What the teams may use, as a part of what they may use else: at a small one they are always at their limits. */
    val room: Double = 1.0,
) {
    fun encode(): String = Json.text(
        linkedMapOf(
            "seed" to seed,
            "machines" to machines,
            "span_s" to span.inWholeSeconds,
            "shape" to shape.word,
            "room" to room,
            "troubles" to troubles.map { it.encode() },
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
            val room = body.amountOrNull("room") ?: 1.0
            if (room <= 0.0 || room > 1.0) throw MalformedJson("room: $room is out of range")
            return Schedule(
                body.count("seed"),
                body.count("machines").toInt(),
                body.count("span_s").toInt().seconds,
                body.objects("troubles").map(Trouble::decode),
                shape ?: Shape.ACCELERATORS,
                room,
            )
        }
    }
}
