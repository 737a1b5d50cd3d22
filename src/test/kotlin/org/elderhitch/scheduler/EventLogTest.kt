package org.elderhitch.scheduler

import org.elderhitch.fleet.MachineId
import org.elderhitch.time.MonotonicInstant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EventLogTest {
    private var now = MonotonicInstant(0)
    private val lines = ArrayList<String>()
    private val events = EventLog({ now }, lines::add, lines::add)

    /** Regression: an event logged on each tick for each task of each machine caused 33,424 lines in two minutes. */
    @Test
    fun `log suppresses and counts lines when an event occurs 100 times on 1500 machines`() {
        repeat(100) {
            repeat(1500) { machine ->
                events.error("task on two machines", MachineId("m$machine")) {
                    "task on two machines machine=m$machine"
                }
            }
            now += 300.milliseconds
            events.tick()
        }
        assertTrue(lines.size <= 3 * (EventLog.MAX_LINES_PER_INTERVAL + 1), "${lines.size} lines in 30 s")
        now += 11.seconds
        events.tick()
        val logged = lines.count { it.startsWith("task") }
        val suppressed = lines.filter { it.startsWith("more of the same") }
            .sumOf { it.substringAfter("count=").substringBefore(' ').toInt() }
        assertEquals(150_000, logged + suppressed)
    }

    @Test
    fun `log writes one line per machine and kind within an interval`() {
        repeat(5) { events.info("start refused", MachineId("m1")) { "refused" } }
        events.info("start refused", MachineId("m2")) { "refused" }
        events.info("worker silent", MachineId("m1")) { "silent" }
        assertEquals(listOf("refused", "refused", "silent"), lines)
        now += 10.seconds + 1.milliseconds
        events.info("start refused", MachineId("m1")) { "refused" }
        assertEquals(listOf("more of the same event=\"start refused\" count=4 in_s=10", "refused"), lines.drop(3))
    }
}
