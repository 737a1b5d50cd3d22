package org.elderhitch.time

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

class MonotonicInstantTest {
    /** Guards against deadlines in the far future that wrap around and count as missed long ago. */
    @Test
    fun `the sum with a huge duration is not in the past`() {
        val now = MonotonicInstant(0) + 500.seconds
        for (huge in listOf(1e10.seconds, 1e15.seconds, Duration.INFINITE)) {
            assertTrue(now + huge > now, "$now + $huge is ${now + huge}")
            assertTrue(now - huge < now, "$now - $huge is ${now - huge}")
            assertEquals(MonotonicInstant.FOREVER, now + huge)
            assertEquals(MonotonicInstant.NEVER, now - huge)
            assertTrue((now + huge) - now > 1e9.seconds)
        }
    }

    @Test
    fun `sums within the range are exact`() {
        val now = MonotonicInstant(123)
        assertEquals(now, now + 7.nanoseconds - 7.nanoseconds)
        assertEquals(1e9.seconds, now + 1e9.seconds - now)
        assertEquals(MonotonicInstant.FOREVER, MonotonicInstant.FOREVER + 1.seconds)
        assertEquals(MonotonicInstant.NEVER, MonotonicInstant.NEVER - 1.seconds)
    }
}
