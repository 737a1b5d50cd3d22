package org.elderhitch.recovery

import org.elderhitch.fleet.MachineId
import org.elderhitch.fleet.Market
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.TaskId
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ActionLedgerTest {
    private val begin = MonotonicInstant(0) + 1000.seconds
    private val market = Market(MachineType("g8"), Zone("a"), true)

    private fun task(n: Int) = TaskId(JobId("req-1"), n)

    private fun ActionLedger.regret(kind: NeedlessActionKind): Any =
        (snapshot().getValue("regret") as Map<*, *>)[kind.statusWord] ?: 0L

    @Test
    fun `a start is regretted that is stopped soon, and that nobody asked for`() {
        val orders = ActionLedger()
        for (n in 0..3) orders.recordStart(task(n), begin)
        orders.recordStop(task(0), asked = false, begin + 30.seconds)
        orders.recordStop(task(1), asked = true, begin + 5.seconds)
        // Sent again in a later answer: it is as old as the first time.
        orders.recordStart(task(2), begin + 10.seconds)
        orders.recordStop(task(2), asked = false, begin + 31.seconds)
        orders.recordStop(task(9), asked = false, begin + 1.seconds)
        assertEquals(1L, orders.regret(NeedlessActionKind.START_STOPPED))
        assertEquals(mapOf("start" to 5L, "stop" to 4L), orders.snapshot()["given"])
    }

    @Test
    fun `a return is regretted whose machine speaks, or whose like is hired, within a minute`() {
        val orders = ActionLedger()
        orders.recordSuspectGone(MachineId("m1"), begin)
        orders.recordSuspectGone(MachineId("m2"), begin)
        orders.machineSeen(MachineId("m1"), begin + 59.seconds)
        orders.machineSeen(MachineId("m1"), begin + 59.seconds)
        orders.machineSeen(MachineId("m2"), begin + 61.seconds)
        assertEquals(1L, orders.regret(NeedlessActionKind.TERMINATED_WHILE_ALIVE))
        for (n in 0..4) orders.recordIdleTermination(market, begin + 20.seconds * n)
        orders.recordProvisioned(market, 50, begin + 90.seconds)
        assertEquals(3L, orders.regret(NeedlessActionKind.TERMINATED_THEN_PROVISIONED), "those of 40, 60 and 80 s")
        orders.recordProvisioned(market, 50, begin + 91.seconds)
        assertEquals(3L, orders.regret(NeedlessActionKind.TERMINATED_THEN_PROVISIONED), "each is regretted once")
    }

    @Test
    fun `the peak is what was ordered within a second, and a new term begins with nothing`() {
        val orders = ActionLedger()
        for (n in 0 until 40) orders.record(ActionKind.PROBE, 1, begin + 100.milliseconds * n)
        orders.record(ActionKind.STOP, 7, begin + 10.seconds)
        assertEquals(10, orders.snapshot()["peak_per_s"])
        orders.newTerm()
        assertEquals(
            mapOf("given" to emptyMap<String, Long>(), "peak_per_s" to 0, "regret" to emptyMap<String, Long>()),
            orders.snapshot(),
        )
    }

    /** A job of 100,000 tasks must not be remembered task by task for ever. */
    @Test
    fun `what can't be regretted any more is forgotten`() {
        val orders = ActionLedger()
        for (n in 0 until 50_000) orders.recordStart(task(n), begin + 1.milliseconds * (n / 100))
        orders.recordStop(task(49_999), asked = false, begin + 1.seconds)
        orders.recordStop(task(100), asked = false, begin + 1.seconds)
        assertEquals(1L, orders.regret(NeedlessActionKind.START_STOPPED), "the hundredth is beyond what is remembered")
    }
}
