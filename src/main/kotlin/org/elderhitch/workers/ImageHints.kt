package org.elderhitch.workers

import org.elderhitch.jobs.Image
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson

/**
 * Which images machines have, as one value in the state service: a hint for the next leader, which would else know only
 * the images of tasks that run, and would fetch the others again. Wrong or missing, it costs a fetch and nothing more.
 */
public object ImageHints {
    private const val MOST_PER_MACHINE = 12

    /** Images by machine, the latest last; machines that don't fit into [valueBytes] are left out. */
    public fun encode(used: Map<MachineId, Map<Image, Double>>, valueBytes: Int): Map<String, Any?> {
        var machines = used.entries.filter { it.value.isNotEmpty() }.sortedBy { it.key }
        while (true) {
            val images = machines.flatMap { latest(it.value).keys }.distinct()
            val sizes = HashMap<Image, Double>()
            machines.forEach { sizes.putAll(it.value) }
            val numbers = images.withIndex().associate { (n, image) -> image to n }
            val value = linkedMapOf(
                "images" to images.map { listOf(it.name, sizes[it]) },
                "on" to machines.associate { (id, of) -> id.text to latest(of).keys.map { numbers.getValue(it) } },
            )
            if (machines.isEmpty() || Json.bytes(value).size <= valueBytes) return value
            machines = machines.take(machines.size * 3 / 4)
        }
    }

    private fun latest(images: Map<Image, Double>): Map<Image, Double> =
        images.entries.drop((images.size - MOST_PER_MACHINE).coerceAtLeast(0)).associate { it.key to it.value }

    /** Empty for a value that this program did not write. */
    public fun decode(value: JsonObject): Map<MachineId, Map<Image, Double>> = try {
        val images = (value.raw("images") as? List<*>).orEmpty().map { pair ->
            val (name, gb) = pair as? List<*> ?: throw MalformedJson("images: not pairs")
            Image(name as? String ?: throw MalformedJson("images: no name")) to ((gb as? Number)?.toDouble() ?: 0.0)
        }
        (value.raw("on") as? Map<*, *>).orEmpty().entries.associate { (id, numbers) ->
            MachineId(id.toString()) to (numbers as? List<*>).orEmpty().mapNotNull { n -> (n as? Long)?.let { images.getOrNull(it.toInt()) } }.toMap()
        }
    } catch (_: MalformedJson) {
        emptyMap()
    } catch (_: IndexOutOfBoundsException) {
        emptyMap()
    }
}
