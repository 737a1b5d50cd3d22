package org.elderhitch.workers

import org.elderhitch.jobs.Image
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ImageHintsTest {
    @Test
    fun `hints survive the store, in order, and never outgrow a value`() {
        val random = Random(8)
        repeat(100) {
            val images = List(random.nextInt(1, 9)) { n -> Image("image-$n") to random.nextInt(1, 100) / 4.0 }
            val used = List(random.nextInt(0, 120)) { n ->
                MachineId("host-%06d".format(n)) to images.shuffled(random).take(random.nextInt(1, 9)).toMap()
            }.toMap()
            val limit = random.nextInt(400, 9000)
            val value = ImageHints.encode(used, limit)
            assertTrue(Json.bytes(value).size <= limit)
            val read = ImageHints.decode(Json.parseObject(Json.bytes(value)))
            for ((machine, of) in read) assertEquals(used.getValue(machine).entries.toList().toString(), of.entries.toList().toString())
            if (limit == 9000 || used.size < 5) assertEquals(used.keys, read.keys)
        }
    }

    @Test
    fun `a value that is none of ours is no hint`() {
        for (text in listOf("{}", "{\"images\":[1],\"on\":{}}", "{\"images\":[[]],\"on\":{\"a\":[0]}}", "{\"images\":7,\"on\":[]}")) {
            assertEquals(emptyMap(), ImageHints.decode(JsonObject.of(Json.parse(text.toByteArray()) as Map<*, *>)))
        }
    }
}
