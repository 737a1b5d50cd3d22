package org.elderhitch.jobs

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class CompletedTasksTest {
    @Test
    fun `what is packed unpacks to the same tasks within the value's limit`() {
        val random = Random(3)
        repeat(200) { round ->
            val tasks = if (round % 3 == 0) random.nextInt(1, 40) else random.nextInt(1, JobCodec.MAX_TASKS + 1)
            val finished = CompletedTasks(tasks)
            val density = random.nextDouble()
            // Clusters as well as scattered tasks: ranges and bitmaps both come up.
            var index = 0
            while (index < tasks) {
                val run = 1 + random.nextInt(if (round % 2 == 0) 2 else 500)
                if (random.nextDouble() < density) for (i in index until minOf(tasks, index + run)) finished.add(i)
                index += run
            }
            val copy = CompletedTasks(tasks)
            for (block in 0..CompletedTasks.blockOf(tasks - 1)) {
                val value = finished.pack(block)
                assertTrue(value.length <= CompletedTasks.MAX_VALUE_CHARS, "round $round: ${value.length}")
                assertTrue(copy.unpack(block, value))
            }
            assertEquals(finished.count, copy.count, "round $round")
            for (i in 0 until tasks) assertEquals(i in finished, i in copy)
            val some = CompletedTasks(tasks)
            (0 until tasks).filter { it in finished && random.nextBoolean() }.forEach(some::add)
            assertEquals((0 until tasks).filter { it in finished && it !in some }, finished.missingIn(some))
            val from = random.nextInt(tasks)
            assertEquals(
                (from until tasks).firstOrNull {
                    it !in finished
                } ?: tasks,
                finished.firstMissing(from).coerceAtMost(tasks),
            )
        }
    }

    @Test
    fun `values that are none of ours are refused`() {
        val finished = CompletedTasks(10)
        for (value in listOf(
            "x",
            "3-1",
            "-1",
            "10",
            "0-99",
            "b!!",
            "b////",
            "1,,2",
        )) {
            assertFalse(finished.unpack(0, value), value)
        }
        assertFalse(finished.unpack(1, "0"))
        assertEquals(0, finished.count)
    }
}
