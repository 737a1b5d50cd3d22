package org.elderhitch.jobs

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class CompletedTasksTest {
    @Test
    fun `packed blocks unpack to the same tasks and don't exceed the maximum length of a value`() {
        val random = Random(3)
        repeat(200) { round ->
            val tasks = if (round % 3 == 0) random.nextInt(1, 40) else random.nextInt(1, JobCodec.MAX_TASKS + 1)
            val completed = CompletedTasks(tasks)
            val density = random.nextDouble()
            // Both clustered and scattered tasks, so that ranges as well as bitmaps occur.
            var index = 0
            while (index < tasks) {
                val size = 1 + random.nextInt(if (round % 2 == 0) 2 else 500)
                if (random.nextDouble() < density) for (i in index until minOf(tasks, index + size)) completed.add(i)
                index += size
            }
            val unpacked = CompletedTasks(tasks)
            for (block in 0..CompletedTasks.blockOf(tasks - 1)) {
                val value = completed.pack(block)
                assertTrue(value.length <= CompletedTasks.MAX_VALUE_CHARS, "round $round: length ${value.length}")
                assertTrue(unpacked.unpack(block, value))
            }
            assertEquals(completed.count, unpacked.count, "round $round")
            for (i in 0 until tasks) assertEquals(i in completed, i in unpacked)
            val subset = CompletedTasks(tasks)
            (0 until tasks).filter { it in completed && random.nextBoolean() }.forEach(subset::add)
            assertEquals((0 until tasks).filter { it in completed && it !in subset }, completed.missingIn(subset))
            val from = random.nextInt(tasks)
            val firstMissing = (from until tasks).firstOrNull { it !in completed } ?: tasks
            assertEquals(firstMissing, completed.firstMissing(from).coerceAtMost(tasks))
        }
    }

    @Test
    fun `a malformed stored value is rejected and adds no task`() {
        val completed = CompletedTasks(10)
        for (value in listOf("x", "3-1", "-1", "10", "0-99", "b!!", "b////", "1,,2")) {
            assertFalse(completed.unpack(0, value), value)
        }
        assertFalse(completed.unpack(1, "0"))
        assertEquals(0, completed.count)
    }
}
