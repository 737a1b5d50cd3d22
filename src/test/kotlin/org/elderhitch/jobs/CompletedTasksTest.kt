package org.elderhitch.jobs

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class CompletedTasksTest {
    @Test
    fun `a set unpacks to the same tasks when it was packed, within the limit of values`() {
        val random = Random(3)
        repeat(200) { round ->
            val tasks = if (round % 3 == 0) random.nextInt(1, 40) else random.nextInt(1, JobCodec.MAX_TASKS + 1)
            val completed = CompletedTasks(tasks)
            val density = random.nextDouble()
            // Clusters as well as scattered tasks: ranges and bitmaps both come up.
            var index = 0
            while (index < tasks) {
                val run = 1 + random.nextInt(if (round % 2 == 0) 2 else 500)
                if (random.nextDouble() < density) for (i in index until minOf(tasks, index + run)) completed.add(i)
                index += run
            }
            val copy = CompletedTasks(tasks)
            for (block in 0..CompletedTasks.blockOf(tasks - 1)) {
                val value = completed.pack(block)
                assertTrue(value.length <= CompletedTasks.MAX_VALUE_CHARS, "round $round: ${value.length}")
                assertTrue(copy.unpack(block, value))
            }
            assertEquals(completed.count, copy.count, "round $round")
            for (i in 0 until tasks) assertEquals(i in completed, i in copy)
            val some = CompletedTasks(tasks)
            (0 until tasks).filter { it in completed && random.nextBoolean() }.forEach(some::add)
            assertEquals((0 until tasks).filter { it in completed && it !in some }, completed.missingIn(some))
            val from = random.nextInt(tasks)
            val firstMissing = (from until tasks).firstOrNull { it !in completed } ?: tasks
            assertEquals(firstMissing, completed.firstMissing(from).coerceAtMost(tasks))
        }
    }

    @Test
    fun `a set refuses a stored value when it is malformed`() {
        val completed = CompletedTasks(10)
        for (value in listOf("x", "3-1", "-1", "10", "0-99", "b!!", "b////", "1,,2")) {
            assertFalse(completed.unpack(0, value), value)
        }
        assertFalse(completed.unpack(1, "0"))
        assertEquals(0, completed.count)
    }
}
