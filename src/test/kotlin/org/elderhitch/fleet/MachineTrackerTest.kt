package org.elderhitch.fleet

import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.elderhitch.json.Json
import org.elderhitch.lab.Network
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.scheduler.SchedulerMessage
import org.elderhitch.settings.CloudLimits
import org.elderhitch.store.Entry
import org.elderhitch.store.Keys
import org.elderhitch.store.LeaseId
import org.elderhitch.store.Revision
import org.elderhitch.store.TestStateClient
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Tests which machines a new term takes for possibly running tasks, and so waits for. */
class MachineTrackerTest {
    private val now = MonotonicInstant(0) + 1000.seconds
    private val clock = SteadyClock { now }
    private val leader =
        LeadershipState.Leader(Term(9), Revision(5), LeaseId(1), now + 4.seconds, now + 18.seconds, null, now)

    private class SentMessages : FleetPorts {
        val toScheduler = ArrayList<SchedulerMessage>()

        override fun tellScheduler(message: SchedulerMessage) {
            toScheduler.add(message)
        }

        override fun tellLeadership(message: LeadershipMessage) = Unit

        override fun maySendCommands(leadershipState: LeadershipState.Leader): Boolean = true

        override fun publishActions(counts: Map<String, Any?>) = Unit
    }

    private fun intent(name: String, up: List<String>): Entry {
        val value = mapOf(
            "rig" to "g8",
            "hall" to "a",
            "borrowedRigs" to false,
            "count" to 1,
            "stalls" to listOf("host-000063"),
            "up" to up,
        )
        return Entry(Keys.provisioningIntent(name), Json.parseObject(Json.bytes(value)), Revision(3))
    }

    /** The inventory with which a new term begins that loads these intents. */
    private fun TestScope.inventoryOf(stored: List<Entry>): SchedulerMessage.InventoryLoaded {
        val ports = SentMessages()
        val fleet = FleetContext(this, clock, ports, CloudLimits(10.0, 1.seconds)) {}
        val transport = Network(this, Random(1)) { null }.transport("n0")
        val intents = ProvisioningIntentStore(this, TestStateClient.of(transport, clock), {}, {})
        val machines = MachineTracker(fleet, intents)
        fleet.term.update(leader, clock)
        intents.replaceStored(stored)
        fleet.term.areIntentsLoaded = true
        machines.loadStored(now)
        machines.sendInventory(leader)
        return ports.toScheduler.filterIsInstance<SchedulerMessage.InventoryLoaded>().single()
    }

    /**
     * Regression (`docs/incidents/named-twice.md`, invariant `ran_twice`): the intent that was read last hid that the
     * other one had recorded the machine as up, so the term didn't wait for it and started its tasks elsewhere.
     */
    @Test
    fun `a machine that two intents name is waited for if either records it as up`() = runTest {
        val adopted = intent("adopted-1-host-000063", up = listOf("host-000063"))
        val requested = intent("r-1-52", up = emptyList())
        for (stored in listOf(listOf(adopted, requested), listOf(requested, adopted))) {
            val inventory = inventoryOf(stored)
            assertEquals(listOf("host-000063"), inventory.possiblyBusy.map { it.id.text })
            assertEquals(emptyList(), inventory.neverUsed.toList())
        }
        assertEquals(emptyList(), inventoryOf(listOf(requested)).possiblyBusy.toList())
    }
}
