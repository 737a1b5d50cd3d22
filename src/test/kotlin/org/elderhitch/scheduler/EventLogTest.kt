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

    /** Seen: 33,424 lines of one kind in two minutes, each tick for each task of each machine. */
    @Test
    fun `log withholds and counts lines when an event happens to 1500 machines a hundred times`() {
        repeat(100) {
            repeat(1500) { machine ->
                events.error("task on two machines", MachineId("m$machine")) {
                    "task on two machines machine=m$machine"
                }
            }
            now += 300.milliseconds
            events.tick()
        }
        assertTrue(lines.size <= 3 * (EventLog.MAX_LINES + 1), "${lines.size} lines in 30 s")
        now += 11.seconds
        events.tick()
        val logged = lines.count { it.startsWith("task") }
        val withheld = lines.filter { it.startsWith("more of the same") }
            .sumOf { it.substringAfter("count=").substringBefore(' ').toInt() }
        assertEquals(150_000, logged + withheld)
    }

    @Test
    fun `log writes one line per machine and kind when the interval is not over`() {
        repeat(5) { events.info("start refused", MachineId("m1")) { "refused" } }
        events.info("start refused", MachineId("m2")) { "refused" }
        events.info("worker silent", MachineId("m1")) { "silent" }
        assertEquals(listOf("refused", "refused", "silent"), lines)
        now += 10.seconds + 1.milliseconds
        events.info("start refused", MachineId("m1")) { "refused" }
        assertEquals(listOf("more of the same event=\"start refused\" count=4 in_s=10", "refused"), lines.drop(3))
    }
}
