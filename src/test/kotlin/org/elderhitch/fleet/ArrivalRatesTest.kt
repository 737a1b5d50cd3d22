package org.elderhitch.fleet

import org.elderhitch.jobs.UnusualAmounts
import org.elderhitch.time.MonotonicInstant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class ArrivalRatesTest {
    /** Guards against plans and cycles that cost more with each class name that was ever submitted. */
    @Test
    fun `the number of classes is bounded, and the busiest ones are kept`() {
        val rates = ArrivalRates()
        var now = MonotonicInstant(0) + 100.seconds
        rates.jobOpened(UnusualAmounts.job("req-1", "array", 1_000, mapOf("lotClass" to "busy")), now)
        repeat(5_000) { n ->
            now += 1.seconds / 100
            rates.jobOpened(UnusualAmounts.job("req-2", "array", 1, mapOf("lotClass" to "class-$n")), now)
        }
        val classes = rates.expectedByClass(now).map { it.spec.jobClass }
        assertTrue(classes.size <= 1_000, "${classes.size} classes")
        assertTrue("busy" in classes, "the class with the highest rate is gone")
        assertEquals(1, classes.count { it == "class-4999" }, "the latest class is gone")
    }
}
