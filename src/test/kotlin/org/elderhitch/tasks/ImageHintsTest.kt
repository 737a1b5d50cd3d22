package org.elderhitch.tasks

import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.Image
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.junit.jupiter.api.assertTimeoutPreemptively
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import java.time.Duration as JavaDuration

class ImageHintsTest {
    @Test
    fun `hints survive an encoding round trip and never exceed the size limit`() {
        val random = Random(8)
        repeat(100) {
            val images = List(random.nextInt(1, 9)) { n -> Image("image-$n") to random.nextInt(1, 100) / 4.0 }
            val imagesByMachine = List(random.nextInt(0, 120)) { n ->
                MachineId("host-%06d".format(n)) to images.shuffled(random).take(random.nextInt(1, 9)).toMap()
            }.toMap()
            val maxValueBytes = random.nextInt(400, 9000)
            val value = ImageHints.encode(imagesByMachine, maxValueBytes)
            assertTrue(Json.bytes(value).size <= maxValueBytes)
            val decoded = ImageHints.decode(Json.parseObject(Json.bytes(value)))
            for ((machine, known) in decoded) {
                assertTrue(imagesByMachine.getValue(machine).entries.containsAll(known.entries), "$machine")
            }
            if (maxValueBytes > 2000) assertEquals(imagesByMachine, decoded)
        }
    }

    @Test
    fun `hints of 1300 machines fit into a stored value`() {
        val random = Random(9)
        val images = List(30) { n -> Image("route-train-%02d".format(n)) to n + 0.5 }
        val imagesByMachine = List(1300) { n ->
            MachineId("host-%06d".format(n)) to images.shuffled(random).take(8).toMap()
        }.toMap()
        assertEquals(
            imagesByMachine,
            ImageHints.decode(Json.parseObject(Json.bytes(ImageHints.encode(imagesByMachine, 8192)))),
        )
    }

    /** Guards against a cost that grows with the square of the number of images, which users determine. */
    @Test
    fun `hints of many images are encoded quickly, and as many as fit are kept`() {
        val imagesByMachine = List(120) { n ->
            MachineId("host-%06d".format(n)) to List(250) { Image("image-$n-$it") to 0.0 }.toMap()
        }.toMap()
        val value = assertTimeoutPreemptively(JavaDuration.ofSeconds(15)) { ImageHints.encode(imagesByMachine, 8192) }
        val bytes = Json.bytes(value).size
        assertTrue(bytes in 8192 - 100..8192, "$bytes bytes")
    }

    @Test
    fun `a malformed value decodes to no hints`() {
        for (text in listOf(
            "{}",
            "{\"images\":[1]}",
            "{\"prefix\":\"host-\",\"width\":6,\"first\":0,\"images\":[[]]}",
            "{\"prefix\":\"host-\",\"width\":6,\"first\":0,\"images\":[[\"a\",1,\"?\"]]}",
            "{\"prefix\":\"host-\",\"width\":-1}",
            "{\"prefix\":7}",
        )) {
            assertEquals(emptyMap(), ImageHints.decode(JsonObject.of(Json.parse(text.toByteArray()) as Map<*, *>)))
        }
    }
}
