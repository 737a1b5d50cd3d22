package org.elderhitch.app

import kotlinx.coroutines.delay
import org.elderhitch.lab.TransactionOutcome
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Writes to the state service that get no response and are executed late. */
class LateStoreWritesTest {
    /**
     * Regression, found by `lab drmaa --seed 2`: a write of the machine names of a provisioning intent got no response
     * and was executed 30 s later, over the newer one which said that the machines were up. The next term assumed that
     * they were booting, waited for none of them, and started their tasks elsewhere.
     */
    @Test
    fun `a write of an intent that is executed late doesn't overwrite a newer one`() = runInSimulatedCluster {
        var late = 0
        transactionOutcome =
            { _, commit ->
                val writesMachineNames = "v/a/hire/" in commit && "stalls" in commit && "\"up\"" !in commit
                if (writesMachineNames && late++ == 0) {
                    TransactionOutcome.Late(10.seconds)
                } else {
                    TransactionOutcome.Answered
                }
            }
        submit("req-1", "daemon", 3, 0.0)
        until("all run", 60.seconds) { onMachine.size == 3 }
        delay(15.seconds)
        assertTrue(late > 1, "no write was late")
        crash(assertNotNull(leader()))
        delay(25.seconds)
        assertEquals(mapOf("req-1/0" to 1, "req-1/1" to 1, "req-1/2" to 1), startsOf)
        assertNoViolations()
    }

    @Test
    fun `a write of finished tasks that is executed late doesn't overwrite a newer one`() = runInSimulatedCluster {
        var late = 0
        transactionOutcome = { _, commit ->
            if ("v/a/fin/" in commit && late++ == 0) TransactionOutcome.Late(9.seconds) else TransactionOutcome.Answered
        }
        failing = { task, _ -> task == "req-1/80" }
        submit("req-1", "array", 81, 5.0)
        var doneBefore = 0L
        until("two rounds of forty are done", 90.seconds) {
            doneBefore = ask("GET", "/work/req-1").second["done"] as Long
            doneBefore >= 80
        }
        delay(9.seconds)
        names.forEach(::crash)
        names.forEach(::startNode)
        delay(2.seconds)
        assertTrue(late > 1, "no write was late")
        val doneAfter = ask("GET", "/work/req-1").second["done"] as Long
        assertTrue(doneAfter >= doneBefore, "$doneBefore tasks were done, and then $doneAfter")
    }
}
