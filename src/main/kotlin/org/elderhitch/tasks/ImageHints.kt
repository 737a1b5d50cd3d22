package org.elderhitch.tasks

import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.Image
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import java.util.Base64
import java.util.BitSet

/**
 * Which images machines have, as one value in the state service: a hint for the next leader, which would else know only
 * the images of tasks that run, and would fetch the others again. Wrong or missing, it costs a fetch and nothing more.
 *
 * Machines are numbered by the cloud, so that each image takes one bit a machine: names alone would fill a value with
 * less than three hundred of them.
 */
public object ImageHints {
    private class Numbered(val prefix: String, val width: Int, val number: Int)

    /** Images by machine; the images on the fewest machines are left out if not all fit into [valueBytes]. */
    public fun encode(used: Map<MachineId, Map<Image, Double>>, valueBytes: Int): Map<String, Any?> {
        val machines = used.filterValues { it.isNotEmpty() }.keys.mapNotNull { id -> numbered(id)?.let { id to it } }
        val form =
            machines.groupBy { it.second.prefix to it.second.width }.maxByOrNull { it.value.size } ?: return emptyMap()
        val first = form.value.minOf { it.second.number }
        val sizes = HashMap<Image, Double>()
        val on = HashMap<Image, BitSet>()
        for ((id, numbered) in form.value) {
            for ((image, gb) in used.getValue(id)) {
                sizes[image] = gb
                on.getOrPut(image) { BitSet() }.set(numbered.number - first)
            }
        }
        val images = on.entries.sortedWith(
            compareByDescending<Map.Entry<Image, BitSet>> {
                it.value.cardinality()
            }.thenBy { it.key.name },
        )
            .map { (image, bits) ->
                listOf(image.name, sizes[image], Base64.getEncoder().encodeToString(bits.toByteArray()))
            }
        val head = linkedMapOf<String, Any?>("prefix" to form.key.first, "width" to form.key.second, "first" to first)
        var kept = images.size
        while (true) {
            val value = head + ("images" to images.take(kept))
            if (kept == 0 || Json.bytes(value).size <= valueBytes) return value
            kept--
        }
    }

    private fun numbered(id: MachineId): Numbered? {
        val digits = id.text.takeLastWhile { it in '0'..'9' }
        val number = digits.toIntOrNull() ?: return null
        return Numbered(id.text.dropLast(digits.length), digits.length, number)
    }

    /** Empty for a value that this program did not write. */
    public fun decode(value: JsonObject): Map<MachineId, Map<Image, Double>> {
        val machines = HashMap<MachineId, MutableMap<Image, Double>>()
        try {
            val prefix = value.stringOrNull("prefix") ?: return emptyMap()
            val width = value.count("width").toInt()
            val first = value.count("first").toInt()
            // The rarest first: what many machines have is what they used last, most likely.
            for (entry in (value.raw("images") as? List<*>).orEmpty().reversed()) {
                val (name, gb, bits) = entry as? List<*> ?: return emptyMap()
                if (name !is String || gb !is Number || bits !is String) return emptyMap()
                for (n in BitSet.valueOf(Base64.getDecoder().decode(bits)).stream()) {
                    val id = MachineId(prefix + (first + n).toString().padStart(width, '0'))
                    machines.getOrPut(id) { LinkedHashMap() }[Image(name)] = gb.toDouble()
                }
            }
        } catch (_: MalformedJson) {
            return emptyMap()
        } catch (_: IllegalArgumentException) {
            return emptyMap()
        } catch (_: IndexOutOfBoundsException) {
            return emptyMap()
        }
        return machines
    }
}
