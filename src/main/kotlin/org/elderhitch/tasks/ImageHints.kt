package org.elderhitch.tasks

import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.Image
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import java.util.Base64
import java.util.BitSet

/**
 * Codec for the stored hints about which machines have which images cached.
 *
 * The leader stores the hints for its successor, which otherwise knows only the images of running tasks and would have
 * the others fetched again. A wrong or missing hint only costs an unnecessary fetch.
 *
 * Most machine ids consist of a common prefix and a number. The encoding stores the prefix once and a bitmap of machine
 * numbers for each image, because lists of ids would exceed the size limit of a stored value with fewer than three
 * hundred machines. Machines whose id has another format are left out.
 */
public object ImageHints {
    private data class IdFormat(val prefix: String, val digits: Int)

    private class NumberedId(val format: IdFormat, val number: Int)

    /**
     * Encodes the images of each machine, given with their sizes in gigabytes. If the result would exceed
     * [maxValueBytes], the images on the fewest machines are left out.
     */
    public fun encode(imagesByMachine: Map<MachineId, Map<Image, Double>>, maxValueBytes: Int): Map<String, Any?> {
        val machines =
            imagesByMachine.filterValues { it.isNotEmpty() }.keys.mapNotNull { id -> parseId(id)?.let { id to it } }
        val (format, members) = machines.groupBy { it.second.format }.maxByOrNull { it.value.size } ?: return emptyMap()
        val firstNumber = members.minOf { it.second.number }
        val gigabytesByImage = HashMap<Image, Double>()
        val machinesByImage = HashMap<Image, BitSet>()
        for ((id, numbered) in members) {
            for ((image, gigabytes) in imagesByMachine.getValue(id)) {
                gigabytesByImage[image] = gigabytes
                machinesByImage.getOrPut(image) { BitSet() }.set(numbered.number - firstNumber)
            }
        }
        val header = linkedMapOf<String, Any?>(
            PREFIX to format.prefix,
            WIDTH to format.digits,
            FIRST to firstNumber,
        )
        return truncateToSize(header, imageEntries(gigabytesByImage, machinesByImage), maxValueBytes)
    }

    /** Returns one entry for each image, in descending order of the number of machines that have it. */
    private fun imageEntries(
        gigabytesByImage: Map<Image, Double>,
        machinesByImage: Map<Image, BitSet>,
    ): List<List<Any?>> {
        val mostWidespreadFirst =
            compareByDescending<Map.Entry<Image, BitSet>> { it.value.cardinality() }.thenBy { it.key.name }
        return machinesByImage.entries.sortedWith(mostWidespreadFirst).map { (image, bits) ->
            listOf(image.name, gigabytesByImage[image], Base64.getEncoder().encodeToString(bits.toByteArray()))
        }
    }

    private fun truncateToSize(
        header: Map<String, Any?>,
        images: List<List<Any?>>,
        maxValueBytes: Int,
    ): Map<String, Any?> {
        fun value(count: Int) = header + (IMAGES to images.take(count))
        fun fits(count: Int) = Json.bytes(value(count)).size <= maxValueBytes
        if (fits(images.size)) return value(images.size)
        var fitting = 0
        var tooMany = images.size
        while (tooMany - fitting > 1) {
            val middle = (fitting + tooMany) / 2
            if (fits(middle)) fitting = middle else tooMany = middle
        }
        return value(fitting)
    }

    private fun parseId(id: MachineId): NumberedId? {
        val digits = id.text.takeLastWhile { it in '0'..'9' }
        val number = digits.toIntOrNull() ?: return null
        return NumberedId(IdFormat(id.text.dropLast(digits.length), digits.length), number)
    }

    /**
     * Decodes the images of each machine, in ascending order of the number of machines that have them. Returns an empty
     * map if [value] was not written by [encode].
     */
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
        // The images on most machines come last, which marks them as the most recently used: that is the likeliest
        // order of use.
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
