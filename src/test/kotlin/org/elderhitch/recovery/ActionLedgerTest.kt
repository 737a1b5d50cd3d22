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

/** Checks how actions are counted, and which of them count as needless. */
class ActionLedgerTest {
    private val start = MonotonicInstant(0) + 1000.seconds
    private val market = Market(MachineType("g8"), Zone("a"), true)

    private fun task(n: Int) = TaskId(JobId("req-1"), n)

    private fun ActionLedger.needless(kind: NeedlessActionKind): Any =
        (snapshot().getValue("regret") as Map<*, *>)[kind.statusKey] ?: 0L

    @Test
    fun `a start is needless when its task is soon stopped without a reason`() {
        val ledger = ActionLedger()
        for (n in 0..3) ledger.recordStart(task(n), start)
        ledger.recordStop(task(0), requested = false, start + 30.seconds)
        ledger.recordStop(task(1), requested = true, start + 5.seconds)
        // Sent again in a later response: the time of the first sending counts.
        ledger.recordStart(task(2), start + 10.seconds)
        ledger.recordStop(task(2), requested = false, start + 31.seconds)
        ledger.recordStop(task(9), requested = false, start + 1.seconds)
        assertEquals(1L, ledger.needless(NeedlessActionKind.START_STOPPED))
        assertEquals(mapOf("start" to 5L, "stop" to 4L), ledger.snapshot()["given"])
    }

    @Test
    fun `a termination is needless when its machine is seen or replaced within a minute`() {
        val ledger = ActionLedger()
        ledger.recordSuspectGone(MachineId("m1"), start)
        ledger.recordSuspectGone(MachineId("m2"), start)
        ledger.recordMachineSeen(MachineId("m1"), start + 59.seconds)
        ledger.recordMachineSeen(MachineId("m1"), start + 59.seconds)
        ledger.recordMachineSeen(MachineId("m2"), start + 61.seconds)
        assertEquals(1L, ledger.needless(NeedlessActionKind.TERMINATED_WHILE_ALIVE))
        for (n in 0..4) ledger.recordIdleTermination(market, start + 20.seconds * n)
        ledger.recordProvisioned(market, 50, start + 90.seconds)
        assertEquals(
            3L,
            ledger.needless(NeedlessActionKind.TERMINATED_THEN_PROVISIONED),
            "the terminations after 40, 60 and 80 s",
        )
        ledger.recordProvisioned(market, 50, start + 91.seconds)
        assertEquals(
            3L,
            ledger.needless(NeedlessActionKind.TERMINATED_THEN_PROVISIONED),
            "each termination counts once",
        )
    }

    @Test
    fun `the peak is the highest number of actions within a second, and a new term resets the counts`() {
        val ledger = ActionLedger()
        for (n in 0 until 40) ledger.record(ActionKind.PROBE, 1, start + 100.milliseconds * n)
        ledger.record(ActionKind.STOP, 7, start + 10.seconds)
        assertEquals(10, ledger.snapshot()["peak_per_s"])
        ledger.resetForNewTerm()
        assertEquals(
            mapOf("given" to emptyMap<String, Long>(), "peak_per_s" to 0, "regret" to emptyMap<String, Long>()),
            ledger.snapshot(),
        )
    }

    /** Memory must stay bounded for a job with 100,000 tasks. */
    @Test
    fun `only the latest starts are tracked`() {
        val ledger = ActionLedger()
        for (n in 0 until 50_000) ledger.recordStart(task(n), start + 1.milliseconds * (n / 100))
        ledger.recordStop(task(49_999), requested = false, start + 1.seconds)
        ledger.recordStop(task(100), requested = false, start + 1.seconds)
        assertEquals(
            1L,
            ledger.needless(NeedlessActionKind.START_STOPPED),
            "the start of task 100 is no longer tracked",
        )
    }
}
