package org.elderhitch.tasks

import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.Image
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import java.util.Base64
import java.util.BitSet

/**
 * Codec of the stored hint about which machines have which images.
 *
 * The leader writes the hint for its successor, which otherwise knows only the images of running tasks and would fetch
 * the others again. A wrong or missing hint costs a fetch and nothing else.
 *
 * Machine ids are a common prefix and a number. The value names the prefix once and takes one bit for each machine and
 * image, because a list of ids would exceed the size of a value with fewer than three hundred machines. Machines whose
 * id has another form are left out.
 */
public object ImageHints {
    private data class IdFormat(val prefix: String, val digits: Int)

    private class NumberedId(val format: IdFormat, val number: Int)

    /**
     * Encodes the images of each machine with their sizes in gigabytes. If not all images fit into [valueBytes], those
     * on the fewest machines are left out.
     */
    public fun encode(used: Map<MachineId, Map<Image, Double>>, valueBytes: Int): Map<String, Any?> {
        val machines = used.filterValues { it.isNotEmpty() }.keys.mapNotNull { id -> numbered(id)?.let { id to it } }
        val (format, members) = machines.groupBy { it.second.format }.maxByOrNull { it.value.size } ?: return emptyMap()
        val firstNumber = members.minOf { it.second.number }
        val sizes = HashMap<Image, Double>()
        val holders = HashMap<Image, BitSet>()
        for ((id, numbered) in members) {
            for ((image, gigabytes) in used.getValue(id)) {
                sizes[image] = gigabytes
                holders.getOrPut(image) { BitSet() }.set(numbered.number - firstNumber)
            }
        }
        val header = linkedMapOf<String, Any?>(
            PREFIX to format.prefix,
            WIDTH to format.digits,
            FIRST to firstNumber,
        )
        return fitting(header, imageEntries(sizes, holders), valueBytes)
    }

    /** One entry for each image, the most widespread first. */
    private fun imageEntries(sizes: Map<Image, Double>, holders: Map<Image, BitSet>): List<List<Any?>> {
        val mostWidespreadFirst =
            compareByDescending<Map.Entry<Image, BitSet>> { it.value.cardinality() }.thenBy { it.key.name }
        return holders.entries.sortedWith(mostWidespreadFirst).map { (image, bits) ->
            listOf(image.name, sizes[image], Base64.getEncoder().encodeToString(bits.toByteArray()))
        }
    }

    private fun fitting(header: Map<String, Any?>, images: List<List<Any?>>, valueBytes: Int): Map<String, Any?> {
        var count = images.size
        while (true) {
            val value = header + (IMAGES to images.take(count))
            if (count == 0 || Json.bytes(value).size <= valueBytes) return value
            count--
        }
    }

    private fun numbered(id: MachineId): NumberedId? {
        val digits = id.text.takeLastWhile { it in '0'..'9' }
        val number = digits.toIntOrNull() ?: return null
        return NumberedId(IdFormat(id.text.dropLast(digits.length), digits.length), number)
    }

    /** The images of each machine, least widespread first; empty if [value] was not written by [encode]. */
    public fun decode(value: JsonObject): Map<MachineId, Map<Image, Double>> = try {
        decodeMachines(value).orEmpty()
    } catch (_: MalformedJson) {
        emptyMap()
    } catch (_: IllegalArgumentException) {
        emptyMap()
    } catch (_: IndexOutOfBoundsException) {
        emptyMap()
    }

    private fun decodeMachines(value: JsonObject): Map<MachineId, Map<Image, Double>>? {
        val prefix = value.stringOrNull(PREFIX) ?: return null
        val digits = value.count(WIDTH).toInt()
        val firstNumber = value.count(FIRST).toInt()
        val machines = HashMap<MachineId, MutableMap<Image, Double>>()
        // A machine most likely used last what many machines have, and the last image counts as the latest used.
        for (entry in (value.raw(IMAGES) as? List<*>).orEmpty().reversed()) {
            val (name, gigabytes, bits) = entry as? List<*> ?: return null
            if (name !is String || gigabytes !is Number || bits !is String) return null
            for (offset in BitSet.valueOf(Base64.getDecoder().decode(bits)).stream()) {
                val id = MachineId(prefix + (firstNumber + offset).toString().padStart(digits, '0'))
                machines.getOrPut(id) { LinkedHashMap() }[Image(name)] = gigabytes.toDouble()
            }
        }
        return machines
    }

    private const val PREFIX = "prefix"
    private const val WIDTH = "width"
    private const val FIRST = "first"
    private const val IMAGES = "images"
}
