package org.elderhitch.jobs

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class ResourcesTest {
    /** Counts by subtracting one request after the other, as plans and cycles did before. */
    private fun countCopies(request: Resources, capacity: Resources, limit: Int): Int {
        var free = capacity
        var count = 0
        while (count < limit && request.fitsIn(free)) {
            free -= request
            count++
        }
        return count
    }

    @Test
    fun `copies are as many as fit one after the other`() {
        val random = Random(11)
        fun amount(max: Int) = random.nextInt(max * 4) / 4.0
        repeat(2_000) { round ->
            val capacity = Resources(amount(64), amount(8), amount(400), random.nextInt(40))
            val request = Resources(amount(20), amount(4), amount(100), random.nextInt(2))
            val limit = random.nextInt(60)
            assertEquals(
                countCopies(request, capacity, limit),
                request.copiesIn(capacity, limit),
                "round $round: $request in $capacity, at most $limit",
            )
        }
    }

    @Test
    fun `decimal amounts that add up to the capacity fit in spite of rounding`() {
        assertEquals(10, Resources(0.1, 0.0, 0.3).copiesIn(Resources(1.0, 0.0, 3.0), 100))
        assertEquals(3, Resources(0.1, 0.0, 0.1).copiesIn(Resources(0.3, 0.0, 0.3), 100))
    }

    @Test
    fun `amounts of any size give a count within the limit`() {
        val capacity = Resources.ofMachine(48.0, 8.0, 384.0)
        for (amount in UnusualAmounts.amounts) {
            val request = Resources.ofTask(amount, amount, amount)
            val copies = request.copiesIn(capacity, Int.MAX_VALUE)
            assertTrue(copies in 0..TaskLimits.MAX_TASKS_PER_MACHINE, "$amount: $copies")
            assertEquals(request.fitsIn(capacity), copies > 0, "$amount")
            assertTrue((request * copies).fitsIn(capacity), "$amount: $copies exceed the capacity")
            val withoutSlots = Resources(amount, amount, amount).copiesIn(Resources(48.0, 8.0, 384.0), 5)
            assertTrue(withoutSlots in 0..5, "$amount: $withoutSlots")
        }
    }

    @Test
    fun `a machine has room for no more tasks than its slots, however small they are`() {
        val nothing = Resources.ofTask(0.0, 0.0, 0.0)
        val machine = Resources.ofMachine(48.0, 8.0, 384.0)
        assertEquals(TaskLimits.MAX_TASKS_PER_MACHINE, nothing.copiesIn(machine, Int.MAX_VALUE))
        assertFalse(nothing.fitsIn(machine - nothing * TaskLimits.MAX_TASKS_PER_MACHINE))
        assertEquals(0, nothing.copiesIn(machine, -1))
    }
}
