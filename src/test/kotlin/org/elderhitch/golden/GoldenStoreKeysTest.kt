package org.elderhitch.golden

import kotlinx.coroutines.Job
import org.elderhitch.fleet.ProvisioningIntent
import org.elderhitch.jobs.CompletedTasks
import org.elderhitch.jobs.JobHold
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.TerminalRecord
import org.elderhitch.store.Keys
import org.elderhitch.store.StoredKey
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** The format of the keys in the state service, and how each key is parsed. */
class GoldenStoreKeysTest {
    private val job = JobId("req-000412")

    @Test
    fun `keys have a fixed format`() {
        assertEquals(listOf("v/", "v/a/"), listOf(Keys.ALL, Keys.OPEN))
        assertEquals(listOf("v/a/term", "v/a/leader"), listOf(Keys.TERM, Keys.LEADER))
        assertEquals(listOf("v/a/types", "v/a/images"), listOf(Keys.TYPES, Keys.IMAGES))
        assertEquals("v/a/job/req-000412", Keys.job(job))
        assertEquals("v/z/end/req-000412", Keys.terminalRecord(job))
        assertEquals("v/a/fin/req-000412/3", Keys.completedTasks(job, 3))
        assertEquals("v/a/fin/req-0", Keys.completedTasksPrefix("req-0"))
        assertEquals("v/a/hold/req-000412", Keys.hold(job))
        assertEquals("v/a/hire/r-42-0", Keys.provisioningIntent("r-42-0"))
    }

    @Test
    fun `each key is parsed to its kind`() {
        assertEquals(StoredKey.TermCounter, Keys.parse("v/a/term"))
        assertEquals(StoredKey.Leader, Keys.parse("v/a/leader"))
        assertEquals(StoredKey.Job(job), Keys.parse("v/a/job/req-000412"))
        assertEquals(StoredKey.TerminalRecord(job), Keys.parse("v/z/end/req-000412"))
        assertEquals(StoredKey.CompletedTasks(job, 3), Keys.parse("v/a/fin/req-000412/3"))
        assertEquals(StoredKey.CompletedTasks(job, -1), Keys.parse("v/a/fin/req-000412/-1"))
        assertEquals(StoredKey.JobHold(job), Keys.parse("v/a/hold/req-000412"))
        assertEquals(StoredKey.ProvisioningIntent("r-42-0"), Keys.parse("v/a/hire/r-42-0"))
        assertEquals(StoredKey.ProvisioningIntent(""), Keys.parse("v/a/hire/"))
    }

    @Test
    fun `keys that are malformed or foreign are not parsed`() {
        val keys = listOf(
            "", "v/a/", "v/a/types", "v/a/images", "v/a/terms", "v/a/job/", "v/a/job/412",
            "v/a/job/req-", "v/a/job/req-1/0",
            "v/a/end/req-1", "v/z/end/r", "v/a/hold/req-1/x", "v/a/fin/req-1", "v/a/fin/req-1/x", "v/a/fin/x/0",
            "v/a/fin/req-1/4294967296", "v/a/job/req-" + "0".repeat(61), "x/a/job/req-1",
        )
        for (key in keys) assertNull(Keys.parse(key), key)
    }
}
